use std::time::Instant;

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::MeshError,
    ids::{AttemptToken, IncarnationNumber, RouteName, ServiceName},
    rollout::{
        EvidenceSource, MoveEvidence, MoveRecord, MoveRequest, MoveTable, OutcomeClass,
        OutcomeReport, VersionSide,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::experiment::{
    ExperimentContext, ExperimentEntry, ExperimentReport,
    rollout::{TrialWorkload, sample::lognormal},
};

inventory::submit! {
    ExperimentEntry {
        name: "rollout-sizes",
        about: "Size of a move's messages and time of its decisions",
        run,
    }
}

const START: ClockInstant = ClockInstant::from_millis(1_000_000_000);
const MEDIAN_LATENCY_US: f64 = 20_000.0;
const LATENCY_SIGMA: f64 = 0.6;

fn run(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let servers = context.size("servers", 3);
    let routes = context.size("routes", 3);
    let requests = context.size("requests", 20_000);
    let mut report = ExperimentReport::new("rollout-sizes", context.seed(), ["what", "value"])
        .with_size("servers", servers)
        .with_size("routes", routes)
        .with_size("requests", requests);
    let mut rng = StdRng::seed_from_u64(context.seed());
    let record = move_record()?;
    let source = EvidenceSource {
        node: "n1".parse()?,
        incarnation: IncarnationNumber::new(1),
    };
    let mut table = MoveTable::new(source.clone(), "dc1".parse()?);
    table.merge_record(record.clone(), START);
    table.set_judge(&record.service, true);
    let mut evidence = MoveEvidence::new(source, "dc1".parse()?, record.number, START);
    let mut reports = Vec::new();
    for _ in 0..requests {
        let server = rng.random_range(0..servers);
        let route = rng.random_range(0..routes);
        let version = if rng.random::<bool>() { "v1" } else { "v2" };
        let latency_us = lognormal(&mut rng, MEDIAN_LATENCY_US, LATENCY_SIGMA) as u64;
        reports.push(outcome_report(
            &record.service,
            server,
            route,
            version,
            latency_us,
        )?);
    }
    let started_at = Instant::now();
    for outcome_report in &reports {
        table.record_outcome(outcome_report, START);
    }
    let record_ns = mean_nanos(started_at, requests);
    let route: RouteName = "route-0".parse()?;
    let started_at = Instant::now();
    let mut share_sum = 0_u64;
    for _ in 0..requests {
        let split = table.version_split(&record.service, &route, START);
        share_sum += u64::from(split.share().as_ppm());
    }
    let split_ns = mean_nanos(started_at, requests);
    for outcome_report in &reports {
        let side = match outcome_report.version == record.to {
            true => VersionSide::New,
            false => VersionSide::Old,
        };
        evidence.record(side, outcome_report, START);
    }
    let started_at = Instant::now();
    let now = START.after(TimeBudget::from_secs(1));
    table.merge_evidence(&record.service, &evidence, now);
    let merge_ns = mean_nanos(started_at, 1);
    let started_at = Instant::now();
    table.tick(now);
    let tick_ns = mean_nanos(started_at, 1);
    let evidence_bytes = encoded_len(&evidence);
    let cells = evidence.cells.len() as f64;
    let view_bytes = table
        .local_view(&record.service)
        .map(|view| view.to_bytes().len() as f64);
    report.add_row([
        "whole evidence of a node, bytes".into(),
        evidence_bytes.into(),
    ]);
    report.add_row([
        "evidence a cell, bytes".into(),
        (evidence_bytes / cells).into(),
    ]);
    report.add_row(["view, bytes".into(), view_bytes.unwrap_or(0.0).into()]);
    report.add_row([
        "record, bytes".into(),
        (record.to_bytes().len() as f64).into(),
    ]);
    report.add_row(["record an outcome, ns".into(), record_ns.into()]);
    report.add_row(["split of a request, ns".into(), split_ns.into()]);
    report.add_row(["merge whole evidence, ns".into(), merge_ns.into()]);
    report.add_row(["tick with all of it, ns".into(), tick_ns.into()]);
    report.add_remark(format!(
        "sum of shares {share_sum}, which keeps the compiler from removing the splits"
    ));
    Ok(report)
}

fn move_record() -> Result<MoveRecord, MeshError> {
    let workload = TrialWorkload::hemelval();
    let request = MoveRequest {
        service: "tracker".parse()?,
        from: "v1".parse()?,
        to: "v2".parse()?,
        by: START.after(workload.duration),
        rule: workload.rule,
    };
    MoveRecord::start(None, request, START, AttemptToken::new(1))
}

fn outcome_report(
    service: &ServiceName,
    server: u64,
    route: u64,
    version: &str,
    latency_us: u64,
) -> Result<OutcomeReport, MeshError> {
    Ok(OutcomeReport {
        service: service.clone(),
        route: format!("route-{route}").parse()?,
        version: version.parse()?,
        backend: format!("{service}-{version}-{server}").parse()?,
        class: OutcomeClass::Served,
        latency: TimeBudget::from_micros(latency_us),
        is_in_slow_start: false,
    })
}

fn mean_nanos(started_at: Instant, count: u64) -> f64 {
    started_at.elapsed().as_nanos() as f64 / count as f64
}

/// Returns the encoded size in messages between nodes, in bytes.
fn encoded_len(evidence: &MoveEvidence) -> f64 {
    postcard::to_stdvec(evidence).map_or(0.0, |bytes| bytes.len() as f64)
}
