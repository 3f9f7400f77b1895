use std::{collections::BTreeMap, time::Duration};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::ConfigSnapshot,
    error::MeshError,
    ids::AttemptToken,
    spread::{CurrentRow, PublishAttempt, PublishPlan, SpreadMode, VersionRow},
};
use bronzelb_store::{
    PlatformClient, PlatformTarget,
    table::{RowKey, RowPrecondition, RowRevision, RowWrite},
};
use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde_json::{Map, Value, json};
use tokio::time::sleep;

use crate::{
    experiment::spread::fleet_usage::{FleetUsage, UsageRate},
    mesh::{LocalMesh, MeshNode, wait_until},
    server::wall_clock,
};

const CENTRES: u8 = 3;
const LIMIT: TimeBudget = TimeBudget::from_secs(120);
const CALL_LIMIT: TimeBudget = TimeBudget::from_secs(10);
const SETTLE: Duration = Duration::from_secs(10);
const CHANGE_PAUSE: Duration = Duration::from_millis(1_500);

/// Sizes of a trial.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrialSize {
    pub(crate) nodes: u64,
    pub(crate) services: u64,
    pub(crate) changes: u64,
    pub(crate) idle_seconds: u64,
    pub(crate) seed: u64,
}

/// What one way of spreading came to.
#[derive(Clone, Debug)]
pub(crate) struct TrialResult {
    /// Milliseconds from the write of each quiet change to each node, in order.
    pub(crate) quiet_ms: Vec<f64>,
    /// Milliseconds to the last node while a third is killed.
    pub(crate) killed_last_ms: f64,
    /// What a node uses while nothing changes.
    pub(crate) idle: UsageRate,
    /// Further bytes a node for each change.
    pub(crate) change_bytes: f64,
    /// Reads of the platform a second by all nodes, while nothing changes.
    pub(crate) reads_per_second: f64,
    /// Milliseconds from the start of the first of the killed third to the last one ready.
    pub(crate) herd_ms: f64,
    /// Contents that the returning third read from the platform.
    pub(crate) herd_objects: u64,
    /// Bytes of a node that lived on, for each node that died and returned.
    pub(crate) herd_bytes: f64,
    /// Size of the configuration.
    pub(crate) body_bytes: u64,
}

/// A mesh whose versions are published past the command-line tool, so that the instant of
/// acceptance is known.
struct TrialMesh {
    mesh: LocalMesh,
    client: PlatformClient,
    size: TrialSize,
    current: Option<CurrentRow>,
    accepted: BTreeMap<u64, ClockInstant>,
    body_bytes: u64,
}

/// Runs one way of spreading on a mesh of its own.
pub(crate) async fn run_trial(size: TrialSize, mode: SpreadMode) -> Result<TrialResult, MeshError> {
    let mut trial = TrialMesh::start(size, mode).await?;
    trial.publish().await?;
    trial.wait_everywhere().await?;
    sleep(SETTLE).await;
    trial.mesh.platform().reset_counters().await?;
    let before = FleetUsage::read(&mut trial.mesh).await?;
    sleep(Duration::from_secs(size.idle_seconds)).await;
    let after = FleetUsage::read(&mut trial.mesh).await?;
    let reads = trial.mesh.platform().counters().await?.reads.total;
    let idle = after.rate_since(&before);
    let reads_per_second = reads as f64 / after.time_since(&before).as_secs_f64();
    let first = trial.newest() + 1;
    for _ in 0..size.changes {
        trial.publish().await?;
        trial.wait_everywhere().await?;
        sleep(CHANGE_PAUSE).await;
    }
    let changed = FleetUsage::read(&mut trial.mesh).await?;
    let busy = changed.rate_since(&after);
    let seconds = changed.time_since(&after).as_secs_f64();
    let change_bytes = (busy.bytes - idle.bytes) * seconds / size.changes.max(1) as f64;
    let quiet_ms = trial.delays(first..=trial.newest());
    let calm = FleetUsage::read(&mut trial.mesh).await?;
    let victims = trial.publish_and_kill_a_third().await?;
    trial.wait_everywhere().await?;
    let newest = trial.newest();
    let killed = trial.delays(newest..=newest);
    sleep(SETTLE).await;
    let (herd_ms, herd_objects) = trial.restart(&victims).await?;
    sleep(SETTLE).await;
    let settled = FleetUsage::read(&mut trial.mesh).await?;
    let churn = settled.rate_since(&calm).bytes - idle.bytes;
    let churn_seconds = settled.time_since(&calm).as_secs_f64();
    Ok(TrialResult {
        quiet_ms,
        killed_last_ms: killed.last().copied().unwrap_or(f64::NAN),
        idle,
        change_bytes,
        reads_per_second,
        herd_ms,
        herd_objects,
        herd_bytes: churn * churn_seconds / victims.len().max(1) as f64,
        body_bytes: trial.body_bytes,
    })
}

impl TrialMesh {
    async fn start(size: TrialSize, mode: SpreadMode) -> Result<Self, MeshError> {
        let per_centre = u8::try_from(size.nodes / u64::from(CENTRES))
            .map_err(|_| MeshError::invalid("more nodes than addresses"))?;
        let mut mesh = LocalMesh::builder()
            .data_centres(CENTRES)
            .nodes(per_centre)
            .without_proxy()
            .settings(format!("spread: {{mode: {mode}}}\n"))
            .start()
            .await?;
        let target = PlatformTarget::new(mesh.platform().address().to_string());
        Ok(Self {
            client: PlatformClient::connect("http", &target)?,
            mesh,
            size,
            current: None,
            accepted: BTreeMap::new(),
            body_bytes: 0,
        })
    }

