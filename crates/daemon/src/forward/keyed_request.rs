use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError, RunState},
    ids::{IdempotencyKey, IncarnationNumber, NodeName},
    request::{KeyDecision, KeyOutcome, RequestTicket},
};
use bronzelb_wire::peer::ForwardResponse;
use tokio::{sync::watch, task::spawn_local, time};

use crate::{
    forward::{
        RequestForwarder, RoutedRequest,
        claim_table::{ClaimResult, ClaimSettlement},
        request_state::{FlightGuard, ResultReceiver, SharedResult},
    },
    holding::StoredBody,
};

/// Time after the deadline for which a waiter still accepts the shared result.
const JOIN_GRACE_PERIOD: TimeBudget = TimeBudget::from_millis(100);
/// Size limit of a response body that is stored for replay.
const MAX_REPLAY_BYTES: usize = 4 * 1024;

/// The single running request of an idempotency key; others with the key wait for its result.
struct KeyedRun {
    key: IdempotencyKey,
    is_known_not_run: bool,
    may_forward: bool,
    sender: watch::Sender<Option<SharedResult>>,
    _flight: FlightGuard,
}

impl RequestForwarder {
    /// Runs a request at most once per idempotency key, whichever node receives it.
    pub(crate) async fn run_keyed(
        &self,
        request: RoutedRequest,
    ) -> Result<ForwardResponse, MeshError> {
        let Some(key) = request.key().cloned() else {
            return Err(MeshError::invalid("the request has no idempotency key"));
        };
        if !RequestTicket::is_ticket(&key) {
            return self.run_locally(request, &key, true).await;
        }
        let ticket: RequestTicket = key.as_str().parse()?;
        if self.is_current_incarnation(&ticket.node, ticket.incarnation) {
            return self.run_locally(request, &key, false).await;
        }
        self.forward_to_holder(request, &ticket.node, ticket.incarnation)
            .await
    }

    /// Runs a request that another node forwarded because this node holds its key.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] when this incarnation of the node does not hold the key.
    pub(crate) async fn resume(
        &self,
        request: RoutedRequest,
    ) -> Result<ForwardResponse, MeshError> {
        let requests = &self.state().requests;
        let _flight = requests.begin_request(request.deadline, request.idempotent)?;
        let Some(key) = request.key().cloned() else {
            return Err(MeshError::invalid("the request has no idempotency key"));
        };
        let is_held = match RequestTicket::is_ticket(&key) {
            true => {
                let ticket: RequestTicket = key.as_str().parse()?;
                self.is_current_incarnation(&ticket.node, ticket.incarnation)
            }
            false => self.state().requests.idempotency_cache().contains(&key),
        };
        if !is_held {
            return Err(holder_lost());
        }
        self.run_locally(request, &key, false).await
    }

    fn is_current_incarnation(&self, node: &NodeName, incarnation: IncarnationNumber) -> bool {
        *node == self.state().settings.node && incarnation == self.state().incarnation()
    }

    async fn run_locally(
        &self,
        request: RoutedRequest,
        key: &IdempotencyKey,
        may_forward: bool,
    ) -> Result<ForwardResponse, MeshError> {
        let state = self.state();
        let requests = &state.requests;
        let flight = requests.begin_request(request.deadline, request.idempotent)?;
        let (sender, receiver) = watch::channel(None);
        let fingerprint = request.message.fingerprint;
        let deadline = request.deadline;
        let decision = {
            let mut cache = state.requests.idempotency_cache();
            cache.begin(state.now(), key, fingerprint, receiver.clone())
        };
        match decision? {
            KeyDecision::Join(running) => self.wait_for(running, deadline).await,
            KeyDecision::Replay(result) => result,
            KeyDecision::Unknown => Err(may_have_run()),
            KeyDecision::Run { is_known_not_run } => {
                // The request continues if its caller disconnects, so that its outcome is recorded.
                let run = KeyedRun {
                    key: key.clone(),
                    is_known_not_run,
                    may_forward,
                    sender,
                    _flight: flight,
                };
                spawn_local(self.clone().run_to_end(request, run));
                self.wait_for(receiver, deadline).await
            }
        }
    }

    async fn wait_for(
        &self,
        mut running: ResultReceiver,
        deadline: ClockInstant,
    ) -> Result<ForwardResponse, MeshError> {
        let timeout = deadline
            .after(JOIN_GRACE_PERIOD)
            .remaining(self.state().now())
            .to_std();
        let received = time::timeout(timeout, running.wait_for(Option::is_some)).await;
        match received {
            Ok(Ok(result)) => result.clone().unwrap_or_else(|| Err(may_have_run())),
            _ => Err(may_have_run()),
        }
    }

