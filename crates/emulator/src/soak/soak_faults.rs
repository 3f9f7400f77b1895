use std::collections::{BTreeMap, BTreeSet};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::HttpMethod,
    error::MeshError,
    ids::RequestRate,
};

use crate::{
    backend::{BackendFaults, FaultAction, FaultRule},
    mesh::{BackendSpec, LocalMesh, MeshAnswers, RouteAnswers, data_centre_name},
    platform::{LostResponses, PlatformFaults},
    proxy::{ProxyAction, ProxyRule, ProxyRules},
    server::wall_clock,
    soak::{NodeOutage, SoakFault, StatedPeriod, soak_check::ROUTE_TIMEOUT},
};

/// Service of the backend servers used by the soak test.
pub(super) const SERVICE: &str = "work";
/// Time within which a node must exit after a graceful shutdown request.
const STOP_TIMEOUT: TimeBudget = TimeBudget::from_secs(30);
/// Fraction of responses that each kind of response fault affects.
const CORRUPTION_SHARE: f64 = 0.05;
/// Number of writes whose responses the platform loses per fault.
const LOST_RESPONSES: u32 = 3;

/// Injects faults into a mesh and removes them.
pub(super) struct FaultInjector {
    pub(super) mesh: LocalMesh,
    pub(super) outages: Vec<NodeOutage>,
    pub(super) drained: Vec<(String, ClockInstant)>,
    pub(super) limits: Vec<StatedPeriod>,
    centres: u8,
    node_names: Vec<String>,
    /// Current backend server co-located with each node.
    servers: Vec<String>,
    /// Nodes whose backend servers are paused.
    paused: BTreeSet<usize>,
    /// Faults that every reachable backend server has, and that the others receive later.
    backend_faults: BackendFaults,
    /// Proxy rules of each active link fault, by fault index.
    rules: BTreeMap<usize, Vec<ProxyRule>>,
    /// Start time of each unavailable node's outage, and whether the shutdown was graceful.
    down: BTreeMap<usize, (ClockInstant, bool)>,
    /// Number of versions published so far.
    published: u64,
}

impl FaultInjector {
    /// Wraps a mesh that has one backend server co-located with each node.
    pub(super) fn new(mesh: LocalMesh, centres: u8) -> Self {
        let node_names = mesh.node_names();
        let local_server = |node: &String| {
            let servers = mesh.backend_names().into_iter();
            let mut own = servers.filter(|name| mesh.backend(name).is_ok_and(|s| s.node() == node));
            own.next().unwrap_or_default()
        };
        Self {
            servers: node_names.iter().map(local_server).collect(),
            node_names,
            mesh,
            centres,
            outages: Vec::new(),
            drained: Vec::new(),
            limits: Vec::new(),
            paused: BTreeSet::new(),
            backend_faults: BackendFaults::default(),
            rules: BTreeMap::new(),
            down: BTreeMap::new(),
            published: 0,
        }
    }

    /// Injects the plan's fault at `index`.
    pub(super) async fn inject(&mut self, index: usize, fault: SoakFault) -> Result<(), MeshError> {
        match fault {
            SoakFault::KillNode(node) => {
                self.record_down(node, false);
                self.mesh
                    .node_mut(&self.node_names[node])?
                    .process()?
                    .kill();
            }
            SoakFault::StopNode(node) => {
                self.record_down(node, true);
                self.mesh
                    .node_mut(&self.node_names[node])?
                    .process()?
                    .terminate()?;
            }
            SoakFault::PauseNode(node) => {
                self.record_down(node, false);
                self.mesh
                    .node_mut(&self.node_names[node])?
                    .process()?
                    .pause()?;
            }
            SoakFault::KillServer(node) => {
                self.mesh.backend_mut(&self.servers[node])?.process().kill();
            }
            SoakFault::DrainServer(node) => {
                self.drained
                    .push((self.servers[node].clone(), wall_clock()));
                let server = self.mesh.backend_mut(&self.servers[node])?;
                server.process().terminate()?;
            }
            SoakFault::PauseServer(node) => {
                self.paused.insert(node);
                let server = self.mesh.backend_mut(&self.servers[node])?;
                server.process().pause()?;
            }
            SoakFault::CorruptResponses => {
                self.backend_faults.rules = corruption_rules();
                self.apply_backend_faults().await?;
            }
            SoakFault::LimitServers(rate) => {
                self.backend_faults.limit = Some(RequestRate::from_millis(rate * 1_000));
                self.apply_backend_faults().await?;
            }
            SoakFault::Partition(..) | SoakFault::PartitionOneWay(_) | SoakFault::Delay(_) => {
                let rules = self.link_rules(fault);
                self.rules.insert(index, rules);
                self.apply_rules().await?;
            }
            SoakFault::PlatformUnavailable
            | SoakFault::PlatformUnresponsive
            | SoakFault::PlatformLosesResponses => {
                let faults = platform_faults(fault);
                self.mesh.platform().set_faults(&faults).await?;
            }
            SoakFault::Publish => {
                // A concurrent platform fault may reject the write or leave it unanswered.
                if let Err(error) = self.publish().await {
                    eprintln!("publishing a version failed: {error}");
                }
            }
        }
        Ok(())
    }

