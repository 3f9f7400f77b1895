use std::collections::{BTreeMap, BTreeSet};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::HttpMethod,
    error::MeshError,
};

use crate::{
    backend::{BackendFaults, FaultAction, FaultRule},
    mesh::{BackendSpec, LocalMesh, MeshAnswers, RouteAnswers, data_centre_name},
    platform::{LostAnswers, PlatformFaults},
    proxy::{ProxyAction, ProxyRule, ProxyRules},
    server::wall_clock,
    soak::{NodeOutage, SoakFault, soak_check::ROUTE_TIMEOUT},
};

/// Service of the soak's backend servers.
pub(super) const SERVICE: &str = "work";
/// Time in which a node that was asked to shut down must have ended.
const STOP_LIMIT: TimeBudget = TimeBudget::from_secs(30);
/// Share of the answers that each way of spoiling them affects.
const SPOILED_SHARE: f64 = 0.05;
const LOST_ANSWERS: u32 = 3;

/// Brings faults about on a mesh and ends them again.
pub(super) struct FaultInjector {
    pub(super) mesh: LocalMesh,
    pub(super) outages: Vec<NodeOutage>,
    pub(super) left: Vec<(String, ClockInstant)>,
    centres: u8,
    names: Vec<String>,
    /// Current server beside each node.
    servers: Vec<String>,
    paused: BTreeSet<usize>,
    faults: BackendFaults,
    /// Rules of each fault of the links that lasts, by the fault's number.
    rules: BTreeMap<usize, Vec<ProxyRule>>,
    /// When each node that is not up stopped being so.
    down: BTreeMap<usize, (ClockInstant, bool)>,
    published: u64,
}

impl FaultInjector {
    /// Takes over a mesh with one server beside every node.
    pub(super) fn new(mesh: LocalMesh, centres: u8) -> Self {
        let names = mesh.node_names();
        let beside = |node: &String| {
            let servers = mesh.backend_names().into_iter();
            let mut own = servers.filter(|name| mesh.backend(name).is_ok_and(|s| s.node() == node));
            own.next().unwrap_or_default()
        };
        Self {
            servers: names.iter().map(beside).collect(),
            names,
            mesh,
            centres,
            outages: Vec::new(),
            left: Vec::new(),
            paused: BTreeSet::new(),
            faults: BackendFaults::default(),
            rules: BTreeMap::new(),
            down: BTreeMap::new(),
            published: 0,
        }
    }

    /// Brings about fault `number` of the plan.
    pub(super) async fn begin(&mut self, number: usize, fault: SoakFault) -> Result<(), MeshError> {
        match fault {
            SoakFault::KillNode(node) => {
                self.note_down(node, false);
                self.mesh.node_mut(&self.names[node])?.process()?.kill();
            }
            SoakFault::StopNode(node) => {
                self.note_down(node, true);
                self.mesh
                    .node_mut(&self.names[node])?
                    .process()?
                    .terminate()?;
            }
            SoakFault::PauseNode(node) => {
                self.note_down(node, false);
                self.mesh.node_mut(&self.names[node])?.process()?.pause()?;
            }
            SoakFault::KillServer(node) => {
                self.mesh.backend_mut(&self.servers[node])?.process().kill();
            }
            SoakFault::DrainServer(node) => {
                self.left.push((self.servers[node].clone(), wall_clock()));
                let server = self.mesh.backend_mut(&self.servers[node])?;
                server.process().terminate()?;
            }
            SoakFault::PauseServer(node) => {
                self.paused.insert(node);
                let server = self.mesh.backend_mut(&self.servers[node])?;
                server.process().pause()?;
            }
            SoakFault::CorruptResponses => self.spoil(spoiling_faults()).await?,
            SoakFault::Partition(..) | SoakFault::PartitionOneWay(_) | SoakFault::Delay(_) => {
                let rules = self.link_rules(fault);
                self.rules.insert(number, rules);
                self.apply_rules().await?;
            }
            SoakFault::PlatformUnavailable
            | SoakFault::PlatformUnresponsive
            | SoakFault::PlatformLosesResponses => {
                let faults = platform_faults(fault);
                self.mesh.platform().set_faults(&faults).await?;
            }
            SoakFault::Publish => {
                // The platform may be away as well, and then refuses or says nothing.
                if let Err(error) = self.publish().await {
                    eprintln!("a version was not accepted: {error}");
                }
            }
        }
        Ok(())
    }

