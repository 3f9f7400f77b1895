use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
};

/// Deadline of a node that is not shutting down.
const NO_DEADLINE: u64 = u64::MAX;
const RETRY_DELAY: TimeBudget = TimeBudget::from_millis(200);

/// Decides which requests a node still takes or passes on while it shuts down.
///
/// A request that may outlast the drain is interrupted at its end, and its caller can't tell whether
/// it ran. It is refused instead, so that another node runs it. As an exception, idempotent requests
/// are accepted while callers do not know of the shutdown yet: most end long before their deadline,
/// and the others can be sent again.
#[derive(Debug)]
pub(crate) struct DrainGate {
    /// End of the drain, in microseconds of the node's clock.
    drain_deadline: AtomicU64,
    are_callers_informed: AtomicBool,
    is_closed: AtomicBool,
}

impl Default for DrainGate {
    fn default() -> Self {
        Self {
            drain_deadline: AtomicU64::new(NO_DEADLINE),
            are_callers_informed: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
        }
    }
}

impl DrainGate {
    /// Begins the drain, which interrupts what is still running at `drain_deadline`.
    pub(crate) fn begin_drain(&self, drain_deadline: ClockInstant) {
        let micros = drain_deadline.as_micros();
        self.drain_deadline.store(micros, Ordering::SeqCst);
    }

    /// Ends the period in which callers may not know of the shutdown.
    pub(crate) fn end_notice(&self) {
        self.are_callers_informed.store(true, Ordering::SeqCst);
    }

    /// Stops accepting new requests.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }

    /// Checks that a new request may be accepted.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Draining`] if it has to be sent to another node.
    pub(crate) fn check_new(
        &self,
        now: ClockInstant,
        deadline: ClockInstant,
        is_idempotent: bool,
    ) -> Result<(), MeshError> {
        if self.is_closed.load(Ordering::SeqCst) {
            return Err(draining_error(now, "the node is shutting down"));
        }
        self.check_accepted(now, deadline, is_idempotent)
    }

    /// Checks that an accepted request may be passed on, which it may have waited for.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Draining`] if it could outlast the drain.
    pub(crate) fn check_accepted(
        &self,
        now: ClockInstant,
        deadline: ClockInstant,
        is_idempotent: bool,
    ) -> Result<(), MeshError> {
        let ends_in_time = deadline.as_micros() <= self.drain_deadline.load(Ordering::SeqCst);
        let may_outlast = is_idempotent && !self.are_callers_informed.load(Ordering::SeqCst);
        if ends_in_time || may_outlast {
            return Ok(());
        }
        let message = "the node is shutting down before the request's deadline";
        Err(draining_error(now, message))
    }
}

fn draining_error(now: ClockInstant, message: &'static str) -> MeshError {
    MeshError::new(ErrorKind::Draining, message).with_retry_at(now.after(RETRY_DELAY))
}
