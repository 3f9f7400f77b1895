use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    ids::{AttemptToken, ContentHash, IncarnationNumber, NodeName},
};

/// Maximum size of the response body that a claim row stores, in bytes.
pub const MAX_CLAIM_BODY_BYTES: usize = 4 * 1024;

/// Row of the platform's table that makes a request with a caller-supplied key run at most once.
///
/// Only the node that inserts the row may run the request. No other node takes the row over, even
/// if its holder fails, because a paused holder may still send the request later. The holder
/// deletes the row once it is certain that the request did not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRow {
    /// Token of the write that inserted the row.
    pub attempt: AttemptToken,
    /// Node that holds the claim.
    pub node: NodeName,
    /// Incarnation of the node that holds the claim.
    pub incarnation: IncarnationNumber,
    /// Hash of the request.
    pub fingerprint: ContentHash,
    /// Latest instant at which the holder starts the request, by the holder's clock.
    pub start_by: ClockInstant,
    /// Outcome of the request; `None` while it runs, or if the holder crashed before recording it.
    pub outcome: Option<ClaimOutcome>,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ClaimOutcome {
    /// The request ran, with this response.
    Answered {
        /// HTTP status.
        status: u16,
        /// `Content-Type` of the body.
        content_type: Option<CompactString>,
        /// Body; `None` if it is not text or is larger than [`MAX_CLAIM_BODY_BYTES`].
        body: Option<String>,
    },
    /// The request may have run.
    Unknown,
}

/// Status of a claim that another node has inserted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// The key was used for a different request.
    Mismatch,
    /// The request has ended.
    Ended(ClaimOutcome),
    /// No outcome is recorded; only the holder of the claim, this incarnation of this node, may
    /// know it.
    HeldBy(NodeName, IncarnationNumber),
}

impl ClaimRow {
    /// Returns the status of the claim for a request with `fingerprint`.
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
