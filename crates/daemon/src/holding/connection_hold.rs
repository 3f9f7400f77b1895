use std::{convert::Infallible, sync::Arc};

use bronzelb_kernel::{
    clock::ClockInstant,
    holding::ConnectionStage,
    ids::{ByteCount, HolderId},
};
use tokio::sync::oneshot;

use crate::holding::{HoldingState, OutputHold, RequestHold};

/// Sizes are recorded in whole multiples of this, so that most requests change nothing.
const SIZE_STEP: usize = 4 * 1024;

/// Entry of a connection in the node's account, until it is dropped.
pub(crate) struct ConnectionHold {
    state: Arc<HoldingState>,
    id: HolderId,
    closed: oneshot::Receiver<Infallible>,
    size: usize,
    stage: Option<ConnectionStage>,
}

impl ConnectionHold {
    pub(super) fn new(
        state: Arc<HoldingState>,
        id: HolderId,
        closed: oneshot::Receiver<Infallible>,
    ) -> Self {
        Self {
            state,
            id,
            closed,
            size: 0,
            stage: None,
        }
    }

    /// Returns the node's account and the connection's identifier in it.
    pub(crate) fn holder(&self) -> (Arc<HoldingState>, HolderId) {
        (Arc::clone(&self.state), self.id)
    }

    /// Waits until the connection has to close to make room for others.
    pub(crate) async fn closed(&mut self) {
        // Nothing is ever sent.
        let _ = (&mut self.closed).await;
    }

    /// Records the size of the connection's buffers, in bytes, once there is room for them. Returns
    /// false if the connection has to close.
    pub(crate) async fn resize(&mut self, size: usize) -> bool {
        let size = size.div_ceil(SIZE_STEP) * SIZE_STEP;
        // One step less is not worth a change: buffers shrink and grow with every request.
        if size == self.size || size + SIZE_STEP == self.size {
            return true;
        }
        let (state, id) = self.holder();
        let bytes = ByteCount::new(size as u64);
        let has_room = state
            .wait_room(|ledger, now| ledger.resize_buffers(now, id, bytes))
            .await;
        if has_room {
            self.size = size;
        }
        has_room
    }

    /// Records what the connection waits for, if that has changed.
    pub(crate) fn set_stage(&mut self, stage: ConnectionStage, since: ClockInstant) {
        if self.stage != Some(stage) {
            self.stage = Some(stage);
            self.state.lock().set_stage(self.id, stage, since);
        }
    }

    /// Records that the client has begun to act in the stage.
    pub(crate) fn restart_stage(&mut self, stage: ConnectionStage, since: ClockInstant) {
        self.stage = None;
        self.set_stage(stage, since);
    }

    /// Counts the copies of a response that the client does not take at once, until the result is
    /// dropped.
    pub(crate) fn count_output(&self, size: usize) -> OutputHold {
        OutputHold::new(self.holder(), ByteCount::new(size as u64))
    }

    /// Moves `size` bytes from the connection's buffers to a request that runs.
    pub(crate) fn detach(&mut self, size: usize) -> RequestHold {
        self.state
            .lock()
            .detach(self.id, ByteCount::new(size as u64));
        self.size = self.size.saturating_sub(size);
        RequestHold::new(Arc::clone(&self.state), ByteCount::new(size as u64))
    }
}

impl Drop for ConnectionHold {
    fn drop(&mut self) {
        self.state.lock().remove_connection(self.id);
    }
}
