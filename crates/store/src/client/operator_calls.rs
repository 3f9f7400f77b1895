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

type WatchDocuments =
    dyn Fn(Option<RowRevision>, DocumentContext, ClockInstant) -> CallFuture<OperatorUpdates>;
type BuildStatus = dyn Fn(&MoveRecord) -> Result<RowWrite, MeshError>;

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
    /// Long-polls for documents written after a revision and returns none at the deadline.
    ///
    /// Without a revision, returns the current documents. `NotFound` means that the platform no
    /// longer holds the history after that revision.
    pub watch: Box<WatchDocuments>,
    /// Builds the write of the row that shows the state of a move to operators.
    pub status: Box<BuildStatus>,
}
