use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    ids::{AttemptToken, ContentHash, IncarnationNumber, NodeName},
};

/// Largest answer body that a claim row keeps, in bytes.
pub const MAX_CLAIM_BODY_BYTES: usize = 4 * 1024;

/// Row of the platform's table by which a caller's own key runs at most once.
///
/// Whoever inserts the row is the only one that ever runs the request. The row is never taken
/// over, whatever becomes of its holder, because a paused holder may still be about to send the
/// request. The holder deletes the row when it knows that the request did not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRow {
    /// Token of the write that inserted the row.
    pub attempt: AttemptToken,
    /// Node that holds the claim.
    pub node: NodeName,
    /// Run of the node that holds the claim.
    pub incarnation: IncarnationNumber,
    /// Hash of the request.
    pub fingerprint: ContentHash,
    /// Instant after which the holder does not begin the request, by the holder's clock.
    pub start_by: ClockInstant,
    /// How the request ended; unset while it runs, or when its holder died before recording it.
    pub outcome: Option<ClaimOutcome>,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ClaimOutcome {
    /// The request ran and this is its answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Type of the body's content.
        content_type: Option<CompactString>,
        /// Body, unset when it is not text or larger than [`MAX_CLAIM_BODY_BYTES`].
        body: Option<String>,
    },
    /// The request may have run.
    Unknown,
}

/// What another node does about a claim that it did not insert.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// The key belongs to another request.
    Mismatch,
    /// The request has ended.
    Ended(ClaimOutcome),
    /// The holder knows; its run is named.
    HeldBy(NodeName, IncarnationNumber),
}

impl ClaimRow {
    /// Returns what a request with `fingerprint` learns from the row.
    #[must_use]
    pub fn status_for(&self, fingerprint: ContentHash) -> ClaimStatus {
        if self.fingerprint != fingerprint {
            return ClaimStatus::Mismatch;
        }
        match &self.outcome {
            Some(outcome) => ClaimStatus::Ended(outcome.clone()),
            None => ClaimStatus::HeldBy(self.node.clone(), self.incarnation),
        }
    }
}
