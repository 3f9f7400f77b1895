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
use bronzelb_wire::peer::{ForwardRequest, ForwardResponse};
use slog::info;

use crate::{
    accounts::{UsageLimiter, UsagePermit},
    forward::{
        BackendClient, RoutedRequest, account_name, claim_table::ClaimTable,
        concurrency_limiter::SlotPermit, crash_registry::CrashRegistry, recheck_account,
        request_state::ServiceLimiter,
    },
    log::{EventName, REQUEST_TAG},
    node::NodeState,
    peers::PeerPool,
};

/// Shortest and longest time, in microseconds, in which the news of a server reaches a node: the
/// minimum time between two rounds of pushes and the mean time between two exchanges
/// ([`GossipOptions`](bronzelb_kernel::spread::GossipOptions)).
const NEWS_DELAY_MICROS: (u64, u64) = (100_000, 1_000_000);
/// Divisor of the time left that gives the longest retry delay without a server, so that a caller
/// with a short deadline can return within it.
const RETURN_TIME_DIVISOR: u64 = 2;

/// Chooses a backend server for each request and forwards the request to it.
///
/// Each thread has its own forwarder, whose clones share its connections.
#[derive(Clone)]
pub struct RequestForwarder {
    state: Arc<NodeState>,
    backends: BackendClient,
    crashes: CrashRegistry,
    pub(crate) peers: PeerPool,
    pub(crate) usage: UsageLimiter,
    pub(crate) claims: ClaimTable,
}

/// Permit of a request that was admitted to its service.
pub(crate) struct ServicePermit {
    limiter: Arc<ServiceLimiter>,
    slot: SlotPermit,
    usage: Option<UsagePermit>,
}

impl RequestForwarder {
    /// Builds a forwarder for one thread.
    #[must_use]
    pub fn new(state: Arc<NodeState>) -> Self {
        let peers = PeerPool::new(Arc::clone(&state));
        Self {
            backends: BackendClient::new(Arc::clone(&state), peers.clone()),
            crashes: CrashRegistry::new(Arc::clone(&state), peers.clone()),
            claims: ClaimTable::new(Arc::clone(&state)),
            usage: UsageLimiter::new(Arc::clone(&state), peers.clone()),
            peers,
            state,
        }
    }

    /// Returns the node's shared state.
    #[must_use]
    pub fn state(&self) -> &Arc<NodeState> {
        &self.state
    }

    /// Returns the client of the backend servers on this node.
    #[must_use]
    pub const fn backends(&self) -> &BackendClient {
        &self.backends
    }

    /// Runs a request and returns the backend server's complete response.
    ///
    /// # Errors
    ///
    /// The error kind states whether the request ran; see
    /// [`ErrorKind::response`](bronzelb_kernel::error::ErrorKind::response).
    pub async fn run(&self, request: RoutedRequest) -> Result<ForwardResponse, MeshError> {
        let requests = &self.state.requests;
        let _flight = requests.begin_request(request.deadline, request.idempotent)?;
        if request.key().is_some() {
            return self.run_keyed(request).await;
        }
        let permit = self.admit(&request).await?;
        self.run_admitted(&request, permit).await
    }

    /// Admits a request to its service, or rejects it as soon as it cannot be served.
    pub(crate) async fn admit(&self, request: &RoutedRequest) -> Result<ServicePermit, MeshError> {
        let now = self.state.now();
        if request.deadline.has_passed(now) {
            return Err(self.deadline_passed());
        }
        self.crashes.check(request.message.fingerprint)?;
        if let Some(config) = self.state.config() {
            self.state
                .requests
                .sync_members(now, &self.state.gossip, config.snapshot());
        }
        if !self
            .state
            .requests
            .load_balancer()
            .has_server(&request.service)
        {
            return Err(self.no_backend(request));
        }
        let account = request.message.account.as_ref();
        let usage = match account {
            Some(rank) => self.usage.admit(&rank.account, request.deadline).await?,
            None => None,
        };
        let limiter = self.state.requests.service_limiter(&request.service);
        let slot = limiter
            .slot_limiter
            .acquire_for(request.gate_request(self.state.config().as_deref()), false)
            .await
            .inspect_err(|_| {
                let waited = now.elapsed(self.state.now());
                self.state
                    .observe_duration("refusal_wait_ms", "place", "gate", waited);
            })?;
        Ok(ServicePermit {
            limiter,
            slot,
            usage,
        })
    }