    /// Removes the plan's fault at `index`.
    pub(super) async fn remove(&mut self, index: usize, fault: SoakFault) -> Result<(), MeshError> {
        match fault {
            SoakFault::KillNode(node) => self.start_node(node).await?,
            SoakFault::StopNode(node) => {
                let process = self.mesh.node_mut(&self.node_names[node])?.process()?;
                process.wait(STOP_TIMEOUT).await?;
                self.start_node(node).await?;
            }
            SoakFault::PauseNode(node) => {
                self.mesh
                    .node_mut(&self.node_names[node])?
                    .process()?
                    .resume()?;
                self.record_up(node);
            }
            SoakFault::KillServer(node) | SoakFault::DrainServer(node) => {
                let spec = server_spec();
                let name = self.mesh.add_backend(&self.node_names[node], &spec).await?;
                self.servers[node] = name;
                self.apply_backend_faults().await?;
            }
            SoakFault::PauseServer(node) => {
                let server = self.mesh.backend_mut(&self.servers[node])?;
                server.process().resume()?;
                self.paused.remove(&node);
                self.apply_backend_faults().await?;
            }
            SoakFault::CorruptResponses => {
                self.backend_faults.rules.clear();
                self.apply_backend_faults().await?;
            }
            SoakFault::LimitServers(_) => {
                self.end_limits();
                self.backend_faults.limit = None;
                self.apply_backend_faults().await?;
            }
            SoakFault::Partition(..) | SoakFault::PartitionOneWay(_) | SoakFault::Delay(_) => {
                self.rules.remove(&index);
                self.apply_rules().await?;
            }
            SoakFault::PlatformUnavailable
            | SoakFault::PlatformUnresponsive
            | SoakFault::PlatformLosesResponses => {
                let faults = PlatformFaults::default();
                self.mesh.platform().set_faults(&faults).await?;
            }
            SoakFault::Publish => {}
        }
        Ok(())
    }

    /// Publishes a new configuration version.
    pub(super) async fn publish(&mut self) -> Result<(), MeshError> {
        self.published += 1;
        let answers = answers(self.centres, self.published);
        self.mesh.publish(&answers).await.map(drop)
    }

    async fn start_node(&mut self, node: usize) -> Result<(), MeshError> {
        self.mesh.start_node(&self.node_names[node]).await?;
        self.record_up(node);
        Ok(())
    }

    fn record_down(&mut self, node: usize, is_graceful: bool) {
        self.down.insert(node, (wall_clock(), is_graceful));
    }

    fn record_up(&mut self, node: usize) {
        if let Some((from, is_graceful)) = self.down.remove(&node) {
            self.outages.push(NodeOutage {
                node,
                is_graceful,
                from,
                until: wall_clock(),
            });
        }
    }

    fn end_limits(&mut self) {
        let now = wall_clock();
        for period in &mut self.limits {
            period.until = period.until.min(now);
        }
    }

