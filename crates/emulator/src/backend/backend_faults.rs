use serde::{Deserialize, Serialize};

/// Faults of a backend stand-in; the default is none.
///
/// `PUT /faults` on the control listener replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Rules in order. Delays of all matching rules add up; the first other action that matches
    /// is taken.
    pub rules: Vec<FaultRule>,
    /// Seed by which the affected requests are drawn.
    pub seed: u64,
    /// How the health and load reports mislead.
    pub report: ReportFaults,
    /// Whether the server stops announcing itself while it goes on serving.
    pub is_silent: bool,
}

/// One fault and the requests that it affects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// Prefix of the affected paths; empty for all.
    #[serde(default)]
    pub path: String,
    /// Share of the matching requests that are affected, from 0 to 1.
    #[serde(default = "whole_share")]
    pub share: f64,
    /// Requests in flight above which requests are affected.
    #[serde(default)]
    pub above: u32,
    /// Milliseconds after the setting of the faults at which the rule starts to act.
    #[serde(default)]
    pub after_ms: u64,
    /// Number of requests that are still to be affected; none for no limit.
    #[serde(default)]
    pub next: Option<u32>,
    /// What happens to an affected request.
    pub action: FaultAction,
}

/// What happens to a request that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultAction {
    /// Runs longer by this many milliseconds.
    Delay(u64),
    /// Runs, and answers with status 500.
    Fail,
    /// Answers with status 500 at once, without a run.
    FailFast,
    /// Answers 503 with `x-backend-run: not-run`, without a run.
    Shed,
    /// Runs, and closes the connection in the middle of the answer's body.
    CutBody,
    /// Runs, and answers with the request id of another request.
    WrongRequestId,
    /// Runs, and sends its answer twice on the connection.
    DoubleAnswer,
    /// Closes the connection without a run.
    CloseBeforeRun,
    /// Runs, and closes the connection without an answer.
    CloseAfterRun,
    /// Accepts the request and neither runs nor answers it.
    Freeze,
    /// Runs and ends the process at once.
    Crash,
}

/// How the health and load reports mislead.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReportFaults {
    /// Health that is claimed in place of the true one.
    pub healthy: Option<bool>,
    /// Busy slots that are claimed in place of the true number.
    pub busy: Option<u32>,
    /// Age in milliseconds of the state that is reported.
    pub lag_ms: u64,
    /// Whether the reports are answered at all.
    pub is_absent: bool,
}

impl FaultRule {
    /// Builds a rule that affects every request.
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

    /// Sets the share of the matching requests that are affected.
    #[must_use]
    pub const fn with_share(mut self, share: f64) -> Self {
        self.share = share;
        self
    }

    /// Sets the number of requests that are affected.
    #[must_use]
    pub const fn with_next(mut self, next: u32) -> Self {
        self.next = Some(next);
        self
    }
}

impl BackendFaults {
    /// Builds faults from rules, with seed 0 and true reports.
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