    /// Runs an admitted request and retries it where that is safe.
    pub(crate) async fn run_admitted(
        &self,
        request: &RoutedRequest,
        mut permit: ServicePermit,
    ) -> Result<ForwardResponse, MeshError> {
        let usage = permit.usage.take();
        // Given back only if every attempt says that the request did not run.
        let running = usage.map(UsagePermit::begin_run);
        let result = self.run_attempts(request, permit).await;
        if let Some(running) = running
            && !may_have_run(&result)
        {
            running.give_back();
        }
        result
    }

    async fn run_attempts(
        &self,
        request: &RoutedRequest,
        permit: ServicePermit,
    ) -> Result<ForwardResponse, MeshError> {
        self.count_request(request);
        let mut tried_backends = Vec::new();
        let mut deliveries = 0;
        let mut request_outcome = RequestOutcome::default();
        let mut last_outcome = None;
        loop {
            let next = match self.check_attempt(request) {
                Ok(message) => self
                    .choose(request, &tried_backends)
                    .map(|server| (server, message)),
                Err(error) => {
                    request_outcome.record(Err(error));
                    None
                }
            };
            let Some((server, message)) = next else {
                if let Some(outcome) = last_outcome {
                    permit
                        .limiter
                        .record_outcome(self.state.now(), outcome, true);
                }
                let result = request_outcome.into_result_or_else(|| self.no_backend(request));
                return self.with_return_time(request, &tried_backends, result);
            };
            tried_backends.push(server.backend.clone());
            let attempt = u32::try_from(tried_backends.len()).unwrap_or(u32::MAX);
            let (outcome, result) = self.attempt(request, &server, message, attempt).await;
            let is_final = result.as_ref().is_err_and(is_final);
            let was_delivered = was_delivered(&result);
            deliveries += u32::from(was_delivered);
            request_outcome.record(result);
            if outcome == AttemptOutcome::Served || is_final {
                permit
                    .limiter
                    .record_outcome(self.state.now(), outcome, true);
                permit.slot.finish();
                return request_outcome.into_result_or_else(|| self.deadline_passed());
            }
            let may_retry = match self.state.requests.retry_policy() {
                Some(policy) => {
                    let context = AttemptContext {
                        outcome,
                        was_delivered,
                        idempotent: request.idempotent,
                        nodes_tried: attempt,
                        deliveries,
                        max_deliveries: request.max_deliveries,
                        deadline: request.deadline,
                        failure_share: self.failure_share(request),
                    };
                    self.try_shared_retry(request, policy, &context)
                }
                None => self.try_local_retry(request, outcome, attempt),
            };
            permit
                .limiter
                .record_outcome(self.state.now(), outcome, !may_retry);
            last_outcome = Some(outcome);
            if !may_retry {
                let result = request_outcome.into_result_or_else(|| self.deadline_passed());
                return self.with_return_time(request, &tried_backends, result);
            }
            self.state.count("retries");
        }
    }

    /// Returns the message of the next attempt, after checks of what may have changed while the
    /// request waited: the node's shutdown and the request's key.
    fn check_attempt(&self, request: &RoutedRequest) -> Result<ForwardRequest, MeshError> {
        let drain_gate = self.state.requests.drain_gate();
        drain_gate.check_accepted(self.state.now(), request.deadline, request.idempotent)?;
        let (key_check, account) = recheck_account(&self.state, &request.message)?;
        Ok(ForwardRequest {
            key_check,
            account,
            ..request.message.clone()
        })
    }

    async fn attempt(
        &self,
        request: &RoutedRequest,
        server: &ServerLocation,
        mut message: ForwardRequest,
        attempt: u32,
    ) -> (AttemptOutcome, Result<ForwardResponse, MeshError>) {
        let guard = AttemptGuard::new(&self.state, request, server);
        message.backend = Some(server.backend.clone());
        message.limit = self.state.requests.load_balancer().limit(&server.backend);
        message.attempt = message.attempt.max(1) + attempt - 1;
        message.may_hand_on = attempt == 1;
        let result = if server.node == self.state.settings.node {
            let backends = &self.backends;
            backends
                .run(&server.backend, request.deadline, &message)
                .await
        } else {
            let peers = &self.peers;
            peers.forward(&server.node, request.deadline, message).await
        };
        let outcome = classify(&result, request.deadline, self.state.now());
        self.log_attempt(request, server, attempt, outcome, guard.started_at);
        let class = self.outcome_class(server, outcome, &result);
        guard.report(class);
        guard.settle(outcome, &result);
        (outcome, result)
    }

