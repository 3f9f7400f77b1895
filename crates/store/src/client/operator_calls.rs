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
    dyn Fn(Option<RowRevision>, DocumentContext, ClockInstant) -> CallFuture<OperatorNews>;
type StateMove = dyn Fn(&MoveRecord) -> Result<RowWrite, MeshError>;

/// What operators have written to the platform since some revision.
#[derive(Debug)]
pub struct OperatorNews {
    /// Revision from which to watch on.
    pub revision: RowRevision,
    /// Documents in the order in which they were written.
    pub documents: Vec<OperatorDocument>,
}

/// Calls of a platform to which operators write their documents themselves.
pub struct OperatorCalls {
    /// Returns the documents that were written after a revision as soon as there are any, or
    /// none at the deadline; without a revision, returns what there is now.
    ///
    /// `NotFound` means that the platform no longer knows what came after that revision.
    pub watch: Box<WatchDocuments>,
    /// Builds the row that states to operators how a move stands.
    pub state_move: Box<StateMove>,
}
