use std::{pin::pin, sync::Arc};

use bronzelb_kernel::{
    account::{UsageDecision, UsageExchange, UsageReply, UsageReport},
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
    ids::AccountName,
};
use futures::future;
use tokio::{task::spawn_local, time};

use crate::{accounts::UsagePermit, node::NodeState, peers::PeerPool};

/// Longest wait of a request for a token. An owner that has just failed is replaced within it.
const MAX_WAIT: TimeBudget = TimeBudget::from_secs(1);
/// Delay after which a caller may retry when no owner answered.
const RETRY_DELAY: TimeBudget = TimeBudget::from_millis(500);

/// Admits requests by the usage caps of accounts; for one thread, shared by clones.
#[derive(Clone)]
pub(crate) struct UsageLimiter {
    state: Arc<NodeState>,
    peers: PeerPool,
}

/// Counts a request as waiting for a token until dropped.
struct WaitGuard<'a> {
    state: &'a NodeState,
    account: &'a AccountName,
}

impl<'a> WaitGuard<'a> {
    fn new(state: &'a NodeState, account: &'a AccountName) -> Self {
        state.usage.lock().add_waiting(account, 1);
        Self { state, account }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.state.usage.lock().add_waiting(self.account, -1);
    }
}

impl UsageLimiter {
    pub(crate) const fn new(state: Arc<NodeState>, peers: PeerPool) -> Self {
        Self { state, peers }
    }

    /// Takes a token for a request, or returns none if its account has no cap.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::CapExceeded`]: the account has used up its cap.
    /// - [`ErrorKind::Overloaded`]: no owner of the account answered in time.
    pub(crate) async fn admit(
        &self,
        account: &AccountName,
        deadline: ClockInstant,
    ) -> Result<Option<UsagePermit>, MeshError> {
        let state = &self.state;
        if !state.usage.is_synced(state) {
            state.usage.sync(state);
        }
        let arrived_at = state.now();
        let give_up_at = deadline.min(arrived_at.after(MAX_WAIT));
        let mut decision = state.usage.lock().admit(state.now(), account);
        loop {
            // Listens before the decision, so that no reply is missed.
            let mut reply = pin!(state.usage.next_reply());
            reply.as_mut().enable();
            let now = state.now();
            match decision {
                UsageDecision::Uncapped => return Ok(None),
                UsageDecision::Admitted => {
                    let permit = UsagePermit::new(Arc::clone(state), account.clone());
                    return Ok(Some(permit));
                }
                UsageDecision::Refused(retry_at) => return Err(self.refuse(account, retry_at)),
                UsageDecision::Ask | UsageDecision::WaitUntil(_) if give_up_at.has_passed(now) => {
                    // The owner may have replied, but granted the room to others each time.
                    let room_at = state.usage.lock().give_up(now, account, arrived_at);
                    return Err(match room_at {
                        Some(retry_at) => self.refuse(account, retry_at),
                        None => no_owner(account, now),
                    });
                }
                UsageDecision::WaitUntil(instant) => {
                    let instant = instant.min(give_up_at);
                    time::sleep(instant.remaining(now).to_std()).await;
                }
                UsageDecision::Ask => {
                    let _waiting = WaitGuard::new(state, account);
                    let is_decided = self.poll();
                    if !is_decided {
                        let timeout = give_up_at.remaining(now).to_std();
                        // After the timeout, the next decision refuses the request.
                        let _ = time::timeout(timeout, reply).await;
                    }
                }
            }
            decision = state.usage.lock().admit_again(state.now(), account);
        }
    }

    /// Sends the reports that are due; returns whether some were for accounts of this node and have
    /// been served.
    pub(crate) fn poll(&self) -> bool {
        let state = &self.state;
        // After a pause others may own this node's accounts.
        if state.check_lease().is_err() {
            return false;
        }
        let members = state.members();
        let mut node = state.usage.lock();
        let due = node.due_count(state.now());
        let exchanges = node.take_exchanges(state.now(), &members);
        drop(node);
        let sent: usize = exchanges
            .iter()
            .map(|exchange| exchange.report.usages.len())
            .sum();
        for exchange in exchanges {
            spawn_local(self.clone().run_exchange(exchange));
        }
        let is_served = due > sent;
        if is_served {
            state.usage.announce_reply();
        }
        is_served
    }

    async fn run_exchange(self, exchange: UsageExchange) {
        let state = &self.state;
        let report = exchange.report.clone();
        let peers = &self.peers;
        let reply = peers
            .report_usage(&exchange.to, exchange.deadline, report)
            .await;
        state.count_labeled(
            "usage_reports",
            "result",
            match reply {
                Ok(_) => "answered",
                Err(_) => "lost",
            },
        );
        let members = state.members();
        state
            .usage
            .lock()
            .finish(state.now(), &members, &exchange, reply.ok());
        // A request that got no token asks again itself.
        state.usage.announce_reply();
    }

    /// Serves a report of another node.
    pub(crate) async fn serve(&self, report: &UsageReport) -> UsageReply {
        let state = &self.state;
        if !state.usage.is_synced(state) {
            state.usage.sync(state);
        }
        let members = state.members();
        let served = state.usage.lock().serve(state.now(), &members, report);
        let relays = served.relays.into_iter().map(async |relay| {
            let message = relay.report.clone();
            let peers = &self.peers;
            let reply = peers.report_usage(&relay.to, relay.deadline, message).await;
            let mut node = state.usage.lock();
            node.finish_relay(state.now(), &members, relay, reply.ok())
        });
        let mut reply = served.reply;
        for relayed in future::join_all(relays).await {
            reply.grants.extend(relayed.grants);
        }
        reply
    }

    /// Asks the nodes that are due whether they can be reached.
    pub(crate) fn probe(&self) {
        let state = &self.state;
        let members = state.members();
        let mut node = state.usage.lock();
        let pick = |len| rand::Rng::random_range(&mut rand::rng(), 0..len);
        let targets = node.take_probes(state.now(), &members, pick);
        let report = node.probe_report();
        drop(node);
        for target in targets {
            let (limiter, report) = (self.clone(), report.clone());
            spawn_local(async move {
                let state = &limiter.state;
                let deadline = state.now().after(MAX_WAIT);
                let reply = limiter.peers.report_usage(&target, deadline, report).await;
                if let (Ok(_), Some(row)) = (reply, state.members().get(&target)) {
                    state.usage.lock().record_contact(state.now(), row);
                }
            });
        }
    }

    fn refuse(&self, account: &AccountName, retry_at: ClockInstant) -> MeshError {
        let message = format!("account {account} has used up its cap");
        MeshError::new(ErrorKind::CapExceeded, message).with_retry_at(retry_at)
    }
}

fn no_owner(account: &AccountName, now: ClockInstant) -> MeshError {
    let message = format!("no node that counts the requests of account {account} answered in time");
    MeshError::new(ErrorKind::Overloaded, message).with_retry_at(now.after(RETRY_DELAY))
}