    /// Logs the target, configuration and outcome of an attempt.
    fn log_attempt(
        &self,
        request: &RoutedRequest,
        server: &ServerLocation,
        attempt: u32,
        outcome: AttemptOutcome,
        started_at: ClockInstant,
    ) {
        let state = &self.state;
        let now = state.now();
        let elapsed = started_at.elapsed(now);
        state.observe_duration("attempt_ms", "outcome", outcome.name(), elapsed);
        // Failures have their own event, so that served requests do not use up
        // the log limit of failures.
        let event = match outcome {
            AttemptOutcome::Served => EventName::RequestServed,
            _ => EventName::RequestAttempted,
        };
        if !state.should_log(event) {
            return;
        }
        let config = state.config();
        info!(state.logger, #REQUEST_TAG, "{event}";
            "request" => request.message.request_id.as_str(),
            "account" => account_name(request.message.account.as_ref()),
            "route" => request.message.route.to_string(),
            "service" => request.service.to_string(), "attempt" => attempt,
            "backend" => server.backend.to_string(), "build" => server.version.to_string(),
            "to_node" => server.node.to_string(),
            "to_data_centre" => server.data_centre.to_string(),
            "config" => config.as_ref().map(|config| config.stamp().number.get()),
            "config_age_ms" => state.applied_at().elapsed(now).as_millis(),
            "outcome" => outcome.name(), "took_ms" => elapsed.as_millis(),
            "left_ms" => request.deadline.remaining(now).as_millis());
    }

    fn choose(
        &self,
        request: &RoutedRequest,
        tried_backends: &[BackendName],
    ) -> Option<ServerLocation> {
        let now = self.state.now();
        let config = self.state.config()?;
        let own_data_centre = &self.state.settings.data_centre;
        let proxy = config.snapshot().proxies.get(own_data_centre);
        let split = self.version_split(request);
        let route = config.snapshot().routes.get(&request.message.route);
        let objective = route.map(|route| &route.objective);
        let criteria = SelectionCriteria {
            service: &request.service,
            versions: match tried_backends.is_empty() {
                true => split.choose(request.version_draw),
                false => split.choose_again(request.version_draw),
            },
            data_centre: own_data_centre,
            spill_order: proxy.map_or(&[], |proxy| proxy.spill_order.as_slice()),
            tried: tried_backends,
            latency_target: objective.map(|objective| LatencyTarget {
                route: &request.message.route,
                latency: objective.latency,
            }),
        };
        let mut load_balancer = self.state.requests.load_balancer();
        load_balancer.select(now, &criteria, &mut rand::rng())
    }

    fn version_split(&self, request: &RoutedRequest) -> VersionSplit {
        let now = self.state.now();
        let rollout = &self.state.rollout;
        rollout.version_split(&request.service, &request.message.route, now)
    }

    /// Returns the evidence that an attempt gives about the server's version.
    fn outcome_class(
        &self,
        server: &ServerLocation,
        outcome: AttemptOutcome,
        result: &Result<ForwardResponse, MeshError>,
    ) -> OutcomeClass {
        let is_local = server.node == self.state.settings.node;
        match (outcome, result) {
            (_, Ok(response)) => OutcomeClass::of_status(response.status),
            (AttemptOutcome::Failed | AttemptOutcome::TimedOut, _) => OutcomeClass::Failed,
            (AttemptOutcome::Lost, _) if is_local || self.peers.is_connected(&server.node) => {
                OutcomeClass::Crashed
            }
            _ => OutcomeClass::NotRun,
        }
    }

    /// Counts a new request in the retry budget, which grows with each request.
    fn count_request(&self, request: &RoutedRequest) {
        let requests = &self.state.requests;
        if let Some(policy) = requests.retry_policy() {
            let now = self.state.now();
            requests
                .with_shared_budget(policy, &request.service, |budget| budget.count_request(now));
        } else if !request.is_nested_retry {
            requests.retry_budget().deposit();
        }
    }

    fn failure_share(&self, request: &RoutedRequest) -> ShareRatio {
        let now = self.state.now();
        let load_balancer = self.state.requests.load_balancer();
        load_balancer.failure_share(now, &request.service)
    }

