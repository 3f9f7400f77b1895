use bronzelb_kernel::{
    clock::ClockInstant,
    error::MeshError,
    plugin::{DocumentContext, OperatorDocument},
    rollout::MoveRecord,
};

use crate::{
    client::CallFuture,
    table::{RowRevision, RowWrite},
};

type WatchDocuments = dyn Fn(WatchRequest, ClockInstant) -> CallFuture<OperatorUpdates>;
type BuildStatus = dyn Fn(&MoveRecord) -> Result<RowWrite, MeshError>;

/// Parameters of a watch for operators' documents.
#[derive(Clone, Debug)]
pub struct WatchRequest {
    /// Revision after which changes are returned; `None` returns the current documents.
    pub after: Option<RowRevision>,
    /// Until when the platform waits for a change.
    pub wait_deadline: ClockInstant,
    /// Values that the documents do not state.
    pub context: DocumentContext,
}

/// Documents that operators have written to the platform since a given revision.
#[derive(Debug)]
pub struct OperatorUpdates {
    /// Revision to resume watching from.
    pub revision: RowRevision,
    /// Documents in the order they were written.
    pub documents: Vec<OperatorDocument>,
}

/// Calls of a platform that operators write documents to directly.
pub struct OperatorCalls {
    /// Long-polls for documents written after a revision and returns none if there are none by the
    /// end of the wait.
    ///
    /// `NotFound` means that the platform does not hold the history after that revision: it was
    /// discarded, or the platform has returned to an older copy.
    pub watch: Box<WatchDocuments>,
    /// Builds the write of the row that shows the state of a move to operators.
    pub status: Box<BuildStatus>,
}