    /// Records that a server states the current limit, if it has not done so already.
    fn record_limit(&mut self, server: &str) {
        let is_recorded =
            |period: &StatedPeriod| period.server == server && period.until == ClockInstant::NEVER;
        let Some(limit) = self.backend_faults.limit else {
            return;
        };
        if !self.limits.iter().any(is_recorded) {
            self.limits.push(StatedPeriod {
                server: server.to_owned(),
                limit,
                from: wall_clock(),
                until: ClockInstant::NEVER,
            });
        }
    }

    /// Applies the backend faults to every reachable server; the others receive them when they
    /// return.
    async fn apply_backend_faults(&mut self) -> Result<(), MeshError> {
        for (node, name) in self.servers.clone().iter().enumerate() {
            let is_running = self.mesh.backend_mut(name)?.process().is_running();
            if self.paused.contains(&node) || !is_running {
                continue;
            }
            // A draining server may exit before it receives the request.
            let result = self
                .mesh
                .set_backend_faults(name, &self.backend_faults)
                .await;
            match result {
                Ok(()) => self.record_limit(name),
                Err(error) => eprintln!("setting faults of backend server {name} failed: {error}"),
            }
        }
        Ok(())
    }

    fn link_rules(&self, fault: SoakFault) -> Vec<ProxyRule> {
        let between = |from: u8, to: u8, action| {
            ProxyRule::new(action)
                .with_source(self.mesh.source_prefix(from))
                .with_listener(format!("{}/", data_centre_name(to)))
        };
        match fault {
            SoakFault::Partition(first, second, is_silent) => {
                let action = if is_silent {
                    ProxyAction::Stall
                } else {
                    ProxyAction::Cut
                };
                vec![
                    between(first, second, action),
                    between(second, first, action),
                ]
            }
            SoakFault::PartitionOneWay(centre) => {
                let source = self.mesh.source_prefix(centre);
                vec![ProxyRule::new(ProxyAction::StallAnswers).with_source(source)]
            }
            SoakFault::Delay(millis) => {
                vec![ProxyRule::new(ProxyAction::Delay(millis)).with_listener("dc")]
            }
            _ => Vec::new(),
        }
    }

    async fn apply_rules(&self) -> Result<(), MeshError> {
        let rules = self.rules.values().flatten().cloned().collect();
        self.mesh.proxy().set_rules(&ProxyRules { rules }).await
    }
}

/// Returns the spec of the backend servers used by the soak test.
pub(super) fn server_spec() -> BackendSpec {
    BackendSpec::new(SERVICE, "v1").with_service_time("15ms")
}

fn answers(centres: u8, number: u64) -> String {
    let timeout = ROUTE_TIMEOUT.to_string();
    let reads = RouteAnswers::new("/reads", SERVICE).with_methods([HttpMethod::Get]);
    let orders = RouteAnswers::new("/orders", SERVICE).with_methods([HttpMethod::Post]);
    // Differs in every version.
    let newest = RouteAnswers::new(format!("/version-{number}"), SERVICE);
    MeshAnswers::new(centres)
        .service(SERVICE)
        .route("reads", reads.with_timeout(timeout.as_str()))
        .route("orders", orders.at_most_once().with_timeout(timeout))
        .route("newest", newest)
        .to_string()
}

fn corruption_rules() -> Vec<FaultRule> {
    let actions = [
        FaultAction::CutBody,
        FaultAction::WrongRequestId,
        FaultAction::DoubleAnswer,
        FaultAction::CloseAfterRun,
        FaultAction::CloseBeforeRun,
        FaultAction::Fail,
        FaultAction::Shed,
    ];
    let rules = actions.map(|action| FaultRule::new(action).with_share(CORRUPTION_SHARE));
    rules.to_vec()
}

fn platform_faults(fault: SoakFault) -> PlatformFaults {
    let lost = LostResponses {
        next: LOST_RESPONSES,
        ..LostResponses::default()
    };
    PlatformFaults {
        away: fault == SoakFault::PlatformUnavailable,
        hang: fault == SoakFault::PlatformUnresponsive,
        lose_answers: match fault {
            SoakFault::PlatformLosesResponses => lost,
            _ => LostResponses::default(),
        },
        ..PlatformFaults::default()
    }
}
