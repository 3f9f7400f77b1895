use std::{mem, sync::Arc};

use bronzelb_kernel::{holding::HoldingLedger, ids::ByteCount};
use bytes::Bytes;

use crate::holding::{HoldingState, RequestHold, held_body::HeldBody};

/// Capacity that a body of unknown length gets first.
const FIRST_CAPACITY: usize = 2 * 1024;
/// Largest capacity that a stated length gets before that much has arrived.
const TRUSTED_CAPACITY: usize = 64 * 1024;

/// The body exceeds its limit, or what clients hold leaves no room for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyOverflow;

/// Body of a response that is being received, counted in the node's account.
pub(crate) struct BodyBuffer {
    state: Arc<HoldingState>,
    body: Vec<u8>,
    /// Counted bytes, the capacity of the buffer.
    counted: usize,
    length: Option<usize>,
    limit: usize,
}

impl BodyBuffer {
    /// Creates the buffer of a body that has at most `limit` bytes and a `length`, if that is known.
    pub(crate) fn new(state: Arc<HoldingState>, length: Option<usize>, limit: usize) -> Self {
        Self {
            state,
            body: Vec::new(),
            counted: 0,
            length,
            limit,
        }
    }

    pub(crate) async fn append(&mut self, chunk: &[u8]) -> Result<(), BodyOverflow> {
        let needed = self.body.len() + chunk.len();
        if needed > self.limit {
            return Err(BodyOverflow);
        }
        if needed > self.counted {
            let capacity = grown_capacity(self.counted, needed, self.length, self.limit);
            self.count(capacity).await?;
            self.body.reserve_exact(capacity - self.body.len());
        }
        self.body.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the complete body, which stays counted until its last copy is dropped.
    pub(crate) fn finish(mut self) -> Bytes {
        let mut body = mem::take(&mut self.body);
        body.shrink_to_fit();
        let size = body.len();
        {
            let mut ledger = self.state.lock();
            ledger.end_received(ByteCount::new(self.counted as u64));
            ledger.release(ByteCount::new((self.counted - size) as u64));
        }
        self.counted = 0;
        let size = ByteCount::new(size as u64);
        let hold = RequestHold::new(Arc::clone(&self.state), size);
        HeldBody { body, _hold: hold }.into_bytes()
    }

    async fn count(&mut self, capacity: usize) -> Result<(), BodyOverflow> {
        let size = ByteCount::new(capacity as u64);
        let more = ByteCount::new((capacity - self.counted) as u64);
        let grow = |ledger: &mut HoldingLedger<_>, now| ledger.grow_received(now, size, more);
        if !self.state.wait_room(grow).await {
            return Err(BodyOverflow);
        }
        self.counted = capacity;
        Ok(())
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        let size = ByteCount::new(self.counted as u64);
        let mut ledger = self.state.lock();
        ledger.end_received(size);
        ledger.release(size);
    }
}

/// Returns the capacity to which a buffer grows that needs `needed` bytes: twice its present one,
/// but no more than the body's known length or its limit.
fn grown_capacity(capacity: usize, needed: usize, length: Option<usize>, limit: usize) -> usize {
    let first = length.map_or(FIRST_CAPACITY, |length| length.min(TRUSTED_CAPACITY));
    let doubled = (capacity * 2).max(first);
    let bound = length.unwrap_or(limit).min(limit);
    doubled.min(bound).max(needed)
}
