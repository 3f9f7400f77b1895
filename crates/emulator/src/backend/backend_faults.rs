use bronzelb_kernel::ids::RequestRate;
use serde::{Deserialize, Serialize};

/// Faults injected into a backend stand-in; none by default.
///
/// `PUT /faults` on the control listener replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Rules in order of evaluation. Delays of all matching rules add up; of the other actions,
    /// only the first match applies.
    pub rules: Vec<FaultRule>,
    /// Seed of the random selection of affected requests.
    pub seed: u64,
    /// Faults of the health and load reports.
    pub report: ReportFaults,
    /// Rate limit that every response states; in JSON, in thousandths of a request per second.
    pub limit: Option<RequestRate>,
    /// Whether the server stops announcing itself but continues to serve requests.
    pub is_silent: bool,
}

/// A fault and the requests that it affects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// Prefix of the affected paths; the empty prefix matches every path.
    #[serde(default)]
    pub path: String,
    /// Probability that a matching request is affected, from 0 to 1.
    #[serde(default = "whole_share")]
    pub share: f64,
    /// Requests are affected only while more than this number are in flight.
    #[serde(default)]
    pub above: u32,
    /// Milliseconds between the setting of the faults and the start of the rule.
    #[serde(default)]
    pub after_ms: u64,
    /// Remaining number of requests to affect; `None` for no limit.
    #[serde(default)]
    pub next: Option<u32>,
    /// Action on an affected request.
    pub action: FaultAction,
}

/// Action on a request that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultAction {
    /// Extends the run by this many milliseconds.
    Delay(u64),
    /// Runs the request and responds with status 500.
    Fail,
    /// Responds with status 500 immediately, without running the request.
    FailFast,
    /// Responds with status 503 and `x-backend-run: not-run`, without running the request.
    Shed,
    /// Runs the request and closes the connection halfway through the response body.
    CutBody,
    /// Runs the request and responds with the request id of another request.
    WrongRequestId,
    /// Runs the request and sends the response twice on the connection.
    DoubleAnswer,
    /// Closes the connection without running the request.
    CloseBeforeRun,
    /// Runs the request and closes the connection without a response.
    CloseAfterRun,
    /// Accepts the request but neither runs it nor responds.
    Freeze,
    /// Runs the request and exits the process before responding.
    Crash,
}

/// Faults of the health and load reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReportFaults {
    /// Health to report instead of the actual one.
    pub healthy: Option<bool>,
    /// Number of busy slots to report instead of the actual one.
    pub busy: Option<u32>,
    /// Age in milliseconds of the reported number of busy slots.
    pub lag_ms: u64,
    /// Whether report requests fail with status 404.
    pub is_absent: bool,
}

impl FaultRule {
    /// Creates a rule that affects every request.
    #[must_use]
    pub const fn new(action: FaultAction) -> Self {
        Self {
            path: String::new(),
            share: 1.0,
            above: 0,
            after_ms: 0,
            next: None,
            action,
        }
    }

    /// Sets the prefix of the affected paths.
    #[must_use]
    pub fn with_path(mut self, path: impl Into<String>) -> Self {
        self.path = path.into();
        self
    }

    /// Sets the probability that a matching request is affected.
    #[must_use]
    pub const fn with_share(mut self, share: f64) -> Self {
        self.share = share;
        self
    }

    /// Limits the number of affected requests.
    #[must_use]
    pub const fn with_next(mut self, next: u32) -> Self {
        self.next = Some(next);
        self
    }
}

impl BackendFaults {
    /// Creates faults from rules, with seed 0 and accurate reports.
    #[must_use]
    pub fn from_rules(rules: impl Into<Vec<FaultRule>>) -> Self {
        Self {
            rules: rules.into(),
            ..Self::default()
        }
    }
}

const fn whole_share() -> f64 {
    1.0
}
