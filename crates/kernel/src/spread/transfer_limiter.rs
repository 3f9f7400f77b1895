use rand::Rng;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::ByteCount,
};

/// Assumed rate of one transfer; four of them fill a link of 10 Mbit/s, the slowest in use.
const SLOT_BYTES_PER_MS: u64 = 300;
const MAX_JITTER_MS: u64 = 200;

/// Limit on the number of large transfers that a node sends concurrently.
///
/// A transfer occupies a slot for the time that its bytes take at 0.3 MB/s. When every slot is
/// taken, the requesting peer is told when to retry instead of being queued.
#[derive(Clone, Debug)]
pub struct TransferLimiter {
    /// When each slot becomes free.
    slots: Vec<ClockInstant>,
}

impl TransferLimiter {
    /// Creates a limiter for `limit` concurrent transfers.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            slots: vec![ClockInstant::default(); limit.max(1)],
        }
    }

    /// Acquires a slot for a transfer of `size` bytes.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry when every slot is taken.
    pub fn try_acquire(
        &mut self,
        size: ByteCount,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> Result<(), TimeBudget> {
        let slot = self
            .slots
            .iter_mut()
            .min()
            .expect("a limiter has at least one slot");
        if slot.has_passed(now) {
            let millis = size.get().div_ceil(SLOT_BYTES_PER_MS);
            *slot = now.after(TimeBudget::from_millis(millis));
            return Ok(());
        }
        let jitter = TimeBudget::from_millis(rng.random_range(0..=MAX_JITTER_MS));
        Err(slot.after(jitter).remaining(now))
    }
}
