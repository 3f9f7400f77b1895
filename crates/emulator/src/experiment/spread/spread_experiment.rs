use bronzelb_kernel::{error::MeshError, spread::SpreadMode};

use crate::experiment::{
    ExperimentContext, ExperimentEntry, ExperimentReport,
    spread::spread_trial::{SpreadResult, SpreadSize, run_spread_trial},
};

inventory::submit! {
    ExperimentEntry {
        name: "spread",
        about: "Time until all nodes apply a version, control traffic, and their cost",
        run,
    }
}

const DEFAULT_NODES: u64 = 12;
const DEFAULT_SERVICES: u64 = 78;
const DEFAULT_CHANGES: u64 = 10;
const DEFAULT_IDLE_SECONDS: u64 = 10;
/// Time between two changes at the target rate of 3,500 a day.
const SECONDS_PER_CHANGE: f64 = 86_400.0 / 3_500.0;
const COLUMNS: [&str; 17] = [
    "way",
    "median_ms",
    "p99_ms",
    "last_ms",
    "killed_last_ms",
    "idle_bytes_s",
    "max_bytes_s",
    "change_bytes",
    "rate_bytes_s",
    "cpu_percent",
    "max_cpu_percent",
    "max_rss_mb",
    "reads_s",
    "herd_ms",
    "herd_objects",
    "herd_bytes",
    "last_ratio",
];

fn run(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let size = SpreadSize {
        nodes: context.size("nodes", DEFAULT_NODES),
        services: context.size("services", DEFAULT_SERVICES),
        changes: context.size("changes", DEFAULT_CHANGES),
        idle_seconds: context.size("idle_seconds", DEFAULT_IDLE_SECONDS),
        seed: context.seed(),
    };
    let ways = context.size("ways", SpreadMode::ALL.len() as u64);
    let mut report = ExperimentReport::new("spread", context.seed(), COLUMNS)
        .with_size("nodes", size.nodes)
        .with_size("data_centres", 3)
        .with_size("services", size.services)
        .with_size("changes", size.changes)
        .with_size("idle_seconds", size.idle_seconds);
    let mut first_mode_last_ms = None;
    for mode in SpreadMode::ALL.into_iter().take(ways as usize) {
        let result = context.block_on(run_spread_trial(size, mode))?;
        let last_ms = percentile(&result.steady_delays_ms, 1.0);
        let ratio = last_ms / *first_mode_last_ms.get_or_insert(last_ms);
        add_row(&mut report, mode, &result, ratio);
        if mode == SpreadMode::Mixed {
            report = report.with_size("config_bytes", result.body_bytes);
        }
    }
    report.add_remark(
        "delays are measured from sending the accepting write to the node's config-applied event",
    );
    report.add_remark("bytes are sent plus received on peer connections, per node");
    Ok(report)
}

fn add_row(report: &mut ExperimentReport, mode: SpreadMode, result: &SpreadResult, ratio: f64) {
    let idle = &result.idle;
    let total_bytes = idle.bytes + result.change_bytes / SECONDS_PER_CHANGE;
    report.add_row([
        mode.name().into(),
        percentile(&result.steady_delays_ms, 0.5).into(),
        percentile(&result.steady_delays_ms, 0.99).into(),
        percentile(&result.steady_delays_ms, 1.0).into(),
        result.last_delay_during_kills_ms.into(),
        idle.bytes.into(),
        idle.max_bytes.into(),
        result.change_bytes.into(),
        total_bytes.into(),
        idle.cpu_percent.into(),
        idle.max_cpu_percent.into(),
        idle.max_resident_mb.into(),
        result.reads_per_second.into(),
        result.restart_ms.into(),
        result.restart_objects_read.into(),
        result.restart_bytes.into(),
        ratio.into(),
    ]);
}

/// Returns the nearest-rank quantile `share` of the sorted `values`, or NaN if there are none.
fn percentile(values: &[f64], share: f64) -> f64 {
    let rank = (share * values.len() as f64).ceil() as usize;
    let index = rank.saturating_sub(1);
    values.get(index).copied().unwrap_or(f64::NAN)
}