    /// Ends fault `number` of the plan.
    pub(super) async fn end(&mut self, number: usize, fault: SoakFault) -> Result<(), MeshError> {
        match fault {
            SoakFault::KillNode(node) => self.start_node(node).await?,
            SoakFault::StopNode(node) => {
                let process = self.mesh.node_mut(&self.names[node])?.process()?;
                process.wait(STOP_LIMIT).await?;
                self.start_node(node).await?;
            }
            SoakFault::PauseNode(node) => {
                self.mesh.node_mut(&self.names[node])?.process()?.resume()?;
                self.note_up(node);
            }
            SoakFault::KillServer(node) | SoakFault::DrainServer(node) => {
                let spec = server_spec();
                let name = self.mesh.add_backend(&self.names[node], &spec).await?;
                self.servers[node] = name;
                self.spoil(self.faults.clone()).await?;
            }
            SoakFault::PauseServer(node) => {
                let server = self.mesh.backend_mut(&self.servers[node])?;
                server.process().resume()?;
                self.paused.remove(&node);
                self.spoil(self.faults.clone()).await?;
            }
            SoakFault::CorruptResponses => self.spoil(BackendFaults::default()).await?,
            SoakFault::Partition(..) | SoakFault::PartitionOneWay(_) | SoakFault::Delay(_) => {
                self.rules.remove(&number);
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

    /// Publishes a version that no one has published before.
    pub(super) async fn publish(&mut self) -> Result<(), MeshError> {
        self.published += 1;
        let answers = answers(self.centres, self.published);
        self.mesh.publish(&answers).await.map(drop)
    }

    async fn start_node(&mut self, node: usize) -> Result<(), MeshError> {
        self.mesh.start_node(&self.names[node]).await?;
        self.note_up(node);
        Ok(())
    }

    fn note_down(&mut self, node: usize, is_graceful: bool) {
        self.down.insert(node, (wall_clock(), is_graceful));
    }

    fn note_up(&mut self, node: usize) {
        if let Some((from, is_graceful)) = self.down.remove(&node) {
            self.outages.push(NodeOutage {
                node,
                is_graceful,
                from,
                until: wall_clock(),
            });
        }
    }

    /// Sets the faults of the servers that can be told; the others are told when they return.
    async fn spoil(&mut self, faults: BackendFaults) -> Result<(), MeshError> {
        self.faults = faults;
        for (node, name) in self.servers.iter().enumerate() {
            let is_running = self.mesh.backend_mut(name)?.process().is_running();
            if self.paused.contains(&node) || !is_running {
                continue;
            }
            // A server that leaves may end before it takes them.
            if let Err(error) = self.mesh.set_backend_faults(name, &self.faults).await {
                eprintln!("server {name} takes no faults: {error}");
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
            SoakFault::Partition(left, right, is_silent) => {
                let action = if is_silent {
                    ProxyAction::Stall
                } else {
                    ProxyAction::Cut
                };
                vec![between(left, right, action), between(right, left, action)]
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

/// Describes the backend servers of the soak.
pub(super) fn server_spec() -> BackendSpec {
    BackendSpec::new(SERVICE, "v1").with_service_time("15ms")
}

fn answers(centres: u8, number: u64) -> String {
    let timeout = ROUTE_TIMEOUT.to_string();
    let reads = RouteAnswers::new("/reads", SERVICE).with_methods([HttpMethod::Get]);
    let orders = RouteAnswers::new("/orders", SERVICE).with_methods([HttpMethod::Post]);
    let newest = RouteAnswers::new(format!("/version-{number}"), SERVICE);
    MeshAnswers::new(centres)
        .service(SERVICE)
        .route("reads", reads.with_timeout(timeout.as_str()))
        .route("orders", orders.at_most_once().with_timeout(timeout))
        .route("newest", newest)
        .to_string()
}

fn spoiling_faults() -> BackendFaults {
    let actions = [
        FaultAction::CutBody,
        FaultAction::WrongRequestId,
        FaultAction::DoubleAnswer,
        FaultAction::CloseAfterRun,
        FaultAction::CloseBeforeRun,
        FaultAction::Fail,
        FaultAction::Shed,
    ];
    let rules = actions.map(|action| FaultRule::new(action).with_share(SPOILED_SHARE));
    BackendFaults::from_rules(rules.to_vec())
}

fn platform_faults(fault: SoakFault) -> PlatformFaults {
    let lost = LostAnswers {
        next: LOST_ANSWERS,
        ..LostAnswers::default()
    };
    PlatformFaults {
        away: fault == SoakFault::PlatformUnavailable,
        hang: fault == SoakFault::PlatformUnresponsive,
        lose_answers: match fault {
            SoakFault::PlatformLosesResponses => lost,
            _ => LostAnswers::default(),
        },
        ..PlatformFaults::default()
    }
}
