use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{ContentHash, VersionNumber};

/// Identity of one configuration version: its number and the hash of its content.
///
/// Stamps are ordered by number first. A number never has two hashes, because each version is
/// published by a single compare-and-set on the platform's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionStamp {
    /// Number of the version.
    pub number: VersionNumber,
    /// Hash of the version's canonical bytes.
    pub hash: ContentHash,
}

impl fmt::Display for VersionStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.number, self.hash)
    }
}