    /// Returns whether the retry budget shared by all nodes allows another attempt.
    fn try_shared_retry(
        &self,
        request: &RoutedRequest,
        policy: RetryPolicy,
        context: &AttemptContext,
    ) -> bool {
        let now = self.state.now();
        match context.decide(now) {
            RetryDecision::Denied => false,
            RetryDecision::Free => true,
            RetryDecision::Budgeted => {
                let gossip = &self.state.gossip;
                let nodes = gossip.read(|node| node.members().live().count());
                let requests = &self.state.requests;
                requests.with_shared_budget(policy, &request.service, |budget| {
                    budget.try_take_retry(now, nodes)
                })
            }
        }
    }

    /// Returns whether this node's own retry budget allows another attempt.
    fn try_local_retry(
        &self,
        request: &RoutedRequest,
        outcome: AttemptOutcome,
        attempts: u32,
    ) -> bool {
        let now = self.state.now();
        let failure_share = self.failure_share(request);
        let context = RetryContext {
            outcome,
            idempotent: request.idempotent,
            attempts,
            is_nested_retry: request.is_nested_retry,
            deadline: request.deadline,
            failure_share,
        };
        self.state
            .requests
            .retry_budget()
            .try_withdraw(now, &context)
    }

    /// Adds to a refusal the instant at which the request may return: at once if a server that it
    /// has not been sent to has room, otherwise when the first of the servers that refused it has.
    fn with_return_time(
        &self,
        request: &RoutedRequest,
        tried_backends: &[BackendName],
        result: Result<ForwardResponse, MeshError>,
    ) -> Result<ForwardResponse, MeshError> {
        result.map_err(|error| {
            let response = error.kind().response();
            if response.run_state != RunState::NotRun || !response.has_retry_after {
                return error;
            }
            let now = self.state.now();
            let load_balancer = self.state.requests.load_balancer();
            let return_at =
                load_balancer.return_at(now, &request.service, tried_backends, &mut rand::rng());
            match return_at {
                Some(return_at) => error.with_retry_at(return_at),
                // Another node that cannot be reached gives no time.
                None if error.retry_at().is_none() => {
                    let (shortest, _) = NEWS_DELAY_MICROS;
                    error.with_retry_at(now.after(TimeBudget::from_micros(shortest)))
                }
                None => error,
            }
        })
    }

    /// Returns the error of a request whose deadline passed before it was sent. Its caller may send
    /// another at once, as the refusal does not depend on the load.
    fn deadline_passed(&self) -> MeshError {
        MeshError::new(
            ErrorKind::DeadlinePassed,
            "the deadline passed before the request ran",
        )
        .with_retry_at(self.state.now())
    }

    fn no_backend(&self, request: &RoutedRequest) -> MeshError {
        let message = format!(
            "service {} has no backend server that accepts requests",
            request.service
        );
        let now = self.state.now();
        let (shortest, longest) = NEWS_DELAY_MICROS;
        let time_left = request.deadline.remaining(now).as_micros() / RETURN_TIME_DIVISOR;
        let longest = longest.min(time_left).max(shortest);
        let delay = TimeBudget::from_micros(rand::random_range(shortest..=longest));
        MeshError::new(ErrorKind::NoBackend, message).with_retry_at(now.after(delay))
    }
}

/// Result reported to the caller after all attempts.
///
/// An attempt that did not run never replaces the result of one that may have run.
#[derive(Default)]
struct RequestOutcome {
    result: Option<Result<ForwardResponse, MeshError>>,
    /// Earliest instant at which one of the servers that refused the request has room.
    retry_at: Option<ClockInstant>,
}

impl RequestOutcome {
    fn record(&mut self, result: Result<ForwardResponse, MeshError>) {
        let refusal = result.as_ref().err();
        if let Some(retry_at) = refusal.and_then(MeshError::retry_at) {
            let earliest = self
                .retry_at
                .map_or(retry_at, |earliest| earliest.min(retry_at));
            self.retry_at = Some(earliest);
        }
        let would_hide = self.result.as_ref().is_some_and(may_have_run) && !may_have_run(&result);
        if !would_hide {
            self.result = Some(result);
        }
    }

