use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::config::VersionStamp;

/// A configuration version that a node rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedVersion {
    /// Stamp of the rejected version.
    pub version: VersionStamp,
    /// Reason for the rejection.
    pub reason: CompactString,
}
