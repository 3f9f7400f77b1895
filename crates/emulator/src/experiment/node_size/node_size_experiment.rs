use std::time::Instant;

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{ConfigSnapshot, ConfigVersion},
    error::MeshError,
    ids::{DataCentre, ServiceName, VersionNumber},
    member::MemberRow,
    request::{AttemptOutcome, LoadBalancer, SelectionCriteria},
    rollout::VersionSplit,
    spread::ConfigDelta,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::experiment::{
    ExperimentContext, ExperimentEntry, ExperimentReport,
    node_size::{
        config_sample::sample_config, gossip_driver::measure_gossip, member_sample::sample_members,
    },
};

inventory::submit! {
    ExperimentEntry {
        name: "node-size",
        about: "Time and bytes of one node's decisions as members and services grow",
        run,
    }
}

/// Numbers of members and services of each measured mesh.
const MESH_SIZES: [(u64, u64); 6] = [(12, 4), (48, 8), (96, 16), (192, 32), (495, 48), (990, 78)];
const COLUMNS: [&str; 10] = [
    "members",
    "services",
    "snapshot_kb",
    "delta_bytes",
    "apply_snapshot_us",
    "apply_delta_us",
    "choose_us",
    "sync_us",
    "idle_spread_cpu_percent",
    "idle_spread_bytes_per_s",
];
const DEFAULT_SECONDS: u64 = 120;
const APPLY_ROUNDS: u64 = 20;
const CHOOSE_ROUNDS: u64 = 50_000;
const SYNC_ROUNDS: u64 = 20;
const BYTES_PER_KB: f64 = 1_000.0;
const MICROS_PER_SECOND: f64 = 1_000_000.0;
const PERCENT: f64 = 100.0;

fn run(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let seconds = context.size("seconds", DEFAULT_SECONDS);
    let mut report = ExperimentReport::new("node-size", context.seed(), COLUMNS)
        .with_size("seconds", seconds)
        .with_size("choose_rounds", CHOOSE_ROUNDS);
    for (members, services) in MESH_SIZES {
        let rows = sample_members(members, services)?;
        let config = measure_config(services)?;
        let choice = measure_choice(&rows, context.seed())?;
        let version =
            ConfigVersion::from_snapshot(VersionNumber::new(1), sample_config(services)?)?;
        let gossip = measure_gossip(&rows, &version, seconds, context.seed())?;
        let cpu_percent = gossip.busy_time.as_secs_f64() / seconds as f64 * PERCENT;
        report.add_row([
            members.into(),
            services.into(),
            config.snapshot_kb.into(),
            config.delta_bytes.into(),
            config.apply_snapshot_us.into(),
            config.apply_delta_us.into(),
            choice.choose_us.into(),
            choice.sync_us.into(),
            cpu_percent.into(),
            (gossip.bytes as f64 / seconds as f64).into(),
        ]);
    }
    report.add_remark(
        "Bytes are those of postcard-encoded messages, sent and received, without transport and \
         TCP framing.",
    );
    report.add_remark(
        "The peers are in the same state as the node: the idle_spread columns include no churn \
         and no new version.",
    );
    Ok(report)
}

struct ConfigCost {
    snapshot_kb: f64,
    delta_bytes: u64,
    apply_snapshot_us: f64,
    apply_delta_us: f64,
}

fn measure_config(services: u64) -> Result<ConfigCost, MeshError> {
    let base = ConfigVersion::from_snapshot(VersionNumber::new(1), sample_config(services)?)?;
    let target =
        ConfigVersion::from_snapshot(VersionNumber::new(2), change_timeout(base.snapshot())?)?;
    let delta = ConfigDelta::between(&base, &target).to_bytes();
    let apply_snapshot_us = mean_micros(APPLY_ROUNDS, || {
        ConfigVersion::from_bytes(target.stamp(), target.body().clone()).map(drop)
    })?;
    let apply_delta_us = mean_micros(APPLY_ROUNDS, || {
        let body = ConfigDelta::from_bytes(&delta)?.apply(base.snapshot());
        ConfigVersion::from_bytes(target.stamp(), body.to_bytes()).map(drop)
    })?;
    Ok(ConfigCost {
        snapshot_kb: base.body().len() as f64 / BYTES_PER_KB,
        delta_bytes: delta.len() as u64,
        apply_snapshot_us,
        apply_delta_us,
    })
}

/// Returns a copy of the configuration with the timeout of one route changed.
fn change_timeout(base: &ConfigSnapshot) -> Result<ConfigSnapshot, MeshError> {
    let mut snapshot = base.clone();
    let rule = snapshot
        .routes
        .get_mut("service-0-route-0")
        .ok_or_else(|| MeshError::invalid("sample configuration has no route service-0-route-0"))?;
    rule.timeout = TimeBudget::from_millis(1_999);
    Ok(snapshot)
}

struct ChoiceCost {
    choose_us: f64,
    sync_us: f64,
}

fn measure_choice(rows: &[MemberRow], seed: u64) -> Result<ChoiceCost, MeshError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let now = ClockInstant::from_millis(1_000_000);
    let mut balancer = LoadBalancer::default();
    let sync_us = mean_micros(SYNC_ROUNDS, || {
        balancer.sync(now, rows.iter(), |_| TimeBudget::ZERO);
        Ok(())
    })?;
    let service: ServiceName = "service-0".parse()?;
    let data_centre: DataCentre = rows[0].data_centre.clone();
    let spill_order: Vec<DataCentre> = (2..=5_u8)
        .map(|centre| crate::mesh::data_centre_name(centre).parse())
        .collect::<Result<_, _>>()?;
    let split = VersionSplit::any();
    let choose_us = mean_micros(CHOOSE_ROUNDS, || {
        let criteria = SelectionCriteria {
            service: &service,
            versions: split.choose(rng.random()),
            data_centre: &data_centre,
            spill_order: &spill_order,
            tried: &[],
            latency_target: None,
        };
        if let Some(choice) = balancer.select(now, &criteria, &mut rng) {
            let took = TimeBudget::from_millis(1);
            balancer.record_outcome(now, &service, &choice.backend, AttemptOutcome::Served, took);
        }
        Ok(())
    })?;
    Ok(ChoiceCost { choose_us, sync_us })
}

fn mean_micros(
    rounds: u64,
    mut round: impl FnMut() -> Result<(), MeshError>,
) -> Result<f64, MeshError> {
    let started_at = Instant::now();
    for _ in 0..rounds {
        round()?;
    }
    Ok(started_at.elapsed().as_secs_f64() * MICROS_PER_SECOND / rounds as f64)
}
