use std::sync::Arc;

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::ShareRatio,
    error::{ErrorKind, MeshError, RunState},
    ids::BackendName,
    request::{
        AttemptContext, AttemptOutcome, LatencyTarget, RetryContext, RetryDecision, RetryPolicy,
        SelectionCriteria, ServerLocation,
    },
    rollout::{OutcomeClass, OutcomeReport, VersionSplit},
};
use bronzelb_wire::peer::ForwardResponse;

use slog::info;

use crate::{
    forward::{
        BackendClient, PlannedRequest, claim_table::ClaimTable, crash_watch::CrashWatch,
        gate_keeper::SlotPermit, request_state::EntryGate,
    },
    log::EventName,
    node::NodeState,
    peers::PeerPool,
};

const RETRY_PAUSE: TimeBudget = TimeBudget::from_millis(500);

/// Runs callers' requests: chooses a backend server and passes the request to it.
///
/// Each thread has its own forwarder, with its own connections, which clones share.
#[derive(Clone)]
pub struct RequestForwarder {
    state: Arc<NodeState>,
    backends: BackendClient,
    crashes: CrashWatch,
    pub(crate) peers: PeerPool,
    pub(crate) claims: ClaimTable,
}

/// A request's place before the service that it goes to.
pub(crate) struct EntryPass {
    gate: Arc<EntryGate>,
    permit: SlotPermit,
}

impl RequestForwarder {
    /// Builds a forwarder for one thread.
    #[must_use]
    pub fn new(state: Arc<NodeState>) -> Self {
        let peers = PeerPool::new(Arc::clone(&state));
        Self {
            backends: BackendClient::new(Arc::clone(&state), peers.clone()),
            crashes: CrashWatch::new(Arc::clone(&state), peers.clone()),
            claims: ClaimTable::new(Arc::clone(&state)),
            peers,
            state,
        }
    }

    /// Returns the node's shared state.
    #[must_use]
    pub fn state(&self) -> &Arc<NodeState> {
        &self.state
    }

    /// Returns the client of the backend servers beside this node.
    #[must_use]
    pub const fn backends(&self) -> &BackendClient {
        &self.backends
    }

    /// Runs a request and returns the backend server's whole answer.
    ///
    /// # Errors
    ///
    /// The error's kind says whether the request ran; see
    /// [`ErrorKind::response`](bronzelb_kernel::error::ErrorKind::response).
    pub async fn run(&self, planned: PlannedRequest) -> Result<ForwardResponse, MeshError> {
        let _flight = self.state.requests.begin()?;
        if planned.key().is_some() {
            return self.run_keyed(planned).await;
        }
        let pass = self.admit(&planned).await?;
        self.run_admitted(&planned, pass).await
    }

    /// Admits a request to its service, or refuses it at once.
    pub(crate) async fn admit(&self, planned: &PlannedRequest) -> Result<EntryPass, MeshError> {
        let now = self.state.now();
        if planned.deadline.has_passed(now) {
            return Err(deadline_passed());
        }
        self.crashes.check(planned.message.fingerprint)?;
        if let Some(config) = self.state.config() {
            let members = self.state.members();
            self.state.requests.sync(now, &members, config.snapshot());
        }
        if !self.state.requests.book().has_server(&planned.service) {
            return Err(self.no_backend(planned));
        }
        let gate = self.state.requests.entry_gate(&planned.service);
        let priority = planned.message.priority;
        let permit = gate.keeper.enter(priority, planned.deadline).await?;
        Ok(EntryPass { gate, permit })
    }

