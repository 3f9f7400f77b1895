use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
    ids::{ContentHash, IdempotencyKey, IncarnationNumber, NodeName, RequestNumber},
    request::RequestTicket,
};

/// Time for which a node remembers a key after its last change.
pub const KEY_RETENTION: TimeBudget = TimeBudget::from_secs(600);

const MAX_KEYS: usize = 20_000;
const FULL_PAUSE: TimeBudget = TimeBudget::from_secs(5);

/// What a node knows of one key; `J` joins a running request and `A` is its answer.
#[derive(Clone, Debug)]
enum KeyState<J, A> {
    Idle,
    Running(J),
    Completed(A),
    Unknown,
}

#[derive(Clone, Debug)]
struct KeyEntry<J, A> {
    /// Hash of the request; unset until the first request with the key arrives.
    fingerprint: Option<ContentHash>,
    state: KeyState<J, A>,
    forget_at: ClockInstant,
}

/// What a request with an idempotency key may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision<J, A> {
    /// It runs.
    Run {
        /// Whether the ledger knows that no request with the key has run before; a claim that
        /// this run of the node left in the table is then its own.
        is_known_not_run: bool,
    },
    /// An earlier request with the key runs; this one gets the same answer.
    Join(J),
    /// An earlier request with the key has ended; this one gets the same answer.
    Replay(A),
    /// An earlier request with the key may have run.
    Unknown,
}

/// How a request with an idempotency key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOutcome<A> {
    /// It did not run.
    NotRun,
    /// It ran, and this is its answer.
    Completed(A),
    /// It may have run.
    Unknown,
}

/// The idempotency keys that one run of a node has issued or seen.
///
/// A key runs at most once within the ledger: it leaves the running state as not run only when
/// that is certain. A ticket that the ledger does not hold has lapsed or been used, so it never
/// runs; a caller's own key that the ledger does not hold is for the table to decide.
#[derive(Clone, Debug)]
pub struct IdempotencyCache<J, A> {
    entries: BTreeMap<IdempotencyKey, KeyEntry<J, A>>,
    order: BTreeMap<(ClockInstant, u64), IdempotencyKey>,
    next_order: u64,
    next_ticket: RequestNumber,
}

impl<J, A> Default for IdempotencyCache<J, A> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            order: BTreeMap::new(),
            next_order: 0,
            next_ticket: RequestNumber::new(1),
        }
    }
}

impl<J: Clone, A: Clone> IdempotencyCache<J, A> {
    /// Issues a ticket of the node's present run.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] when the ledger holds too many keys.
    pub fn issue_ticket(
        &mut self,
        now: ClockInstant,
        node: &NodeName,
        incarnation: IncarnationNumber,
    ) -> Result<RequestTicket, MeshError> {
        self.make_room(now)?;
        let ticket = RequestTicket {
            node: node.clone(),
            incarnation,
            number: self.next_ticket,
        };
        self.next_ticket = self.next_ticket.next();
        self.put(now, ticket.to_key(), None, KeyState::Idle);
        Ok(ticket)
    }

    /// Begins a request with `key`; `join` is handed to later ones while it runs.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Conflict`] when the key belongs to another request, and
    /// [`ErrorKind::Overloaded`] when the ledger holds too many keys.
    pub fn begin(
        &mut self,
        now: ClockInstant,
        key: &IdempotencyKey,
        fingerprint: ContentHash,
        join: J,
    ) -> Result<KeyDecision<J, A>, MeshError> {
        let Some(entry) = self.entries.get(key) else {
            if RequestTicket::is_ticket(key) {
                return Ok(KeyDecision::Unknown);
            }
            self.make_room(now)?;
            self.put(now, key.clone(), Some(fingerprint), KeyState::Running(join));
            return Ok(KeyDecision::Run {
                is_known_not_run: false,
            });
        };
        if entry.fingerprint.is_some_and(|held| held != fingerprint) {
            return Err(MeshError::new(
                ErrorKind::Conflict,
                "the idempotency key belongs to another request",
            ));
        }
        match &entry.state {
            KeyState::Running(join) => Ok(KeyDecision::Join(join.clone())),
            KeyState::Completed(answer) => Ok(KeyDecision::Replay(answer.clone())),
            KeyState::Unknown => Ok(KeyDecision::Unknown),
            KeyState::Idle => {
                self.put(now, key.clone(), Some(fingerprint), KeyState::Running(join));
                Ok(KeyDecision::Run {
                    is_known_not_run: true,
                })
            }
        }
    }

    /// Ends a request that [`IdempotencyCache::begin`] let run.
    pub fn finish(&mut self, now: ClockInstant, key: &IdempotencyKey, end: KeyOutcome<A>) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let fingerprint = entry.fingerprint;
        let state = match end {
            KeyOutcome::NotRun => KeyState::Idle,
            KeyOutcome::Completed(answer) => KeyState::Completed(answer),
            KeyOutcome::Unknown => KeyState::Unknown,
        };
        self.put(now, key.clone(), fingerprint, state);
    }

    /// Returns whether the ledger holds `key`.
    #[must_use]
    pub fn contains(&self, key: &IdempotencyKey) -> bool {
        self.entries.contains_key(key)
    }

    fn put(
        &mut self,
        now: ClockInstant,
        key: IdempotencyKey,
        fingerprint: Option<ContentHash>,
        state: KeyState<J, A>,
    ) {
        let forget_at = now.after(KEY_RETENTION);
        self.order.insert((forget_at, self.next_order), key.clone());
        self.next_order += 1;
        let entry = KeyEntry {
            fingerprint,
            state,
            forget_at,
        };
        self.entries.insert(key, entry);
    }

    /// Forgets what has lapsed, except requests that still run.
    fn make_room(&mut self, now: ClockInstant) -> Result<(), MeshError> {
        while let Some(first) = self.order.first_entry() {
            let (forget_at, _) = *first.key();
            if !forget_at.has_passed(now) {
                break;
            }
            let key = first.remove();
            let is_lapsed = self.entries.get(&key).is_some_and(|entry| {
                entry.forget_at == forget_at && !matches!(entry.state, KeyState::Running(_))
            });
            if is_lapsed {
                self.entries.remove(&key);
            }
        }
        if self.entries.len() < MAX_KEYS {
            return Ok(());
        }
        let message = format!("the node already remembers {MAX_KEYS} idempotency keys");
        let error = MeshError::new(ErrorKind::Overloaded, message);
        Err(error.with_retry_at(now.after(FULL_PAUSE)))
    }
}