    fn newest(&self) -> u64 {
        self.accepted.keys().next_back().copied().unwrap_or(0)
    }

    /// Has one more version accepted.
    async fn publish(&mut self) -> Result<(), MeshError> {
        let number = self.newest() + 1;
        let snapshot = snapshot(self.size.services, number)?;
        let attempt = PublishAttempt {
            token: AttemptToken::new(u128::from(number)),
            publisher: "experiment".into(),
            started_at: wall_clock(),
        };
        let plan = PublishPlan::new(self.current.as_ref(), snapshot, attempt)?;
        let body = plan.version().body().clone();
        self.body_bytes = body.len() as u64;
        let deadline = wall_clock().after(CALL_LIMIT);
        self.client
            .put_object(&plan.row().object, body, deadline)
            .await?;
        let expect = match plan.expected_revision() {
            0 => RowPrecondition::Absent,
            revision => RowPrecondition::Revision(RowRevision::new(revision)),
        };
        let write = RowWrite::put(version_key()?, plan.row().to_json()).with_precondition(expect);
        self.accepted.insert(number, wall_clock());
        let revision = self.client.transact(vec![write], deadline).await?;
        self.current = Some(CurrentRow {
            row: plan.row().clone(),
            revision: revision.get(),
        });
        Ok(())
    }

    async fn publish_and_kill_a_third(&mut self) -> Result<Vec<String>, MeshError> {
        let mut victims = self.mesh.node_names();
        victims.shuffle(&mut StdRng::seed_from_u64(self.size.seed));
        victims.truncate(victims.len() / 3);
        self.publish().await?;
        for victim in &victims {
            self.mesh.node_mut(victim)?.process()?.kill();
        }
        Ok(victims)
    }

    /// Starts nodes again; returns the time until all are ready and the contents that were read.
    async fn restart(&mut self, nodes: &[String]) -> Result<(f64, u64), MeshError> {
        self.mesh.platform().reset_counters().await?;
        let start = wall_clock();
        for node in nodes {
            self.mesh.start_node(node).await?;
        }
        self.wait_everywhere().await?;
        let millis = start.elapsed(wall_clock()).as_secs_f64() * 1_000.0;
        let counters = self.mesh.platform().counters().await?;
        Ok((millis, counters.objects_read))
    }

    /// Waits until every running node has the newest version in force.
    async fn wait_everywhere(&mut self) -> Result<(), MeshError> {
        let newest = self.newest();
        let mut running = Vec::new();
        for name in self.mesh.node_names() {
            if self.mesh.node_mut(&name)?.is_running() {
                running.push(name);
            }
        }
        for name in running {
            let has_newest = async || self.applied(&name).contains_key(&newest);
            let what = format!("version {newest} on {name}");
            wait_until(&what, LIMIT, has_newest).await?;
        }
        Ok(())
    }

    /// Returns when a node's current process put each version in force, by its log.
    fn applied(&self, node: &str) -> BTreeMap<u64, u64> {
        let Ok(node) = self.mesh.node(node) else {
            return BTreeMap::new();
        };
        let log = node.log_text();
        let events = log.lines().filter(|line| line.contains("config-applied"));
        events
            .filter_map(|line| serde_json::from_str::<Value>(line).ok())
            .filter_map(|event| Some((event["version"].as_u64()?, event["ts"].as_u64()?)))
            .collect()
    }

    /// Returns the delays of every running node for `versions`, in milliseconds and in order.
    fn delays(&mut self, versions: std::ops::RangeInclusive<u64>) -> Vec<f64> {
        let mut delays = Vec::new();
        for name in self.mesh.node_names() {
            let is_running = self.mesh.node_mut(&name).is_ok_and(MeshNode::is_running);
            if !is_running {
                continue;
            }
            let applied = self.applied(&name);
            for version in versions.clone() {
                let accepted = self.accepted[&version].as_micros() as f64 / 1_000.0;
                if let Some(at) = applied.get(&version) {
                    delays.push(*at as f64 - accepted);
                }
            }
        }
        delays.sort_by(f64::total_cmp);
        delays
    }
}

fn version_key() -> Result<RowKey, MeshError> {
    let mesh = "local".parse()?;
    VersionRow::key(&mesh).parse()
}

/// A configuration with two routes a service; `number` changes one route's path.
fn snapshot(services: u64, number: u64) -> Result<ConfigSnapshot, MeshError> {
    let mut specs = Map::new();
    let mut routes = Map::new();
    for service in 0..services {
        let name = format!("service-{service:02}");
        let spec = json!({
            "crew": null, "slots": 12, "connections": 110, "report_format": "json-load",
            "slow_start": "5s", "drain": "10s",
            "rollout": {"first_share": "5%", "min_requests": 50, "hold": "30s"}
        });
        for kind in ["read", "write"] {
            let change = if service == 0 { number } else { 0 };
            let rule = json!({
                "path": format!("/{name}/{kind}/{change}"), "methods": ["GET"], "service": name,
                "priority": "normal", "idempotent": true, "timeout": "1s", "max_body": 65_536,
                "objective": {"success": "99.9%", "latency": "100ms"}
            });
            routes.insert(format!("{name}-{kind}"), rule);
        }
        specs.insert(name, spec);
    }
    let proxies = (1..=CENTRES).map(|centre| {
        let spec = json!({"spill_order": []});
        (format!("dc{centre}"), spec)
    });
    let proxies: Map<String, Value> = proxies.collect();
    let text = json!({"mesh": "local", "proxies": proxies, "services": specs, "routes": routes});
    serde_json::from_value(text)
        .map_err(|error| MeshError::invalid(format!("experiment's configuration: {error}")))
}