    /// Runs an admitted request, with retries where they are safe.
    pub(crate) async fn run_admitted(
        &self,
        planned: &PlannedRequest,
        pass: EntryPass,
    ) -> Result<ForwardResponse, MeshError> {
        self.count_fresh(planned);
        let mut tried = Vec::new();
        let mut arrivals = 0;
        let mut end = RequestEnd::default();
        let mut last_outcome = None;
        loop {
            let Some(place) = self.choose(planned, &tried) else {
                if let Some(outcome) = last_outcome {
                    pass.gate.settle(self.state.now(), outcome, true);
                }
                return end.with_default(|| self.no_backend(planned));
            };
            tried.push(place.backend.clone());
            let attempt = u32::try_from(tried.len()).unwrap_or(u32::MAX);
            let (outcome, result) = self.attempt(planned, &place, attempt).await;
            let is_final = result.as_ref().is_err_and(is_final);
            let has_arrived = has_arrived(&result);
            arrivals += u32::from(has_arrived);
            end.take(result);
            if outcome == AttemptOutcome::Served || is_final {
                pass.gate.settle(self.state.now(), outcome, true);
                pass.permit.finish();
                return end.with_default(deadline_passed);
            }
            let may_retry = match self.state.requests.budget_rule() {
                Some(rule) => {
                    let case = AttemptContext {
                        outcome,
                        was_delivered: has_arrived,
                        idempotent: planned.idempotent,
                        nodes_tried: attempt,
                        deliveries: arrivals,
                        max_deliveries: planned.attempts,
                        deadline: planned.deadline,
                        failure_share: self.failure_share(planned),
                    };
                    self.may_repeat(planned, rule, &case)
                }
                None => self.may_retry(planned, outcome, attempt),
            };
            pass.gate.settle(self.state.now(), outcome, !may_retry);
            last_outcome = Some(outcome);
            if !may_retry {
                return end.with_default(deadline_passed);
            }
            self.state.count("retries");
        }
    }

    async fn attempt(
        &self,
        planned: &PlannedRequest,
        place: &ServerLocation,
        attempt: u32,
    ) -> (AttemptOutcome, Result<ForwardResponse, MeshError>) {
        let guard = AttemptGuard::new(&self.state, planned, place);
        let mut message = planned.message.clone();
        message.backend = Some(place.backend.clone());
        message.attempt = message.attempt.max(1) + attempt - 1;
        let result = if place.node == self.state.settings.node {
            let backends = &self.backends;
            backends
                .run(&place.backend, planned.deadline, &message)
                .await
        } else {
            let peers = &self.peers;
            peers.forward(&place.node, planned.deadline, message).await
        };
        let outcome = classify(&result, planned.deadline, self.state.now());
        self.log_attempt(planned, place, attempt, outcome, guard.started_at);
        let class = self.outcome_class(place, outcome, &result);
        guard.report(class);
        guard.settle(outcome, &result);
        (outcome, result)
    }

    /// Logs where a request was sent, by which configuration, and how that ended.
    fn log_attempt(
        &self,
        planned: &PlannedRequest,
        place: &ServerLocation,
        attempt: u32,
        outcome: AttemptOutcome,
        started_at: ClockInstant,
    ) {
        let state = &self.state;
        let now = state.now();
        let took = started_at.elapsed(now);
        state.observe_duration("attempt_ms", "outcome", outcome.name(), took);
        // Failures keep their lines however many requests are served.
        let event = match outcome {
            AttemptOutcome::Served => EventName::RequestServed,
            _ => EventName::RequestAttempted,
        };
        if !state.should_log(event) {
            return;
        }
        let config = state.config();
        info!(state.logger, "{event}";
            "request" => planned.message.request_id.as_str(),
            "route" => planned.message.route.to_string(),
            "service" => planned.service.to_string(), "attempt" => attempt,
            "backend" => place.backend.to_string(), "build" => place.version.to_string(),
            "to_node" => place.node.to_string(), "to_data_centre" => place.data_centre.to_string(),
            "config" => config.as_ref().map(|config| config.stamp().number.get()),
            "config_age_ms" => state.applied_at().elapsed(now).as_millis(),
            "outcome" => outcome.name(), "took_ms" => took.as_millis(),
            "left_ms" => planned.deadline.remaining(now).as_millis());
    }

