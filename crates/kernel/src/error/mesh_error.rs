use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    clock::{ClockInstant, TimeBudget},
    error::ErrorKind,
};

/// Maximum time to the retry instant that is accepted from another node.
const MAX_RETRY_DELAY: TimeBudget = TimeBudget::from_secs(60);

/// An error with a kind, a message, and optionally the instant from which to retry.
///
/// # Examples
///
/// ```
/// use bronzelb_kernel::error::{ErrorKind, MeshError};
///
/// let error = MeshError::new(ErrorKind::NotFound, "service \"archive\" does not exist");
/// assert_eq!(error.kind(), ErrorKind::NotFound);
/// assert_eq!(error.to_string(), "not-found: service \"archive\" does not exist");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(display("{}", FormattedError { error: self }))]
pub struct MeshError {
    kind: ErrorKind,
    message: CompactString,
    retry_at: Option<ClockInstant>,
}

impl MeshError {
    /// Builds an error of `kind` with a human-readable message.
    pub fn new(kind: ErrorKind, message: impl Into<CompactString>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_at: None,
        }
    }

    /// Builds an error of kind [`ErrorKind::Invalid`].
    pub fn invalid(message: impl Into<CompactString>) -> Self {
        Self::new(ErrorKind::Invalid, message)
    }

    /// Sets the instant from which a retry may succeed.
    #[must_use]
    pub fn with_retry_at(mut self, instant: ClockInstant) -> Self {
        self.retry_at = Some(instant);
        self
    }

    /// Replaces the retry instant by one on a clock that starts at `now`, for another node, whose
    /// clock may differ; [`MeshError::received_at`] is the inverse.
    #[must_use]
    pub fn sent_at(mut self, now: ClockInstant) -> Self {
        let instant = self.retry_at;
        self.retry_at =
            instant.map(|instant| ClockInstant::default().after(instant.remaining(now)));
        self
    }

    /// Replaces a retry instant that another node has sent by one on the clock of this node.
    #[must_use]
    pub fn received_at(mut self, now: ClockInstant) -> Self {
        let instant = self.retry_at;
        self.retry_at = instant.map(|instant| {
            let delay = instant.remaining(ClockInstant::default());
            now.after(delay.min(MAX_RETRY_DELAY))
        });
        self
    }

    /// Returns the kind.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the message without the kind.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the instant from which a retry may succeed, if one is known.
    #[must_use]
    pub const fn retry_at(&self) -> Option<ClockInstant> {
        self.retry_at
    }
}

struct FormattedError<'a> {
    error: &'a MeshError,
}

impl fmt::Display for FormattedError<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.error.kind, self.error.message)
    }
}
