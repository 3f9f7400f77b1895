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
    table::{RowKey, RowPrecondition, RowWrite},
};
use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde_json::{Map, Value, json};
use tokio::time::sleep;

use crate::{
    experiment::spread::mesh_usage::{MeshUsage, UsageRate},
    mesh::{LocalMesh, MeshNode, wait_until},
    server::wall_clock,
};

const DATA_CENTRES: u8 = 3;
const APPLY_TIMEOUT: TimeBudget = TimeBudget::from_secs(120);
const CALL_TIMEOUT: TimeBudget = TimeBudget::from_secs(10);
const SETTLE_TIME: Duration = Duration::from_secs(10);
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Sizes and seed of a trial.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpreadSize {
    pub(crate) nodes: u64,
    pub(crate) services: u64,
    pub(crate) changes: u64,
    pub(crate) idle_seconds: u64,
    pub(crate) seed: u64,
}

/// Figures of one spread mode.
#[derive(Clone, Debug)]
pub(crate) struct SpreadResult {
    /// Milliseconds from the write of each change to its application on each node, without node
    /// failures, sorted.
    pub(crate) steady_delays_ms: Vec<f64>,
    /// Milliseconds until the last surviving node applies a change while a third is killed.
    pub(crate) last_delay_during_kills_ms: f64,
    /// Resource usage of a node while nothing changes.
    pub(crate) idle: UsageRate,
    /// Additional bytes per node for each change.
    pub(crate) change_bytes: f64,
    /// Platform reads per second by all nodes while nothing changes.
    pub(crate) reads_per_second: f64,
    /// Milliseconds from the restart of the first killed node until all nodes have applied the
    /// latest version.
    pub(crate) restart_ms: f64,
    /// Objects read from the platform during the restart.
    pub(crate) restart_objects_read: u64,
    /// Additional bytes of a surviving node for each node that was killed and restarted.
    pub(crate) restart_bytes: f64,
    /// Encoded size of the configuration.
    pub(crate) body_bytes: u64,
}

/// Mesh whose versions are published without the command-line tool, so that the time of acceptance
/// is known.
struct TrialMesh {
    mesh: LocalMesh,
    client: PlatformClient,
    size: SpreadSize,
    current: Option<CurrentRow>,
    accepted_at: BTreeMap<u64, ClockInstant>,
    body_bytes: u64,
}

/// Runs a trial of one spread mode on a new mesh.
pub(crate) async fn run_spread_trial(
    size: SpreadSize,
    mode: SpreadMode,
) -> Result<SpreadResult, MeshError> {
    let mut trial = TrialMesh::start(size, mode).await?;
    trial.publish().await?;
    trial.wait_until_applied().await?;
    sleep(SETTLE_TIME).await;
    trial.mesh.platform().reset_counters().await?;
    let idle_start = MeshUsage::read(&mut trial.mesh).await?;
    sleep(Duration::from_secs(size.idle_seconds)).await;
    let idle_end = MeshUsage::read(&mut trial.mesh).await?;
    let reads = trial.mesh.platform().counters().await?.reads.total;
    let idle = idle_end.rate_since(&idle_start);
    let reads_per_second = reads as f64 / idle_end.time_since(&idle_start).as_secs_f64();
    let first = trial.latest() + 1;
    for _ in 0..size.changes {
        trial.publish().await?;
        trial.wait_until_applied().await?;
        sleep(CHANGE_INTERVAL).await;
    }
    let after_changes = MeshUsage::read(&mut trial.mesh).await?;
    let change_rate = after_changes.rate_since(&idle_end);
    let seconds = after_changes.time_since(&idle_end).as_secs_f64();
    let change_bytes = (change_rate.bytes - idle.bytes) * seconds / size.changes.max(1) as f64;
    let steady_delays_ms = trial.delays(first..=trial.latest());
    let before_kills = MeshUsage::read(&mut trial.mesh).await?;
    let killed_nodes = trial.publish_and_kill_third().await?;
    trial.wait_until_applied().await?;
    let latest = trial.latest();
    let kill_delays = trial.delays(latest..=latest);
    sleep(SETTLE_TIME).await;
    let (restart_ms, restart_objects_read) = trial.restart(&killed_nodes).await?;
    sleep(SETTLE_TIME).await;
    let after_restart = MeshUsage::read(&mut trial.mesh).await?;
    let extra_rate = after_restart.rate_since(&before_kills).bytes - idle.bytes;
    let kill_phase_seconds = after_restart.time_since(&before_kills).as_secs_f64();
    Ok(SpreadResult {
        steady_delays_ms,
        last_delay_during_kills_ms: kill_delays.last().copied().unwrap_or(f64::NAN),
        idle,
        change_bytes,
        reads_per_second,
        restart_ms,
        restart_objects_read,
        restart_bytes: extra_rate * kill_phase_seconds / killed_nodes.len().max(1) as f64,
        body_bytes: trial.body_bytes,
    })
}