    fn choose(&self, planned: &PlannedRequest, tried: &[BackendName]) -> Option<ServerLocation> {
        let now = self.state.now();
        let config = self.state.config()?;
        let own = &self.state.settings.data_centre;
        let proxy = config.snapshot().proxies.get(own);
        let split = self.version_split(planned);
        let route = config.snapshot().routes.get(&planned.message.route);
        let objective = route.map(|route| &route.objective);
        let rule = SelectionCriteria {
            service: &planned.service,
            versions: split.choose(planned.version_draw),
            data_centre: own,
            spill_order: proxy.map_or(&[], |proxy| proxy.spill_order.as_slice()),
            tried,
            latency_target: objective.map(|objective| LatencyTarget {
                route: &planned.message.route,
                latency: objective.latency,
            }),
        };
        let mut book = self.state.requests.book();
        book.choose(now, &rule, &mut rand::rng())
    }

    fn version_split(&self, planned: &PlannedRequest) -> VersionSplit {
        let now = self.state.now();
        let rollout = &self.state.rollout;
        rollout.version_split(&planned.service, &planned.message.route, now)
    }

    /// Returns what an attempt says about the version of the server.
    fn outcome_class(
        &self,
        place: &ServerLocation,
        outcome: AttemptOutcome,
        result: &Result<ForwardResponse, MeshError>,
    ) -> OutcomeClass {
        let is_local = place.node == self.state.settings.node;
        match (outcome, result) {
            (_, Ok(answer)) => OutcomeClass::of_status(answer.status),
            (AttemptOutcome::Failed | AttemptOutcome::TimedOut, _) => OutcomeClass::Failed,
            (AttemptOutcome::Lost, _) if is_local || self.peers.is_connected(&place.node) => {
                OutcomeClass::Crashed
            }
            _ => OutcomeClass::NotRun,
        }
    }

    fn count_fresh(&self, planned: &PlannedRequest) {
        let requests = &self.state.requests;
        if let Some(rule) = requests.budget_rule() {
            let now = self.state.now();
            requests.with_shared_budget(rule, &planned.service, |budget| budget.count_request(now));
        } else if !planned.is_nested_retry {
            requests.budget().deposit();
        }
    }

    fn failure_share(&self, planned: &PlannedRequest) -> ShareRatio {
        let now = self.state.now();
        let book = self.state.requests.book();
        book.failure_share(now, &planned.service)
    }

    /// Decides on another attempt by the budget that all nodes share.
    fn may_repeat(
        &self,
        planned: &PlannedRequest,
        rule: RetryPolicy,
        case: &AttemptContext,
    ) -> bool {
        let now = self.state.now();
        match case.decide(now) {
            RetryDecision::Denied => false,
            RetryDecision::Free => true,
            RetryDecision::Budgeted => {
                let nodes = self.state.members().live().count();
                let requests = &self.state.requests;
                requests.with_shared_budget(rule, &planned.service, |budget| {
                    budget.try_take_retry(now, nodes)
                })
            }
        }
    }

    fn may_retry(&self, planned: &PlannedRequest, outcome: AttemptOutcome, attempts: u32) -> bool {
        let now = self.state.now();
        let failure_share = self.failure_share(planned);
        let case = RetryContext {
            outcome,
            idempotent: planned.idempotent,
            attempts,
            is_nested_retry: planned.is_nested_retry,
            deadline: planned.deadline,
            failure_share,
        };
        self.state.requests.budget().try_withdraw(now, &case)
    }

    fn no_backend(&self, planned: &PlannedRequest) -> MeshError {
        let message = format!(
            "no backend server of service {} takes work",
            planned.service
        );
        MeshError::new(ErrorKind::NoBackend, message)
            .with_retry_at(self.state.now().after(RETRY_PAUSE))
    }
}

/// What a request's caller learns after its attempts.
///
/// A later attempt that did not run never hides an earlier one that may have.
#[derive(Default)]
struct RequestEnd {
    result: Option<Result<ForwardResponse, MeshError>>,
}

