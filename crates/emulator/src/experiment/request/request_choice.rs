use std::{collections::BTreeMap, time::Instant};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::MeshError,
    ids::{DataCentre, IncarnationNumber, ServiceName, SlotCount},
    member::{BackendIncarnation, BackendRow, BackendState, MemberRow, MemberState, StatedLimit},
    request::{AttemptOutcome, LoadBalancer, SelectionCriteria},
    rollout::VersionSplit,
};
use rand::{SeedableRng, rngs::SmallRng};

use crate::experiment::{ExperimentContext, ExperimentEntry, ExperimentReport};

inventory::submit! {
    ExperimentEntry {
        name: "request-choice",
        about: "Time to choose a server and to sync the members, as the number of servers grows",
        run,
    }
}

const DEFAULT_CHOICES: u64 = 100_000;
const DEFAULT_SYNCS: u64 = 50;
const DEFAULT_SERVICES: u64 = 78;
const NODE_COUNTS: [u64; 4] = [78, 234, 990, 3_960];
/// Simulated time between calls, also recorded as the latency of each call.
const CALL_INTERVAL: TimeBudget = TimeBudget::from_micros(100);
const SLOTS: u32 = 12;

/// Load balancer and its members: one server on each node, distributed over services and data
/// centres.
struct ChoiceBench {
    balancer: LoadBalancer,
    members: Vec<MemberRow>,
    now: ClockInstant,
    rng: SmallRng,
}

fn run(context: &ExperimentContext) -> Result<ExperimentReport, MeshError> {
    let choices = context.size("choices", DEFAULT_CHOICES);
    let syncs = context.size("syncs", DEFAULT_SYNCS);
    let services = context.size("services", DEFAULT_SERVICES).max(1);
    let columns = [
        "nodes",
        "servers_of_service",
        "choose_and_settle_ns",
        "sync_us",
    ];
    let mut report = ExperimentReport::new("request-choice", context.seed(), columns)
        .with_size("choices", choices)
        .with_size("syncs", syncs)
        .with_size("services", services);
    for nodes in NODE_COUNTS {
        let mut bench = ChoiceBench::new(nodes, services, context.seed())?;
        let sync_us = bench.time_syncs(syncs);
        let choose_ns = bench.time_choices(choices)?;
        report.add_row([
            nodes.into(),
            nodes.div_ceil(services).into(),
            choose_ns.into(),
            sync_us.into(),
        ]);
    }
    Ok(report)
}

impl ChoiceBench {
    fn new(nodes: u64, services: u64, seed: u64) -> Result<Self, MeshError> {
        let members = (0..nodes)
            .map(|index| sample_member(index, services))
            .collect::<Result<_, _>>()?;
        Ok(Self {
            balancer: LoadBalancer::default(),
            members,
            now: ClockInstant::from_millis(1_000_000),
            rng: SmallRng::seed_from_u64(seed),
        })
    }

    /// Returns the mean time of a sync in microseconds.
    fn time_syncs(&mut self, syncs: u64) -> f64 {
        let started_at = Instant::now();
        for _ in 0..syncs {
            self.now = self.now.after(CALL_INTERVAL);
            self.balancer
                .sync(self.now, self.members.iter(), |_| TimeBudget::ZERO);
        }
        started_at.elapsed().as_secs_f64() * 1_000_000.0 / syncs as f64
    }

    /// Returns the mean time in nanoseconds to choose a server and record the outcome.
    fn time_choices(&mut self, choices: u64) -> Result<f64, MeshError> {
        let service: ServiceName = "service-0".parse()?;
        let data_centre: DataCentre = "dc0".parse()?;
        let spill_order: Vec<DataCentre> = vec!["dc1".parse()?, "dc2".parse()?];
        let split = VersionSplit::any();
        let started_at = Instant::now();
        for _ in 0..choices {
            let criteria = SelectionCriteria {
                service: &service,
                versions: split.choose(0),
                data_centre: &data_centre,
                spill_order: &spill_order,
                tried: &[],
                latency_target: None,
            };
            let Some(choice) = self.balancer.select(self.now, &criteria, &mut self.rng) else {
                continue;
            };
            self.now = self.now.after(CALL_INTERVAL);
            let outcome = AttemptOutcome::Served;
            self.balancer.record_outcome(
                self.now,
                &service,
                &choice.backend,
                outcome,
                CALL_INTERVAL,
            );
        }
        Ok(started_at.elapsed().as_secs_f64() * 1_000_000_000.0 / choices as f64)
    }
}

fn sample_member(index: u64, services: u64) -> Result<MemberRow, MeshError> {
    let data_centre = index / services % 5;
    Ok(MemberRow {
        node: format!("node-{index}").parse()?,
        incarnation: IncarnationNumber::new(1),
        revision: 1,
        state: MemberState::Serving,
        data_centre: format!("dc{data_centre}").parse()?,
        peer_address: ([127, 0, 0, 1], 1).into(),
        backends: vec![BackendRow {
            incarnation: BackendIncarnation::default(),
            limit: StatedLimit::Unknown,
            name: format!("server-{index}").parse()?,
            service: format!("service-{}", index % services).parse()?,
            version: "v1".parse()?,
            slots: SlotCount::new(SLOTS),
            state: BackendState::Serving,
            is_reported_healthy: true,
            cold_until: None,
            times: BTreeMap::new(),
        }],
    })
}
