use serde::{Deserialize, Serialize};

use crate::{
    clock::TimeBudget,
    ids::{BackendName, BuildVersion, RouteName, ServiceName},
};

/// Outcome of one attempt on a backend server, classified as evidence about its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeClass {
    /// The server responded with a status below 400.
    Served,
    /// The server responded with a status of 500 or above, or missed the request's deadline.
    Failed,
    /// The server closed the connection or crashed while it ran the request.
    Crashed,
    /// The server responded with a status from 400 to 499, which is an error of the caller.
    CallerMistake,
    /// The server shed the request, or there was no usable connection between the machines.
    NotRun,
}

impl OutcomeClass {
    /// Returns the class of a response with the given HTTP status.
    #[must_use]
    pub const fn of_status(status: u16) -> Self {
        match status {
            0..=399 => Self::Served,
            400..=499 => Self::CallerMistake,
            _ => Self::Failed,
        }
    }

    /// Returns whether the outcome is evidence about the version.
    #[must_use]
    pub const fn is_evidence(self) -> bool {
        matches!(self, Self::Served | Self::Failed | Self::Crashed)
    }

    /// Returns whether the outcome counts against the version.
    #[must_use]
    pub const fn is_failure(self) -> bool {
        matches!(self, Self::Failed | Self::Crashed)
    }
}

/// One attempt on a backend server and its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomeReport {
    /// Service of the server.
    pub service: ServiceName,
    /// Route of the request.
    pub route: RouteName,
    /// Version that the server runs.
    pub version: BuildVersion,
    /// Server that ran the attempt.
    pub backend: BackendName,
    /// Class of the outcome.
    pub class: OutcomeClass,
    /// Time from the first byte sent to the outcome.
    pub latency: TimeBudget,
    /// Whether the server is within its slow start, so that its latency is no evidence yet.
    pub is_in_slow_start: bool,
}
