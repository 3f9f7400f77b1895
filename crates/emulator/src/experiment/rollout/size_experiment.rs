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
    Experiment, ExperimentContext, ExperimentReport,
    rollout::{Workload, sample::lognormal},
};

inventory::submit! {
    Experiment {
        name: "rollout-sizes",
        about: "Bytes of a move's messages and time of its decisions",
        run,
    }
}

const START: ClockInstant = ClockInstant::from_millis(1_000_000_000);
const MEDIAN_MICROS: f64 = 20_000.0;
const SPREAD: f64 = 0.6;

fn run(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let servers = context.size("servers", 3);
    let routes = context.size("routes", 3);
    let requests = context.size("requests", 20_000);
    let mut report = ExperimentReport::new("rollout-sizes", context.seed(), ["what", "value"])
        .size("servers", servers)
        .size("routes", routes)
        .size("requests", requests);
    let mut rng = StdRng::seed_from_u64(context.seed());
    let record = record()?;
    let slot = EvidenceSource {
        node: "n1".parse()?,
        incarnation: IncarnationNumber::new(1),
    };
    let mut table = MoveTable::new(slot.clone(), "dc1".parse()?);
    table.merge_record(record.clone(), START);
    table.set_judge(&record.service, true);
    let mut own = MoveEvidence::new(slot, "dc1".parse()?, record.number, START);
    let mut reports = Vec::new();
    for _ in 0..requests {
        let server = rng.random_range(0..servers);
        let route = rng.random_range(0..routes);
        let side = if rng.random::<bool>() { "v1" } else { "v2" };
        let micros = lognormal(&mut rng, MEDIAN_MICROS, SPREAD) as u64;
        reports.push(outcome(&record.service, server, route, side, micros)?);
    }
    let started_at = Instant::now();
    for outcome in &reports {
        table.record_outcome(outcome, START);
    }
    let per_outcome = nanos_each(started_at, requests);
    let route: RouteName = "route-0".parse()?;
    let started_at = Instant::now();
    let mut shares = 0_u64;
    for _ in 0..requests {
        let split = table.version_split(&record.service, &route, START);
        shares += u64::from(split.share().as_ppm());
    }
    let per_split = nanos_each(started_at, requests);
    for outcome in &reports {
        let side = match outcome.version == record.to {
            true => VersionSide::New,
            false => VersionSide::Old,
        };
        own.record(side, outcome, START);
    }
    let started_at = Instant::now();
    let now = START.after(TimeBudget::from_secs(1));
    table.merge_evidence(&record.service, &own, now);
    let merge = nanos_each(started_at, 1);
    let started_at = Instant::now();
    table.tick(now);
    let tick = nanos_each(started_at, 1);
    let evidence = encoded(&own);
    let cells = own.cells.len() as f64;
    let view = table
        .local_view(&record.service)
        .map(|view| view.to_bytes().len() as f64);
    report.row(["whole evidence of a node, bytes".into(), evidence.into()]);
    report.row(["evidence a cell, bytes".into(), (evidence / cells).into()]);
    report.row(["view, bytes".into(), view.unwrap_or(0.0).into()]);
    report.row([
        "record, bytes".into(),
        (record.to_bytes().len() as f64).into(),
    ]);
    report.row(["record an outcome, ns".into(), per_outcome.into()]);
    report.row(["split of a request, ns".into(), per_split.into()]);
    report.row(["merge whole evidence, ns".into(), merge.into()]);
    report.row(["tick with all of it, ns".into(), tick.into()]);
    report.remark(format!(
        "sum of shares {shares}, so that the splits are not left out"
    ));
    Ok(report)
}

fn record() -> Result<MoveRecord, MeshError> {
    let load = Workload::hemelval();
    let wish = MoveRequest {
        service: "tracker".parse()?,
        from: "v1".parse()?,
        to: "v2".parse()?,
        by: START.after(load.span),
        rule: load.rule,
    };
    MoveRecord::start(None, wish, START, AttemptToken::new(1))
}

fn outcome(
    service: &ServiceName,
    server: u64,
    route: u64,
    version: &str,
    micros: u64,
) -> Result<OutcomeReport, MeshError> {
    Ok(OutcomeReport {
        service: service.clone(),
        route: format!("route-{route}").parse()?,
        version: version.parse()?,
        backend: format!("{service}-{version}-{server}").parse()?,
        class: OutcomeClass::Served,
        latency: TimeBudget::from_micros(micros),
        is_in_slow_start: false,
    })
}

fn nanos_each(started_at: Instant, count: u64) -> f64 {
    started_at.elapsed().as_nanos() as f64 / count as f64
}

/// Returns the size in the encoding of the messages between nodes.
fn encoded(evidence: &MoveEvidence) -> f64 {
    postcard::to_stdvec(evidence).map_or(0.0, |bytes| bytes.len() as f64)
}
