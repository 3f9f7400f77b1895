use crate::ids::ByteCount;

/// Size up to which every response is accepted, whatever the other responses hold.
const GUARANTEED_BYTES: u64 = 256 * 1024;
/// Size that responses may hold together while they are read. Buffers that double as they grow take
/// up to three times that for a moment. Together with [`MAX_WAITING_BYTES`] that is less than the
/// memory of the smallest VM (160 MB).
const MAX_READING_BYTES: u64 = 24 * 1024 * 1024;
/// Size that complete responses may hold together until their callers have read them.
const MAX_WAITING_BYTES: u64 = 48 * 1024 * 1024;

/// Limits the memory of the responses that a node holds.
///
/// A server may send without end, and callers may read slowly. The responses that are larger than a
/// guaranteed size then compete for a common total, and ordinary ones are not affected.
#[derive(Clone, Debug)]
pub struct ResponseBudget {
    total: u64,
    max_total: u64,
}

impl ResponseBudget {
    /// Returns the budget of the responses that are being read from backend servers.
    #[must_use]
    pub const fn reading() -> Self {
        Self {
            total: 0,
            max_total: MAX_READING_BYTES,
        }
    }

    /// Returns the budget of the responses that wait for their callers.
    #[must_use]
    pub const fn waiting() -> Self {
        Self {
            total: 0,
            max_total: MAX_WAITING_BYTES,
        }
    }

    /// Adds `more` bytes to a response that holds `held` bytes, and returns whether they fit.
    pub fn try_grow(&mut self, held: ByteCount, more: ByteCount) -> bool {
        let (size, total) = (held.get() + more.get(), self.total + more.get());
        let fits = size <= GUARANTEED_BYTES || total <= self.max_total;
        if fits {
            self.total = total;
        }
        fits
    }

    /// Returns the bytes of a response that is no longer held.
    pub const fn release(&mut self, held: ByteCount) {
        self.total = self.total.saturating_sub(held.get());
    }

    /// Returns the bytes that all responses hold.
    #[must_use]
    pub const fn total(&self) -> ByteCount {
        ByteCount::new(self.total)
    }
}
