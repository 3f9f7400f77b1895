use crate::ids::ByteCount;

/// Size up to which every response is accepted, whatever the other responses hold.
const GUARANTEED_BYTES: u64 = 256 * 1024;
/// Size that responses may hold together. Buffers that double as they grow take up to three times
/// that for a moment, which is less than half of the memory of the smallest VM (160 MB).
const MAX_TOTAL_BYTES: u64 = 24 * 1024 * 1024;

/// Limits the memory of responses that a node is still reading from its backend servers.
///
/// A server may send without end. The responses that have grown beyond a guaranteed size then
/// compete for a common total, and ordinary ones are not affected.
#[derive(Clone, Debug, Default)]
pub struct ResponseBudget {
    total: u64,
}

impl ResponseBudget {
    /// Adds `more` bytes to a response that holds `held` bytes, and returns whether they fit.
    pub fn try_grow(&mut self, held: ByteCount, more: ByteCount) -> bool {
        let (size, total) = (held.get() + more.get(), self.total + more.get());
        let fits = size <= GUARANTEED_BYTES || total <= MAX_TOTAL_BYTES;
        if fits {
            self.total = total;
        }
        fits
    }

    /// Returns the bytes of a response that has been read or given up.
    pub const fn release(&mut self, held: ByteCount) {
        self.total = self.total.saturating_sub(held.get());
    }

    /// Returns the bytes that all responses hold.
    #[must_use]
    pub const fn total(&self) -> ByteCount {
        ByteCount::new(self.total)
    }
}