    async fn run_to_end(self, request: RoutedRequest, run: KeyedRun) {
        let (result, outcome) = match RequestTicket::is_ticket(&run.key) {
            true => {
                let result = self.run_ticket(&request).await;
                let outcome = self.key_outcome(&result);
                (result, outcome)
            }
            false => self.run_claimed(&request, &run).await,
        };
        let now = self.state().now();
        self.state()
            .requests
            .idempotency_cache()
            .finish(now, &run.key, outcome);
        // The caller may have disconnected.
        let _ = run.sender.send(Some(result));
    }

    /// Runs a request whose key is a ticket.
    ///
    /// No claim is needed, because only the node that issued the ticket runs the request.
    async fn run_ticket(&self, request: &RoutedRequest) -> SharedResult {
        let permit = self.admit(request).await?;
        self.run_admitted(request, permit).await
    }

    /// Claims the caller's key in the platform's table, then runs the request.
    async fn run_claimed(
        &self,
        request: &RoutedRequest,
        run: &KeyedRun,
    ) -> (SharedResult, KeyOutcome<SharedResult>) {
        let permit = match self.admit(request).await {
            Ok(permit) => permit,
            Err(error) => return (Err(error), KeyOutcome::NotRun),
        };
        match self
            .claims
            .claim(request, &run.key, run.is_known_not_run)
            .await
        {
            ClaimResult::Acquired(claim) => {
                let result = self.run_admitted(request, permit).await;
                let outcome = self.key_outcome(&result);
                let settlement = ClaimSettlement::of(&result);
                spawn_local(self.claims.clone().settle(claim, settlement));
                (result, outcome)
            }
            ClaimResult::Completed(result) => {
                let outcome = KeyOutcome::Completed(result.clone());
                (result, outcome)
            }
            ClaimResult::Rejected(error) => (Err(error), KeyOutcome::NotRun),
            ClaimResult::Unknown => (Err(may_have_run()), KeyOutcome::Unknown),
            ClaimResult::HeldByNode(node, incarnation) if run.may_forward => {
                drop(permit);
                let result = self
                    .forward_to_holder(request.clone(), &node, incarnation)
                    .await;
                (result, KeyOutcome::NotRun)
            }
            ClaimResult::HeldByNode(..) => (Err(may_have_run()), KeyOutcome::NotRun),
        }
    }

    /// Returns the outcome that the idempotency cache stores for a request.
    fn key_outcome(&self, result: &SharedResult) -> KeyOutcome<SharedResult> {
        let response = match result {
            Ok(response) if response.body.len() > MAX_REPLAY_BYTES => None,
            Ok(response) => {
                let body = StoredBody::attach(&self.state().holding, response.body.clone());
                body.map(|body| ForwardResponse {
                    body,
                    ..response.clone()
                })
            }
            Err(error) => {
                return match error.kind().response().run_state {
                    RunState::NotRun => KeyOutcome::NotRun,
                    RunState::Ran => KeyOutcome::Completed(result.clone()),
                    RunState::OutcomeUnknown => KeyOutcome::Unknown,
                };
            }
        };
        KeyOutcome::Completed(response.ok_or_else(already_done))
    }

    /// Forwards a request to the node that holds its key.
    async fn forward_to_holder(
        &self,
        request: RoutedRequest,
        node: &NodeName,
        incarnation: IncarnationNumber,
    ) -> Result<ForwardResponse, MeshError> {
        let current_incarnation = self.state().members().get(node).map(|row| row.incarnation);
        let is_gone = current_incarnation.is_none_or(|current| current > incarnation);
        if is_gone || *node == self.state().settings.node {
            return Err(holder_lost());
        }
        let peers = &self.peers;
        let result = peers.resume(node, request.deadline, request.message).await;
        result.map_err(|error| match error.kind() {
            ErrorKind::NoBackend => holder_lost(),
            _ => error,
        })
    }
}

/// Returns the error for a key whose request has run but whose response is not stored.
pub(crate) fn already_done() -> MeshError {
    MeshError::new(
        ErrorKind::AlreadyDone,
        "the request with this idempotency key has run; its response is no longer stored",
    )
}

fn may_have_run() -> MeshError {
    MeshError::new(
        ErrorKind::OutcomeUnknown,
        "a request with this idempotency key may have run and will not be run again",
    )
}

fn holder_lost() -> MeshError {
    MeshError::new(
        ErrorKind::OutcomeUnknown,
        "the node that holds this idempotency key is not reachable; \
         an earlier request with the key may have run, and this one did not",
    )
}
