use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::{
    clock::ClockInstant,
    config::VersionStamp,
    error::MeshError,
    ids::{AttemptToken, ContentHash, MeshName, VersionNumber},
};

/// Number of earlier accepted attempts that a [`VersionRow`] keeps.
pub const MAX_ACCEPTED_ATTEMPTS: usize = 16;

/// Accepted attempt that a later version has replaced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedAttempt {
    /// Number under which the attempt was accepted.
    pub number: VersionNumber,
    /// Token of the attempt.
    pub attempt: AttemptToken,
    /// Publisher of the version.
    pub publisher: CompactString,
}

/// The platform's row `MESH/version`: the newest accepted configuration version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRow {
    /// Number of the version.
    pub number: VersionNumber,
    /// Hash of the version's canonical bytes.
    pub hash: ContentHash,
    /// Name of the object that holds the canonical bytes.
    pub object: CompactString,
    /// Token of the attempt, by which the publisher recognises its own write.
    pub attempt: AttemptToken,
    /// When the attempt started, by the publisher's clock.
    pub published_at: ClockInstant,
    /// Publisher of the version.
    pub publisher: CompactString,
    /// Earlier accepted attempts, newest first, at most [`MAX_ACCEPTED_ATTEMPTS`].
    #[serde(default)]
    pub earlier: Vec<AcceptedAttempt>,
}

impl VersionRow {
    /// Returns the key of the row that holds a mesh's newest version.
    #[must_use]
    pub fn key(mesh: &MeshName) -> CompactString {
        format_compact!("{mesh}/version")
    }

    /// Returns the stamp of the version.
    #[must_use]
    pub const fn stamp(&self) -> VersionStamp {
        VersionStamp {
            number: self.number,
            hash: self.hash,
        }
    }

    /// Encodes the row as the JSON text that the table holds.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a version row holds only serializable types")
    }

    /// Decodes the JSON text that the table holds.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`](crate::error::ErrorKind::Invalid) when the text is malformed.
    pub fn from_json(text: &str) -> Result<Self, MeshError> {
        serde_json::from_str(text)
            .map_err(|error| MeshError::invalid(format!("version row: {error}")))
    }

    /// Returns this row's attempt in the form in which later rows list it.
    pub(crate) fn accepted_attempt(&self) -> AcceptedAttempt {
        AcceptedAttempt {
            number: self.number,
            attempt: self.attempt,
            publisher: self.publisher.clone(),
        }
    }
}
