use bronzelb_kernel::{error::MeshError, spread::SpreadMode};

use crate::experiment::{
    Experiment, ExperimentContext, ExperimentReport,
    spread::spread_trial::{TrialResult, TrialSize, run_trial},
};

inventory::submit! {
    Experiment {
        name: "spread",
        about: "Time until a version is in force everywhere, control bytes, and what they cost",
        run,
    }
}

const DEFAULT_NODES: u64 = 12;
const DEFAULT_SERVICES: u64 = 78;
const DEFAULT_CHANGES: u64 = 10;
const DEFAULT_IDLE_SECONDS: u64 = 10;
/// Time between two changes at the letter's rate of 3,500 a day.
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
    let size = TrialSize {
        nodes: context.size("nodes", DEFAULT_NODES),
        services: context.size("services", DEFAULT_SERVICES),
        changes: context.size("changes", DEFAULT_CHANGES),
        idle_seconds: context.size("idle_seconds", DEFAULT_IDLE_SECONDS),
        seed: context.seed(),
    };
    let ways = context.size("ways", SpreadMode::ALL.len() as u64);
    let mut report = ExperimentReport::new("spread", context.seed(), COLUMNS)
        .size("nodes", size.nodes)
        .size("data_centres", 3)
        .size("services", size.services)
        .size("changes", size.changes)
        .size("idle_seconds", size.idle_seconds);
    let mut chosen_last = None;
    for mode in SpreadMode::ALL.into_iter().take(ways as usize) {
        let result = context.block_on(run_trial(size, mode))?;
        let last = percentile(&result.quiet_ms, 1.0);
        let ratio = last / *chosen_last.get_or_insert(last);
        add_row(&mut report, mode, &result, ratio);
        if mode == SpreadMode::Mixed {
            report = report.size("config_bytes", result.body_bytes);
        }
    }
    report.remark("delays run from the sending of the accepting write to the node's log event");
    report.remark("bytes are sent plus received on peer connections, a node");
    Ok(report)
}

fn add_row(report: &mut ExperimentReport, mode: SpreadMode, result: &TrialResult, ratio: f64) {
    let idle = &result.idle;
    let rate = idle.bytes + result.change_bytes / SECONDS_PER_CHANGE;
    report.row([
        mode.name().into(),
        percentile(&result.quiet_ms, 0.5).into(),
        percentile(&result.quiet_ms, 0.99).into(),
        percentile(&result.quiet_ms, 1.0).into(),
        result.killed_last_ms.into(),
        idle.bytes.into(),
        idle.max_bytes.into(),
        result.change_bytes.into(),
        rate.into(),
        idle.cpu_percent.into(),
        idle.max_cpu_percent.into(),
        idle.max_resident_mb.into(),
        result.reads_per_second.into(),
        result.herd_ms.into(),
        result.herd_objects.into(),
        result.herd_bytes.into(),
        ratio.into(),
    ]);
}

/// Returns the value under which `share` of the ordered `values` lie.
fn percentile(values: &[f64], share: f64) -> f64 {
    let rank = (share * values.len() as f64).ceil() as usize;
    let index = rank.saturating_sub(1);
    values.get(index).copied().unwrap_or(f64::NAN)
}