impl RequestEnd {
    fn take(&mut self, result: Result<ForwardResponse, MeshError>) {
        let may_have_run = |result: &Result<ForwardResponse, MeshError>| match result {
            Ok(_) => true,
            Err(error) => error.kind().response().run_state != RunState::NotRun,
        };
        let hides = self.result.as_ref().is_some_and(may_have_run) && !may_have_run(&result);
        if !hides {
            self.result = Some(result);
        }
    }

    fn with_default(
        self,
        default: impl FnOnce() -> MeshError,
    ) -> Result<ForwardResponse, MeshError> {
        self.result.unwrap_or_else(|| Err(default()))
    }
}

/// Counts an attempt as outstanding at its server until it ends or the caller goes away.
struct AttemptGuard<'a> {
    state: &'a NodeState,
    planned: &'a PlannedRequest,
    place: &'a ServerLocation,
    started_at: ClockInstant,
    is_settled: bool,
}

impl<'a> AttemptGuard<'a> {
    fn new(state: &'a NodeState, planned: &'a PlannedRequest, place: &'a ServerLocation) -> Self {
        Self {
            state,
            planned,
            place,
            started_at: state.now(),
            is_settled: false,
        }
    }

    /// Reports the attempt as evidence about the server's version.
    fn report(&self, class: OutcomeClass) {
        let now = self.state.now();
        let report = OutcomeReport {
            service: self.planned.service.clone(),
            route: self.planned.message.route.clone(),
            version: self.place.version.clone(),
            backend: self.place.backend.clone(),
            class,
            latency: self.started_at.elapsed(now),
            is_warming: false,
        };
        self.state.rollout.record_outcome(self.state, report, now);
    }

    fn settle(mut self, outcome: AttemptOutcome, result: &Result<ForwardResponse, MeshError>) {
        self.end(outcome);
        self.is_settled = true;
        if let Ok(answer) = result {
            let mut book = self.state.requests.book();
            let service = &self.planned.service;
            book.report_load(self.state.now(), service, &self.place.backend, answer.load);
        }
    }

    fn end(&self, outcome: AttemptOutcome) {
        let now = self.state.now();
        let took = self.started_at.elapsed(now);
        let mut book = self.state.requests.book();
        book.record_outcome(
            now,
            &self.planned.service,
            &self.place.backend,
            outcome,
            took,
        );
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.end(AttemptOutcome::Abandoned);
        }
    }
}

fn classify(
    result: &Result<ForwardResponse, MeshError>,
    deadline: ClockInstant,
    now: ClockInstant,
) -> AttemptOutcome {
    let error = match result {
        Ok(answer) if answer.status >= 500 => return AttemptOutcome::Failed,
        Ok(_) => return AttemptOutcome::Served,
        Err(error) => error,
    };
    match error.kind().response().run_state {
        RunState::NotRun if error.kind() == ErrorKind::NoBackend => AttemptOutcome::Unreached,
        RunState::NotRun => AttemptOutcome::Shed,
        RunState::Ran => AttemptOutcome::Failed,
        RunState::OutcomeUnknown if deadline.has_passed(now) => AttemptOutcome::TimedOut,
        RunState::OutcomeUnknown => AttemptOutcome::Lost,
    }
}

/// Returns whether another server would give the same error.
fn is_final(error: &MeshError) -> bool {
    matches!(
        error.kind(),
        ErrorKind::Quarantined
            | ErrorKind::DeadlinePassed
            | ErrorKind::Invalid
            | ErrorKind::TooLarge
            | ErrorKind::Unauthorized
    )
}

/// Returns whether an attempt reached a backend server, whether or not that ran it.
fn has_arrived(result: &Result<ForwardResponse, MeshError>) -> bool {
    match result {
        Ok(_) => true,
        Err(error) => {
            let is_run = error.kind().response().run_state != RunState::NotRun;
            is_run || error.kind() == ErrorKind::Shed
        }
    }
}

fn deadline_passed() -> MeshError {
    MeshError::new(
        ErrorKind::DeadlinePassed,
        "the deadline passed before the request ran",
    )
}
