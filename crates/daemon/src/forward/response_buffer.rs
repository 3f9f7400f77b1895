use std::sync::{Mutex, MutexGuard, PoisonError};

use bronzelb_kernel::{ids::ByteCount, request::ResponseBudget};
use bytes::{Bytes, BytesMut};

use crate::forward::backend_connection::{ExchangeError, MAX_RESPONSE_BYTES};

/// Body of a response that is being read, within the node's [`ResponseBudget`].
pub(super) struct ResponseBuffer<'a> {
    body: BytesMut,
    budget: &'a Mutex<ResponseBudget>,
}

impl<'a> ResponseBuffer<'a> {
    pub(super) fn new(budget: &'a Mutex<ResponseBudget>) -> Self {
        Self {
            body: BytesMut::new(),
            budget,
        }
    }

    pub(super) fn append(&mut self, chunk: &[u8]) -> Result<(), ExchangeError> {
        let held = self.body.len();
        let more = ByteCount::new(chunk.len() as u64);
        let fits = held + chunk.len() <= MAX_RESPONSE_BYTES
            && self.lock().try_grow(ByteCount::new(held as u64), more);
        if !fits {
            return Err(ExchangeError::TooLarge);
        }
        self.body.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the complete body.
    pub(super) fn finish(mut self) -> Bytes {
        self.release();
        std::mem::take(&mut self.body).freeze()
    }

    fn release(&self) {
        self.lock().release(ByteCount::new(self.body.len() as u64));
    }

    fn lock(&self) -> MutexGuard<'a, ResponseBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ResponseBuffer<'_> {
    fn drop(&mut self) {
        // A finished buffer is empty.
        self.release();
    }
}
