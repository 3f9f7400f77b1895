//! Retries in call chains in which every level decides independently.

use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    ids::{BackendName, DataCentre, IncarnationNumber, ServiceName, SlotCount},
    member::{BackendIncarnation, BackendRow, BackendState, MemberRow, MemberState, StatedLimit},
    request::{AttemptOutcome, LoadBalancer, RetryBudget, RetryContext, SelectionCriteria},
    rollout::VersionSplit,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const DEPTH: usize = 21;
const CALLS: usize = 4_000;
const SERVERS: usize = 3;
const MAX_ATTEMPTS_PER_CALL: f64 = 1.2;

/// Call chain with one node per level; each node calls the service of the next level.
struct Chain {
    levels: Vec<(LoadBalancer, RetryBudget)>,
    attempts: Vec<usize>,
    now: ClockInstant,
    rng: SmallRng,
    deepest_failure_probability: f64,
    service: ServiceName,
    data_centre: DataCentre,
    split: VersionSplit,
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("name is valid")
}

fn members() -> Vec<MemberRow> {
    let member = |index: usize| MemberRow {
        node: name(&format!("node-{index}")),
        incarnation: IncarnationNumber::new(1),
        revision: 1,
        state: MemberState::Serving,
        data_centre: name("leuven"),
        peer_address: "127.0.0.1:1".parse().expect("address is valid"),
        backends: vec![BackendRow {
            incarnation: BackendIncarnation::default(),
            limit: StatedLimit::Unknown,
            name: name(&format!("server-{index}")),
            service: name("tracker"),
            version: name("v1"),
            slots: SlotCount::new(12),
            state: BackendState::Serving,
            is_reported_healthy: true,
            cold_until: None,
            times: BTreeMap::new(),
        }],
    };
    (0..SERVERS).map(member).collect()
}

impl Chain {
    fn new(deepest_failure_probability: f64, seed: u64) -> Self {
        let now = ClockInstant::from_millis(1_000_000);
        let rows = members();
        let level = |_| {
            let mut balancer = LoadBalancer::default();
            balancer.sync(now, rows.iter(), |_| TimeBudget::ZERO);
            (balancer, RetryBudget::default())
        };
        Self {
            levels: (0..DEPTH).map(level).collect(),
            attempts: vec![0; DEPTH],
            now,
            rng: SmallRng::seed_from_u64(seed),
            deepest_failure_probability,
            service: name("tracker"),
            data_centre: name("leuven"),
            split: VersionSplit::any(),
        }
    }

    /// Calls the service at `level` and returns whether the call succeeded.
    fn call(&mut self, level: usize, is_nested_retry: bool) -> bool {
        if !is_nested_retry {
            self.levels[level].1.deposit();
        }
        let mut tried: Vec<BackendName> = Vec::new();
        loop {
            let criteria = SelectionCriteria {
                service: &self.service,
                versions: self.split.choose(0),
                data_centre: &self.data_centre,
                spill_order: &[],
                tried: &tried,
                latency_target: None,
            };
            let chosen = self.levels[level]
                .0
                .select(self.now, &criteria, &mut self.rng);
            let Some(location) = chosen else {
                return false;
            };
            self.attempts[level] += 1;
            let is_retry = is_nested_retry || !tried.is_empty();
            let outcome = self.attempt(level, is_retry);
            let took = TimeBudget::from_millis(1);
            let (balancer, budget) = &mut self.levels[level];
            balancer.record_outcome(self.now, &self.service, &location.backend, outcome, took);
            if outcome == AttemptOutcome::Served {
                return true;
            }
            tried.push(location.backend);
            let context = RetryContext {
                outcome,
                idempotent: true,
                attempts: tried.len() as u32,
                is_nested_retry,
                deadline: self.now.after(TimeBudget::from_secs(1)),
                failure_share: balancer.failure_share(self.now, &self.service),
            };
            if !budget.try_withdraw(self.now, &context) {
                return false;
            }
        }
    }

    fn attempt(&mut self, level: usize, is_nested_retry: bool) -> AttemptOutcome {
        let is_served = match level + 1 == DEPTH {
            true => !self.rng.random_bool(self.deepest_failure_probability),
            false => self.call(level + 1, is_nested_retry),
        };
        match is_served {
            true => AttemptOutcome::Served,
            false => AttemptOutcome::Failed,
        }
    }

    fn run(&mut self) -> (f64, usize) {
        let mut served = 0;
        for _ in 0..CALLS {
            served += usize::from(self.call(0, false));
            self.now = self.now.after(TimeBudget::from_millis(1));
        }
        let attempts: usize = self.attempts.iter().sum();
        (attempts as f64 / (CALLS * DEPTH) as f64, served)
    }
}

#[test]
fn deep_chain_does_not_multiply_retries_when_the_deepest_service_fails_half() {
    for seed in 0..5 {
        let mut chain = Chain::new(0.5, seed);
        let (ratio, _) = chain.run();
        assert!(
            ratio < MAX_ATTEMPTS_PER_CALL,
            "seed {seed}: {ratio} attempts per call"
        );
    }
}

#[test]
fn deep_chain_hides_rare_failures() {
    for seed in 0..5 {
        let mut chain = Chain::new(0.03, seed);
        let (ratio, served) = chain.run();
        assert!(
            ratio < MAX_ATTEMPTS_PER_CALL,
            "seed {seed}: {ratio} attempts per call"
        );
        assert!(
            served * 1_000 > CALLS * 985,
            "seed {seed}: {served} of {CALLS} served"
        );
    }
}
