use std::collections::BTreeMap;

use crate::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
    ids::{ContentHash, IdempotencyKey, IncarnationNumber, NodeName, RequestNumber},
    request::RequestTicket,
};

/// Time for which a node keeps a key after the key's last change of state.
pub const KEY_RETENTION: TimeBudget = TimeBudget::from_secs(600);

const MAX_KEYS: usize = 20_000;
/// Retry delay that is returned while the cache is full.
const FULL_CACHE_RETRY_DELAY: TimeBudget = TimeBudget::from_secs(5);

/// State of one key; `J` is a handle for joining a running request, and `R` is the response.
#[derive(Clone, Debug)]
enum KeyState<J, R> {
    NotRun,
    Running(J),
    Completed(R),
    Unknown,
}

#[derive(Clone, Debug)]
struct KeyEntry<J, R> {
    /// Hash of the request; `None` until the first request with the key arrives.
    fingerprint: Option<ContentHash>,
    state: KeyState<J, R>,
    expires_at: ClockInstant,
}

/// What to do with a request that has an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision<J, R> {
    /// Run the request.
    Run {
        /// Whether the cache holds the key and knows that no request with it has run. If true, a
        /// claim by this incarnation of the node in the platform's table belongs to this key.
        is_known_not_run: bool,
    },
    /// An earlier request with the key is still running; wait for its response.
    Join(J),
    /// An earlier request with the key has completed; return its response again.
    Replay(R),
    /// An earlier request with the key may have run; do not run this one.
    Unknown,
}

/// Outcome of a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOutcome<R> {
    /// The request did not run.
    NotRun,
    /// The request completed with this response.
    Completed(R),
    /// The request may have run.
    Unknown,
}

/// Cache of the idempotency keys that one incarnation of a node has issued or received.
///
/// Within one cache, a key runs at most once: a running key returns to the not-run state only if
/// it is certain that the request did not run. A ticket that the cache does not hold has expired
/// or was used, so it is never run. For a caller-supplied key that the cache does not hold, the
/// caller of [`IdempotencyCache::begin`] checks the platform's table.
#[derive(Clone, Debug)]
pub struct IdempotencyCache<J, R> {
    entries: BTreeMap<IdempotencyKey, KeyEntry<J, R>>,
    expiry_queue: BTreeMap<(ClockInstant, u64), IdempotencyKey>,
    next_expiry_sequence: u64,
    next_ticket_number: RequestNumber,
}

impl<J, R> Default for IdempotencyCache<J, R> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            expiry_queue: BTreeMap::new(),
            next_expiry_sequence: 0,
            next_ticket_number: RequestNumber::new(1),
        }
    }
}

impl<J: Clone, R: Clone> IdempotencyCache<J, R> {
    /// Issues a ticket for the current incarnation of the node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] if the cache is full.
    pub fn issue_ticket(
        &mut self,
        now: ClockInstant,
        node: &NodeName,
        incarnation: IncarnationNumber,
    ) -> Result<RequestTicket, MeshError> {
        self.ensure_capacity(now)?;
        let ticket = RequestTicket {
            node: node.clone(),
            incarnation,
            number: self.next_ticket_number,
        };
        self.next_ticket_number = self.next_ticket_number.next();
        self.put(now, ticket.to_key(), None, KeyState::NotRun);
        Ok(ticket)
    }

    /// Begins a request with `key`; later requests with the key receive `join` while it runs.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Conflict`] if the key was used with a different request, and
    /// [`ErrorKind::Overloaded`] if the cache is full.
    pub fn begin(
        &mut self,
        now: ClockInstant,
        key: &IdempotencyKey,
        fingerprint: ContentHash,
        join: J,
    ) -> Result<KeyDecision<J, R>, MeshError> {
        let Some(entry) = self.entries.get(key) else {
            if RequestTicket::is_ticket(key) {
                return Ok(KeyDecision::Unknown);
            }
            self.ensure_capacity(now)?;
            self.put(now, key.clone(), Some(fingerprint), KeyState::Running(join));
            return Ok(KeyDecision::Run {
                is_known_not_run: false,
            });
        };
        if entry.fingerprint.is_some_and(|known| known != fingerprint) {
            return Err(MeshError::new(
                ErrorKind::Conflict,
                "the idempotency key belongs to another request",
            ));
        }
        match &entry.state {
            KeyState::Running(join) => Ok(KeyDecision::Join(join.clone())),
            KeyState::Completed(response) => Ok(KeyDecision::Replay(response.clone())),
            KeyState::Unknown => Ok(KeyDecision::Unknown),
            KeyState::NotRun => {
                self.put(now, key.clone(), Some(fingerprint), KeyState::Running(join));
                Ok(KeyDecision::Run {
                    is_known_not_run: true,
                })
            }
        }
    }

    /// Records the outcome of a request that [`IdempotencyCache::begin`] allowed to run.
    pub fn finish(&mut self, now: ClockInstant, key: &IdempotencyKey, outcome: KeyOutcome<R>) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let fingerprint = entry.fingerprint;
        let state = match outcome {
            KeyOutcome::NotRun => KeyState::NotRun,
            KeyOutcome::Completed(response) => KeyState::Completed(response),
            KeyOutcome::Unknown => KeyState::Unknown,
        };
        self.put(now, key.clone(), fingerprint, state);
    }

    /// Returns whether the cache holds `key`.
    #[must_use]
    pub fn contains(&self, key: &IdempotencyKey) -> bool {
        self.entries.contains_key(key)
    }

    fn put(
        &mut self,
        now: ClockInstant,
        key: IdempotencyKey,
        fingerprint: Option<ContentHash>,
        state: KeyState<J, R>,
    ) {
        let expires_at = now.after(KEY_RETENTION);
        self.expiry_queue
            .insert((expires_at, self.next_expiry_sequence), key.clone());
        self.next_expiry_sequence += 1;
        let entry = KeyEntry {
            fingerprint,
            state,
            expires_at,
        };
        self.entries.insert(key, entry);
    }

    /// Removes expired keys, except those of running requests.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] if the cache is still full.
    fn ensure_capacity(&mut self, now: ClockInstant) -> Result<(), MeshError> {
        while let Some(first) = self.expiry_queue.first_entry() {
            let (expires_at, _) = *first.key();
            if !expires_at.has_passed(now) {
                break;
            }
            let key = first.remove();
            let is_expired = self.entries.get(&key).is_some_and(|entry| {
                entry.expires_at == expires_at && !matches!(entry.state, KeyState::Running(_))
            });
            if is_expired {
                self.entries.remove(&key);
            }
        }
        if self.entries.len() < MAX_KEYS {
            return Ok(());
        }
        let message = format!("the node already holds {MAX_KEYS} idempotency keys");
        let error = MeshError::new(ErrorKind::Overloaded, message);
        Err(error.with_retry_at(now.after(FULL_CACHE_RETRY_DELAY)))
    }
}
