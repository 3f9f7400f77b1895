use rand::Rng;

use crate::{
    clock::{ClockInstant, TimeBudget},
    ids::ByteCount,
};

/// Rate of one transfer; four of them fill a link of 10 Mbit/s, the slowest in use.
const SLOT_BYTES_PER_MILLI: u64 = 300;
const MAX_JITTER_MS: u64 = 200;

/// Limit on the large transfers that a node sends at once.
///
/// Each takes one slot for as long as its bytes need at 0.3 MB a second. When every
/// slot is taken, the asking peer is told when to come back instead of being queued.
#[derive(Clone, Debug)]
pub struct TransferGate {
    /// When each slot falls free.
    slots: Vec<ClockInstant>,
}

impl TransferGate {
    /// Builds a gate for `limit` transfers at once.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            slots: vec![ClockInstant::default(); limit.max(1)],
        }
    }

    /// Takes a slot for a transfer of `size` bytes.
    ///
    /// # Errors
    ///
    /// Returns the time after which to come back when every slot is taken.
    pub fn enter(
        &mut self,
        size: ByteCount,
        now: ClockInstant,
        rng: &mut impl Rng,
    ) -> Result<(), TimeBudget> {
        let slot = self
            .slots
            .iter_mut()
            .min()
            .expect("a gate has at least one slot");
        if slot.has_passed(now) {
            let millis = size.get().div_ceil(SLOT_BYTES_PER_MILLI);
            *slot = now.after(TimeBudget::from_millis(millis));
            return Ok(());
        }
        let jitter = TimeBudget::from_millis(rng.random_range(0..=MAX_JITTER_MS));
        Err(slot.after(jitter).remaining(now))
    }
}
