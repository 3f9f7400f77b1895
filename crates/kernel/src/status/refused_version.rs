use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::config::VersionStamp;

/// A version that a node refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedVersion {
    /// Version.
    pub version: VersionStamp,
    /// Why it was refused.
    pub reason: CompactString,
}
