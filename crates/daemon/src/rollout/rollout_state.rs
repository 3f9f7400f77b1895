use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bronzelb_kernel::{
    burn::BurnTable,
    clock::{ClockInstant, TimeBudget},
    ids::{BackendName, DataCentre, RouteName, ServiceName},
    rollout::{EvidenceReport, EvidenceSource, MoveRecord, MoveTable, OutcomeReport, VersionSplit},
};

use crate::node::NodeState;

const MAX_SEEN_SERVERS: usize = 10_000;

/// The version moves that a node knows, shared by its listeners and tasks.
#[derive(Debug)]
pub struct RolloutState {
    table: Mutex<MoveTable>,
    first_seen: Mutex<BTreeMap<BackendName, ClockInstant>>,
    burn: Mutex<BurnTable>,
}

impl RolloutState {
    /// Builds the state of a node that knows of no move.
    #[must_use]
    pub fn new(slot: EvidenceSource, data_centre: DataCentre) -> Self {
        Self {
            table: Mutex::new(MoveTable::new(slot, data_centre)),
            first_seen: Mutex::default(),
            burn: Mutex::default(),
        }
    }

    /// Returns the split of a route's requests between the versions of its service.
    #[must_use]
    pub fn version_split(
        &self,
        service: &ServiceName,
        route: &RouteName,
        now: ClockInstant,
    ) -> VersionSplit {
        self.table().version_split(service, route, now)
    }

    /// Counts the outcome of an attempt as evidence.
    pub fn record_outcome(&self, state: &NodeState, mut report: OutcomeReport, now: ClockInstant) {
        if !self.table().is_running(&report.service) {
            return;
        }
        let slow_start = state.config().and_then(|config| {
            let services = &config.snapshot().services;
            services.get(&report.service).map(|spec| spec.slow_start)
        });
        report.is_warming = self.is_warming(&report.backend, slow_start.unwrap_or_default(), now);
        self.table().record_outcome(&report, now);
    }

    /// Takes in the record of a move and returns whether it was news.
    pub fn merge_record(&self, record: MoveRecord, now: ClockInstant) -> bool {
        self.table().merge_record(record, now)
    }

    /// Takes in what other nodes saw.
    pub fn receive(&self, reports: &[EvidenceReport], now: ClockInstant) {
        let mut table = self.table();
        for report in reports {
            table.merge_evidence(&report.service, &report.evidence, now);
        }
    }

    /// Returns the moves, locked.
    pub(crate) fn table(&self) -> MutexGuard<'_, MoveTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the counts of callers' requests, locked.
    pub(crate) fn burn(&self) -> MutexGuard<'_, BurnTable> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_warming(&self, backend: &BackendName, slow_start: TimeBudget, now: ClockInstant) -> bool {
        let mut seen = self
            .first_seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if seen.len() > MAX_SEEN_SERVERS {
            seen.clear();
        }
        let first = *seen.entry(backend.clone()).or_insert(now);
        !first.after(slow_start).has_passed(now)
    }
}
