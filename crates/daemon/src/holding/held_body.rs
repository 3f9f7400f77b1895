use std::sync::Arc;

use bronzelb_kernel::{
    error::{ErrorKind, MeshError},
    ids::{ByteCount, HolderId},
};
use bytes::Bytes;

use crate::holding::HoldingState;

/// Memory of a request that runs, counted until it is dropped.
pub(crate) struct RequestHold {
    state: Arc<HoldingState>,
    size: ByteCount,
}

impl RequestHold {
    pub(super) fn new(state: Arc<HoldingState>, size: ByteCount) -> Self {
        Self { state, size }
    }
}

impl Drop for RequestHold {
    fn drop(&mut self) {
        if self.size.get() > 0 {
            self.state.lock().release(self.size);
        }
    }
}

/// Body that is counted until its last copy is dropped.
pub(super) struct HeldBody {
    pub(super) body: Vec<u8>,
    pub(super) _hold: RequestHold,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl HeldBody {
    pub(super) fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

/// Copies of a response that a client has yet to read, counted until they are dropped.
pub(crate) struct OutputHold {
    state: Arc<HoldingState>,
    id: HolderId,
    size: ByteCount,
}

impl OutputHold {
    pub(super) fn new((state, id): (Arc<HoldingState>, HolderId), size: ByteCount) -> Self {
        state.lock().add_output(id, size);
        Self { state, id, size }
    }
}

impl Drop for OutputHold {
    fn drop(&mut self) {
        let mut ledger = self.state.lock();
        ledger.remove_unread(self.id, self.size);
        ledger.release(self.size);
    }
}

/// Counted body of a response that a client has yet to read.
pub(crate) struct UnreadBody {
    body: Bytes,
    state: Arc<HoldingState>,
    id: HolderId,
}

impl UnreadBody {
    /// Counts `body` as unread by the client of connection `id` until its last copy is dropped.
    pub(crate) fn attach(body: Bytes, (state, id): (Arc<HoldingState>, HolderId)) -> Bytes {
        state
            .lock()
            .add_unread(id, ByteCount::new(body.len() as u64));
        Bytes::from_owner(Self { body, state, id })
    }
}

impl AsRef<[u8]> for UnreadBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for UnreadBody {
    fn drop(&mut self) {
        let size = ByteCount::new(self.body.len() as u64);
        self.state.lock().remove_unread(self.id, size);
    }
}

/// Counted body of a response that is kept for repeated requests.
pub(crate) struct StoredBody {
    body: Bytes,
    state: Arc<HoldingState>,
}

impl StoredBody {
    /// Counts `body` as stored until its last copy is dropped; `None` if there is no room for it.
    pub(crate) fn attach(state: &Arc<HoldingState>, body: Bytes) -> Option<Bytes> {
        if body.is_empty() {
            return Some(body);
        }
        let has_room = state.lock().try_store(ByteCount::new(body.len() as u64));
        let state = Arc::clone(state);
        has_room.then(|| Bytes::from_owner(Self { body, state }))
    }
}

impl AsRef<[u8]> for StoredBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for StoredBody {
    fn drop(&mut self) {
        let size = ByteCount::new(self.body.len() as u64);
        self.state.lock().end_stored(size);
    }
}

impl HoldingState {
    /// Counts the memory of a request or response that is on its way between nodes.
    ///
    /// # Errors
    ///
    /// An error of the given kind if what clients hold leaves no room for it.
    pub(crate) async fn hold(
        self: &Arc<Self>,
        size: usize,
        kind: ErrorKind,
    ) -> Result<RequestHold, MeshError> {
        let size = ByteCount::new(size as u64);
        if size.get() == 0 {
            return Ok(RequestHold::new(Arc::clone(self), size));
        }
        let has_room = self
            .wait_room(|ledger, now| ledger.grow(now, size, size))
            .await;
        match has_room {
            true => Ok(RequestHold::new(Arc::clone(self), size)),
            false => {
                let message = format!("no room for {size} bytes beside what clients hold");
                Err(MeshError::new(kind, message))
            }
        }
    }

    /// Counts a complete body until its last copy is dropped.
    ///
    /// # Errors
    ///
    /// As [`HoldingState::hold`].
    pub(crate) async fn hold_body(
        self: &Arc<Self>,
        body: Bytes,
        kind: ErrorKind,
    ) -> Result<Bytes, MeshError> {
        if body.is_empty() {
            return Ok(body);
        }
        let hold = self.hold(body.len(), kind).await?;
        Ok(HeldBody {
            body: body.into(),
            _hold: hold,
        }
        .into_bytes())
    }
}
