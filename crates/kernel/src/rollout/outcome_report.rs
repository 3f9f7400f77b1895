use serde::{Deserialize, Serialize};

use crate::{
    clock::TimeBudget,
    ids::{BackendName, BuildVersion, RouteName, ServiceName},
};

/// How one attempt at a backend server ended, as far as its version is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeClass {
    /// The server answered with a status below 400.
    Served,
    /// The server answered with a status of 500 or above, or missed the request's deadline.
    Failed,
    /// The server closed the connection or died while it ran the request.
    Crashed,
    /// The server answered with a status between 400 and 499: the caller's own mistake.
    CallerMistake,
    /// The server shed the request, or no connection between the machines could be used.
    NotRun,
}

impl OutcomeClass {
    /// Returns the class of an answer with the HTTP status `status`.
    #[must_use]
    pub const fn of_status(status: u16) -> Self {
        match status {
            0..=399 => Self::Served,
            400..=499 => Self::CallerMistake,
            _ => Self::Failed,
        }
    }

    /// Returns whether the outcome says anything about the version.
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

/// One attempt at a backend server and its outcome.
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
    /// How the attempt ended.
    pub class: OutcomeClass,
    /// Time between the attempt's first byte out and its outcome.
    pub latency: TimeBudget,
    /// Whether the server is within its slow start, so that its latency says nothing yet.
    pub is_warming: bool,
}
