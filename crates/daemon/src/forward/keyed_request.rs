use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError, RunState},
    ids::{IdempotencyKey, IncarnationNumber, NodeName},
    request::{KeyDecision, KeyOutcome, RequestTicket},
};
use bronzelb_wire::peer::ForwardResponse;
use tokio::{sync::watch, task::spawn_local, time};

use crate::forward::{
    RequestForwarder, RoutedRequest,
    claim_table::{ClaimResult, ClaimSettlement},
    request_state::{FlightGuard, ResultReceiver, SharedResult},
};

const JOIN_GRACE_PERIOD: TimeBudget = TimeBudget::from_millis(100);
const MAX_REPLAY_BYTES: usize = 4 * 1024;

/// The one request that runs for a key, while others wait for its result.
struct KeyedRun {
    key: IdempotencyKey,
    is_known_not_run: bool,
    may_forward: bool,
    sender: watch::Sender<Option<SharedResult>>,
    _flight: FlightGuard,
}

impl RequestForwarder {
    /// Runs a request that runs at most once under its key, wherever it enters.
    pub(crate) async fn run_keyed(
        &self,
        planned: RoutedRequest,
    ) -> Result<ForwardResponse, MeshError> {
        let Some(key) = planned.key().cloned() else {
            return Err(MeshError::invalid("the request has no idempotency key"));
        };
        if !RequestTicket::is_ticket(&key) {
            return self.run_locally(planned, &key, true).await;
        }
        let ticket: RequestTicket = key.as_str().parse()?;
        if self.is_current_incarnation(&ticket.node, ticket.incarnation) {
            return self.run_locally(planned, &key, false).await;
        }
        self.forward_to_holder(planned, &ticket.node, ticket.incarnation)
            .await
    }

