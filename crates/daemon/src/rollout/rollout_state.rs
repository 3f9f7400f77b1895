use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bronzelb_kernel::{
    burn::BurnTable,
    clock::{ClockInstant, TimeBudget},
    ids::{BackendName, DataCentre, RouteName, ServiceName},
    rollout::{
        EvidenceReport, EvidenceSource, ExposureLimit, MoveRecord, MoveTable, OutcomeReport,
        VersionSplit,
    },
};

use slog::info;

use crate::{log::EventName, node::NodeState};

const MAX_TRACKED_BACKENDS: usize = 10_000;

/// Version moves known to a node, shared by its listeners and tasks.
#[derive(Debug)]
pub struct RolloutState {
    table: Mutex<MoveTable>,
    first_seen: Mutex<BTreeMap<BackendName, ClockInstant>>,
    burn: Mutex<BurnTable>,
}

impl RolloutState {
    /// Creates a state without any moves; `exposure_limit` limits later ones, see
    /// [`MoveTable::limit_exposure`].
    #[must_use]
    pub fn new(
        source: EvidenceSource,
        data_centre: DataCentre,
        exposure_limit: Option<ExposureLimit>,
    ) -> Self {
        let mut table = MoveTable::new(source, data_centre);
        table.limit_exposure(exposure_limit);
        Self {
            table: Mutex::new(table),
            first_seen: Mutex::default(),
            burn: Mutex::default(),
        }
    }

    /// Returns how a route's requests are split between the versions of its service.
    #[must_use]
    pub fn version_split(
        &self,
        service: &ServiceName,
        route: &RouteName,
        now: ClockInstant,
    ) -> VersionSplit {
        self.table().version_split(service, route, now)
    }

    /// Records the outcome of an attempt as evidence if a move of its service is running.
    pub fn record_outcome(&self, state: &NodeState, mut report: OutcomeReport, now: ClockInstant) {
        if !self.table().is_running(&report.service) {
            return;
        }
        let slow_start = state.config().and_then(|config| {
            let services = &config.snapshot().services;
            services.get(&report.service).map(|spec| spec.slow_start)
        });
        report.is_in_slow_start =
            self.is_in_slow_start(&report.backend, slow_start.unwrap_or_default(), now);
        if !self.table().record_outcome(&report, now) {
            return;
        }
        state.count_labeled("version_breaker_opened", "service", report.service.as_str());
        info!(state.logger, "{}", EventName::MoveChanged;
            "service" => report.service.to_string(), "state" => "held-here",
            "version" => report.version.to_string(), "backend" => report.backend.to_string(),
            "route" => report.route.to_string());
    }

    /// Merges the record of a move and returns whether it changed the table.
    pub fn merge_record(&self, record: MoveRecord, now: ClockInstant) -> bool {
        self.table().merge_record(record, now)
    }

    /// Merges evidence reported by other nodes.
    pub fn merge_evidence(&self, reports: &[EvidenceReport], now: ClockInstant) {
        let mut table = self.table();
        for report in reports {
            table.merge_evidence(&report.service, &report.evidence, now);
        }
    }

    /// Locks the move table.
    pub(crate) fn table(&self) -> MutexGuard<'_, MoveTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the burn counts of callers' requests.
    pub(crate) fn burn(&self) -> MutexGuard<'_, BurnTable> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether less than `slow_start` has passed since the first outcome of `backend` here.
    fn is_in_slow_start(
        &self,
        backend: &BackendName,
        slow_start: TimeBudget,
        now: ClockInstant,
    ) -> bool {
        let mut seen = self
            .first_seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if seen.len() > MAX_TRACKED_BACKENDS {
            seen.clear();
        }
        let first = *seen.entry(backend.clone()).or_insert(now);
        !first.after(slow_start).has_passed(now)
    }
}
