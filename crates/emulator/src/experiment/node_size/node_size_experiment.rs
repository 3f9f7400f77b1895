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
    Experiment, ExperimentContext, ExperimentReport,
    node_size::{
        config_sample::sample_config, member_sample::sample_members, spread_drive::drive_spread,
    },
};

inventory::submit! {
    Experiment {
        name: "node-size",
        about: "Time and bytes of one node's decisions at growing numbers of members and services",
        run,
    }
}

const SIZES: [(u64, u64); 6] = [(12, 4), (48, 8), (96, 16), (192, 32), (495, 48), (990, 78)];
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
        .size("seconds", seconds)
        .size("choose_rounds", CHOOSE_ROUNDS);
    for (members, services) in SIZES {
        let rows = sample_members(members, services)?;
        let config = measure_config(services)?;
        let choice = measure_choice(&rows, context.seed())?;
        let version =
            ConfigVersion::from_snapshot(VersionNumber::new(1), sample_config(services)?)?;
        let spread = drive_spread(&rows, &version, seconds, context.seed())?;
        let busy = spread.busy.as_secs_f64() / seconds as f64 * PERCENT;
        report.row([
            members.into(),
            services.into(),
            config.snapshot_kb.into(),
            config.delta_bytes.into(),
            config.apply_snapshot_us.into(),
            config.apply_delta_us.into(),
            choice.choose_us.into(),
            choice.sync_us.into(),
            busy.into(),
            (spread.bytes as f64 / seconds as f64).into(),
        ]);
    }
    report.remark(
        "Bytes are postcard-encoded messages both ways, without transport and TCP framing.",
    );
    report
        .remark("The peers agree with the node: no churn and no version is in the spread columns.");
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
    let target = ConfigVersion::from_snapshot(VersionNumber::new(2), changed(base.snapshot())?)?;
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

/// Returns the configuration with one route's timeout changed.
fn changed(base: &ConfigSnapshot) -> Result<ConfigSnapshot, MeshError> {
    let mut snapshot = base.clone();
    let rule = snapshot
        .routes
        .get_mut("service-0-route-0")
        .ok_or_else(|| MeshError::invalid("the sample has no route"))?;
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
    let mut book = LoadBalancer::default();
    let sync_us = mean_micros(SYNC_ROUNDS, || {
        book.sync(now, rows.iter(), |_| TimeBudget::ZERO);
        Ok(())
    })?;
    let service: ServiceName = "service-0".parse()?;
    let home: DataCentre = rows[0].data_centre.clone();
    let spill: Vec<DataCentre> = (2..=5_u8)
        .map(|centre| crate::mesh::data_centre_name(centre).parse())
        .collect::<Result<_, _>>()?;
    let split = VersionSplit::any();
    let choose_us = mean_micros(CHOOSE_ROUNDS, || {
        let rule = SelectionCriteria {
            service: &service,
            versions: split.choose(rng.random()),
            data_centre: &home,
            spill_order: &spill,
            tried: &[],
            latency_target: None,
        };
        if let Some(place) = book.select(now, &rule, &mut rng) {
            let took = TimeBudget::from_millis(1);
            book.record_outcome(now, &service, &place.backend, AttemptOutcome::Served, took);
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