    /// Runs a request that another node sent here because this node holds its key.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] when this run of the node does not hold the key.
    pub(crate) async fn resume(
        &self,
        planned: RoutedRequest,
    ) -> Result<ForwardResponse, MeshError> {
        let _flight = self.state().requests.begin_request()?;
        let Some(key) = planned.key().cloned() else {
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
        self.run_locally(planned, &key, false).await
    }

    fn is_current_incarnation(&self, node: &NodeName, incarnation: IncarnationNumber) -> bool {
        *node == self.state().settings.node && incarnation == self.state().incarnation()
    }

    async fn run_locally(
        &self,
        planned: RoutedRequest,
        key: &IdempotencyKey,
        may_ask: bool,
    ) -> Result<ForwardResponse, MeshError> {
        let state = self.state();
        let flight = state.requests.begin_request()?;
        let (sender, receiver) = watch::channel(None);
        let fingerprint = planned.message.fingerprint;
        let deadline = planned.deadline;
        let begun = {
            let mut ledger = state.requests.idempotency_cache();
            ledger.begin(state.now(), key, fingerprint, receiver.clone())
        };
        match begun? {
            KeyDecision::Join(running) => self.wait_for(running, deadline).await,
            KeyDecision::Replay(result) => result,
            KeyDecision::Unknown => Err(may_have_run()),
            KeyDecision::Run { is_known_not_run } => {
                // The request goes on when its caller goes away, so that its end is remembered.
                let lead = KeyedRun {
                    key: key.clone(),
                    is_known_not_run,
                    may_forward: may_ask,
                    sender,
                    _flight: flight,
                };
                spawn_local(self.clone().run_to_end(planned, lead));
                self.wait_for(receiver, deadline).await
            }
        }
    }

    async fn wait_for(
        &self,
        mut running: ResultReceiver,
        deadline: ClockInstant,
    ) -> Result<ForwardResponse, MeshError> {
        let left = deadline
            .after(JOIN_GRACE_PERIOD)
            .remaining(self.state().now())
            .to_std();
        let ended = time::timeout(left, running.wait_for(Option::is_some)).await;
        match ended {
            Ok(Ok(result)) => result.clone().unwrap_or_else(|| Err(may_have_run())),
            _ => Err(may_have_run()),
        }
    }

    async fn run_to_end(self, planned: RoutedRequest, lead: KeyedRun) {
        let (result, end) = match RequestTicket::is_ticket(&lead.key) {
            true => {
                let result = self.run_ticket(&planned).await;
                let end = key_outcome(&result);
                (result, end)
            }
            false => self.run_claimed(&planned, &lead).await,
        };
        let now = self.state().now();
        self.state()
            .requests
            .idempotency_cache()
            .finish(now, &lead.key, end);
        // The caller may have gone away.
        let _ = lead.sender.send(Some(result));
    }

    async fn run_ticket(&self, planned: &RoutedRequest) -> SharedResult {
        let pass = self.admit(planned).await?;
        self.run_admitted(planned, pass).await
    }

    /// Claims the caller's own key in the platform's table, then runs the request.
    async fn run_claimed(
        &self,
        planned: &RoutedRequest,
        lead: &KeyedRun,
    ) -> (SharedResult, KeyOutcome<SharedResult>) {
        let pass = match self.admit(planned).await {
            Ok(pass) => pass,
            Err(error) => return (Err(error), KeyOutcome::NotRun),
        };
        match self
            .claims
            .claim(planned, &lead.key, lead.is_known_not_run)
            .await
        {
            ClaimResult::Acquired(claim) => {
                let result = self.run_admitted(planned, pass).await;
                let end = key_outcome(&result);
                let settlement = ClaimSettlement::of(&result);
                spawn_local(self.claims.clone().settle(claim, settlement));
                (result, end)
            }
            ClaimResult::Completed(result) => {
                let end = KeyOutcome::Completed(result.clone());
                (result, end)
            }
            ClaimResult::Rejected(error) => (Err(error), KeyOutcome::NotRun),
            ClaimResult::Unknown => (Err(may_have_run()), KeyOutcome::Unknown),
            ClaimResult::HeldByNode(node, incarnation) if lead.may_forward => {
                drop(pass);
                let asked = self
                    .forward_to_holder(planned.clone(), &node, incarnation)
                    .await;
                (asked, KeyOutcome::NotRun)
            }
            ClaimResult::HeldByNode(..) => (Err(may_have_run()), KeyOutcome::NotRun),
        }
    }

    /// Passes a request to the node that holds its key.
    async fn forward_to_holder(
        &self,
        planned: RoutedRequest,
        node: &NodeName,
        incarnation: IncarnationNumber,
    ) -> Result<ForwardResponse, MeshError> {
        let known = self.state().members().get(node).map(|row| row.incarnation);
        let is_gone = known.is_none_or(|known| known > incarnation);
        if is_gone || *node == self.state().settings.node {
            return Err(holder_lost());
        }
        let peers = &self.peers;
        let asked = peers.resume(node, planned.deadline, planned.message).await;
        asked.map_err(|error| match error.kind() {
            ErrorKind::NoBackend => holder_lost(),
            _ => error,
        })
    }
}

/// Returns what the ledger keeps of a request's end.
fn key_outcome(result: &SharedResult) -> KeyOutcome<SharedResult> {
    let run_state = match result {
        Ok(answer) if answer.body.len() > MAX_REPLAY_BYTES => {
            return KeyOutcome::Completed(Err(already_done()));
        }
        Ok(_) => RunState::Ran,
        Err(error) => error.kind().response().run_state,
    };
    match run_state {
        RunState::NotRun => KeyOutcome::NotRun,
        RunState::Ran => KeyOutcome::Completed(result.clone()),
        RunState::OutcomeUnknown => KeyOutcome::Unknown,
    }
}

/// Returns the error for a key whose request has run and whose answer is not kept.
pub(crate) fn already_done() -> MeshError {
    MeshError::new(
        ErrorKind::AlreadyDone,
        "the request with this idempotency key has run; its answer is no longer kept",
    )
}

fn may_have_run() -> MeshError {
    MeshError::new(
        ErrorKind::OutcomeUnknown,
        "a request with this idempotency key may have run; it is not run again",
    )
}

fn holder_lost() -> MeshError {
    MeshError::new(
        ErrorKind::OutcomeUnknown,
        "the node that holds this idempotency key is not reachable; \
         an earlier request with the key may have run, and this one did not",
    )
}