    fn into_result_or_else(
        self,
        default: impl FnOnce() -> MeshError,
    ) -> Result<ForwardResponse, MeshError> {
        let result = self.result.unwrap_or_else(|| Err(default()));
        result.map_err(|error| match self.retry_at {
            Some(retry_at) if error.kind().response().has_retry_after => {
                error.with_retry_at(retry_at)
            }
            _ => error,
        })
    }
}

/// Counts an attempt as outstanding at its server until it ends or the caller disconnects.
struct AttemptGuard<'a> {
    state: &'a NodeState,
    request: &'a RoutedRequest,
    server: &'a ServerLocation,
    started_at: ClockInstant,
    is_settled: bool,
}

impl<'a> AttemptGuard<'a> {
    fn new(state: &'a NodeState, request: &'a RoutedRequest, server: &'a ServerLocation) -> Self {
        Self {
            state,
            request,
            server,
            started_at: state.now(),
            is_settled: false,
        }
    }

    /// Reports the attempt as evidence about the server's version.
    fn report(&self, class: OutcomeClass) {
        let now = self.state.now();
        let report = OutcomeReport {
            service: self.request.service.clone(),
            route: self.request.message.route.clone(),
            version: self.server.version.clone(),
            backend: self.server.backend.clone(),
            class,
            latency: self.started_at.elapsed(now),
            is_in_slow_start: false,
        };
        self.state.rollout.record_outcome(self.state, report, now);
    }

    fn settle(mut self, outcome: AttemptOutcome, result: &Result<ForwardResponse, MeshError>) {
        self.record_outcome(outcome);
        self.is_settled = true;
        if let Err(error) = result
            && error.kind() == ErrorKind::Evacuated
        {
            let mut load_balancer = self.state.requests.load_balancer();
            load_balancer.record_evacuation_refusal(self.state.now(), &self.server.data_centre);
        }
        if let Ok(response) = result {
            let mut load_balancer = self.state.requests.load_balancer();
            let service = &self.request.service;
            let (now, backend) = (self.state.now(), &self.server.backend);
            load_balancer.report_load(now, service, backend, response.load);
            let took = self.started_at.elapsed(now);
            load_balancer.record_round_trip(service, backend, took, response.held);
            load_balancer.record_limit(now, service, backend, response.limit);
            if let Some(incarnation) = response.departed {
                load_balancer.record_departure(now, service, backend, incarnation);
            }
        }
    }

    fn record_outcome(&self, outcome: AttemptOutcome) {
        let now = self.state.now();
        let elapsed = self.started_at.elapsed(now);
        let mut load_balancer = self.state.requests.load_balancer();
        load_balancer.record_outcome(
            now,
            &self.request.service,
            &self.server.backend,
            outcome,
            elapsed,
        );
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.record_outcome(AttemptOutcome::Abandoned);
        }
    }
}

fn classify(
    result: &Result<ForwardResponse, MeshError>,
    deadline: ClockInstant,
    now: ClockInstant,
) -> AttemptOutcome {
    let error = match result {
        Ok(response) if response.status >= 500 => return AttemptOutcome::Failed,
        Ok(_) => return AttemptOutcome::Served,
        Err(error) => error,
    };
    match error.kind().response().run_state {
        // The key was revoked on the way, which says nothing about the server.
        RunState::NotRun if error.kind() == ErrorKind::Unauthorized => AttemptOutcome::Abandoned,
        RunState::NotRun if error.kind() == ErrorKind::NoBackend => AttemptOutcome::Unreached,
        RunState::NotRun => AttemptOutcome::Shed,
        RunState::Ran => AttemptOutcome::Failed,
        RunState::OutcomeUnknown if deadline.has_passed(now) => AttemptOutcome::TimedOut,
        RunState::OutcomeUnknown => AttemptOutcome::Lost,
    }
}

/// Returns whether every other server would return the same error.
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

/// Returns whether an attempt delivered the request to a backend server, even if the server did not
/// run it.
fn was_delivered(result: &Result<ForwardResponse, MeshError>) -> bool {
    match result {
        Ok(_) => true,
        Err(error) => {
            let may_have_run = error.kind().response().run_state != RunState::NotRun;
            may_have_run || error.kind() == ErrorKind::Shed
        }
    }
}

fn may_have_run(result: &Result<ForwardResponse, MeshError>) -> bool {
    match result {
        Ok(_) => true,
        Err(error) => error.kind().response().run_state != RunState::NotRun,
    }
}