impl TrialMesh {
    async fn start(size: SpreadSize, mode: SpreadMode) -> Result<Self, MeshError> {
        let nodes_per_data_centre = u8::try_from(size.nodes / u64::from(DATA_CENTRES))
            .map_err(|_| MeshError::invalid("too many nodes: at most 255 in each data centre"))?;
        let mut mesh = LocalMesh::builder()
            .data_centres(DATA_CENTRES)
            .nodes(nodes_per_data_centre)
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
            accepted_at: BTreeMap::new(),
            body_bytes: 0,
        })
    }

    fn latest(&self) -> u64 {
        self.accepted_at.keys().next_back().copied().unwrap_or(0)
    }

    /// Publishes the next version.
    async fn publish(&mut self) -> Result<(), MeshError> {
        let number = self.latest() + 1;
        let snapshot = sample_config(self.size.services, number)?;
        let attempt = PublishAttempt {
            token: AttemptToken::new(u128::from(number)),
            publisher: "experiment".into(),
            started_at: wall_clock(),
        };
        let plan = PublishPlan::new(self.current.as_ref(), snapshot, attempt)?;
        let body = plan.version().body().clone();
        self.body_bytes = body.len() as u64;
        let deadline = wall_clock().after(CALL_TIMEOUT);
        self.client
            .put_object(&plan.row().object, body, deadline)
            .await?;
        let expected = plan.expected_revision();
        let precondition = expected.map_or(RowPrecondition::Absent, RowPrecondition::Revision);
        let write =
            RowWrite::put(version_key()?, plan.row().to_json()).with_precondition(precondition);
        self.accepted_at.insert(number, wall_clock());
        let revision = self.client.transact(vec![write], deadline).await?;
        self.current = Some(CurrentRow {
            row: plan.row().clone(),
            revision,
        });
        Ok(())
    }

    async fn publish_and_kill_third(&mut self) -> Result<Vec<String>, MeshError> {
        let mut killed_nodes = self.mesh.node_names();
        killed_nodes.shuffle(&mut StdRng::seed_from_u64(self.size.seed));
        killed_nodes.truncate(killed_nodes.len() / 3);
        self.publish().await?;
        for node in &killed_nodes {
            self.mesh.node_mut(node)?.process()?.kill();
        }
        Ok(killed_nodes)
    }

    /// Restarts nodes and returns the milliseconds until all nodes have applied the latest version,
    /// and the number of objects read from the platform.
    async fn restart(&mut self, nodes: &[String]) -> Result<(f64, u64), MeshError> {
        self.mesh.platform().reset_counters().await?;
        let start = wall_clock();
        for node in nodes {
            self.mesh.start_node(node).await?;
        }
        self.wait_until_applied().await?;
        let millis = start.elapsed(wall_clock()).as_secs_f64() * 1_000.0;
        let counters = self.mesh.platform().counters().await?;
        Ok((millis, counters.objects_read))
    }

    /// Waits until every running node has applied the latest version.
    async fn wait_until_applied(&mut self) -> Result<(), MeshError> {
        let latest = self.latest();
        let mut running = Vec::new();
        for name in self.mesh.node_names() {
            if self.mesh.node_mut(&name)?.is_running() {
                running.push(name);
            }
        }
        for name in running {
            let has_latest = async || self.applied_versions(&name).contains_key(&latest);
            let what = format!("version {latest} on {name}");
            wait_until(&what, APPLY_TIMEOUT, has_latest).await?;
        }
        Ok(())
    }

    /// Returns the time at which a node's current process applied each version, from its log.
    fn applied_versions(&self, node: &str) -> BTreeMap<u64, u64> {
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

    /// Returns the sorted delays of all running nodes for `versions`, in milliseconds.
    fn delays(&mut self, versions: std::ops::RangeInclusive<u64>) -> Vec<f64> {
        let mut delays = Vec::new();
        for name in self.mesh.node_names() {
            let is_running = self.mesh.node_mut(&name).is_ok_and(MeshNode::is_running);
            if !is_running {
                continue;
            }
            let applied_versions = self.applied_versions(&name);
            for version in versions.clone() {
                let accepted_at = self.accepted_at[&version].as_micros() as f64 / 1_000.0;
                if let Some(at) = applied_versions.get(&version) {
                    delays.push(*at as f64 - accepted_at);
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

/// Builds a configuration with two routes per service. `number` is part of the paths of the first
/// service.
fn sample_config(services: u64, number: u64) -> Result<ConfigSnapshot, MeshError> {
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
    let proxies = (1..=DATA_CENTRES).map(|centre| {
        let spec = json!({"spill_order": []});
        (format!("dc{centre}"), spec)
    });
    let proxies: Map<String, Value> = proxies.collect();
    let config = json!({"mesh": "local", "proxies": proxies, "services": specs, "routes": routes});
    serde_json::from_value(config)
        .map_err(|error| MeshError::invalid(format!("sample configuration is invalid: {error}")))
}
