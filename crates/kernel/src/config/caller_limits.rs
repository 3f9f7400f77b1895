use serde::{Deserialize, Serialize};

use crate::{clock::TimeBudget, ids::ByteCount};

/// Limits of what one connection of a caller may send, and of the time that it may take.
///
/// Callers stay within them; a node allows some more for the time on the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Size of a request's header fields.
    pub max_header: ByteCount,
    /// Time in which the head of a request arrives.
    pub header_timeout: TimeBudget,
    /// Time for which a connection may be idle between two requests.
    pub idle_timeout: TimeBudget,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header: ByteCount::new(16 * 1024),
            header_timeout: TimeBudget::from_secs(3),
            idle_timeout: TimeBudget::from_secs(15),
        }
    }
}

impl CallerLimits {
    /// Returns whether these are the limits of a configuration that states none.
    #[must_use]
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }
}
