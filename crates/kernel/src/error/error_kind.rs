use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::error::{ErrorResponse, MeshError, RunState};

/// Reason for which a request, command or message fails.
///
/// Every kind maps to one [`ErrorResponse`]; see [`ErrorKind::response`] for the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// The request, file or message is malformed.
    Invalid,
    /// The request, file or message exceeds a size limit.
    TooLarge,
    /// The client did not send its whole request in time.
    SlowSender,
    /// A token or key is missing or wrong.
    Unauthorized,
    /// No route matches the request.
    UnknownRoute,
    /// The named service, version or move does not exist.
    NotFound,
    /// Another writer changed the record first.
    Conflict,
    /// The deadline passed before the request ran.
    DeadlinePassed,
    /// Admission control refused the request because of load.
    Overloaded,
    /// The client account has used up its usage cap.
    CapExceeded,
    /// The backend server refused the request for lack of capacity, without running it.
    Shed,
    /// No backend server of the service can be reached.
    NoBackend,
    /// The node is shutting down.
    Draining,
    /// Operators have ordered that nothing is sent to the data centre of the backend server.
    Evacuated,
    /// The request is quarantined because it crashes backend servers.
    Quarantined,
    /// Another request with the same idempotency key is running.
    InProgress,
    /// The request with this idempotency key has already run.
    AlreadyDone,
    /// The platform's table service or object store does not respond.
    PlatformAway,
    /// The backend server failed after it received the request.
    BackendFailed,
    /// The request reached a backend server and its outcome is unknown.
    OutcomeUnknown,
    /// The node has no configuration yet.
    NotReady,
    /// A local I/O operation failed.
    LocalIo,
}

impl ErrorKind {
    /// Every kind, in the order of declaration.
    pub const ALL: [Self; 22] = [
        Self::Invalid,
        Self::TooLarge,
        Self::SlowSender,
        Self::Unauthorized,
        Self::UnknownRoute,
        Self::NotFound,
        Self::Conflict,
        Self::DeadlinePassed,
        Self::Overloaded,
        Self::CapExceeded,
        Self::Shed,
        Self::NoBackend,
        Self::Draining,
        Self::Evacuated,
        Self::Quarantined,
        Self::InProgress,
        Self::AlreadyDone,
        Self::PlatformAway,
        Self::BackendFailed,
        Self::OutcomeUnknown,
        Self::NotReady,
        Self::LocalIo,
    ];

    /// Returns the name that appears in responses, logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::TooLarge => "too-large",
            Self::SlowSender => "slow-sender",
            Self::Unauthorized => "unauthorized",
            Self::UnknownRoute => "unknown-route",
            Self::NotFound => "not-found",
            Self::Conflict => "conflict",
            Self::DeadlinePassed => "deadline-passed",
            Self::Overloaded => "overloaded",
            Self::CapExceeded => "cap-exceeded",
            Self::Shed => "shed",
            Self::NoBackend => "no-backend",
            Self::Draining => "draining",
            Self::Evacuated => "evacuated",
            Self::Quarantined => "quarantined",
            Self::InProgress => "in-progress",
            Self::AlreadyDone => "already-done",
            Self::PlatformAway => "platform-away",
            Self::BackendFailed => "backend-failed",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::NotReady => "not-ready",
            Self::LocalIo => "local-io",
        }
    }

    /// Returns the HTTP status, the exit code and the execution state for this kind.
    #[must_use]
    pub const fn response(self) -> ErrorResponse {
        use RunState::{NotRun, OutcomeUnknown, Ran};
        match self {
            Self::Invalid => ErrorResponse::new(400, 2, NotRun, false),
            Self::TooLarge => ErrorResponse::new(413, 2, NotRun, false),
            Self::SlowSender => ErrorResponse::new(408, 2, NotRun, false),
            Self::Unauthorized => ErrorResponse::new(401, 3, NotRun, false),
            Self::UnknownRoute | Self::NotFound => ErrorResponse::new(404, 4, NotRun, false),
            Self::Conflict => ErrorResponse::new(409, 5, NotRun, false),
            Self::DeadlinePassed => ErrorResponse::new(503, 6, NotRun, true),
            Self::Overloaded => ErrorResponse::new(503, 6, NotRun, true),
            Self::CapExceeded => ErrorResponse::new(429, 6, NotRun, true),
            Self::Shed | Self::NoBackend | Self::Draining | Self::Evacuated | Self::NotReady => {
                ErrorResponse::new(503, 6, NotRun, true)
            }
            Self::Quarantined => ErrorResponse::new(422, 6, NotRun, false),
            Self::InProgress => ErrorResponse::new(409, 5, NotRun, true),
            Self::AlreadyDone => ErrorResponse::new(409, 5, Ran, false),
            Self::PlatformAway => ErrorResponse::new(503, 7, NotRun, true),
            Self::BackendFailed => ErrorResponse::new(502, 6, Ran, false),
            Self::OutcomeUnknown => ErrorResponse::new(504, 6, OutcomeUnknown, false),
            Self::LocalIo => ErrorResponse::new(500, 1, NotRun, false),
        }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for ErrorKind {
    type Err = MeshError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.name() == text)
            .ok_or_else(|| MeshError::invalid(format!("error kind {text:?} does not exist")))
    }
}
