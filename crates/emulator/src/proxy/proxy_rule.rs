use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// The rules of the proxy; `PUT /rules` replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyRules {
    /// Rules whose effects add up.
    pub rules: Vec<ProxyRule>,
}

/// One fault and the connections that it affects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyRule {
    /// Prefix of the source's IP number as text, such as `127.1.`; empty for every source.
    #[serde(default)]
    pub source: String,
    /// Prefix of the listener's name; empty for every listener.
    #[serde(default)]
    pub listener: String,
    /// Number of times that the rule still acts; none for no limit. It counts only for
    /// [`ProxyAction::LoseAnswer`], [`ProxyAction::Truncate`] and [`ProxyAction::Duplicate`].
    #[serde(default)]
    pub next: Option<u32>,
    /// What happens to an affected connection.
    pub action: ProxyAction,
}

/// What happens to a connection that a rule affects.
///
/// The answer direction is the one from the target to the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyAction {
    /// Closes open connections and each new one at once.
    Cut,
    /// Keeps connections open and passes nothing until the rule is gone.
    Stall,
    /// Passes requests and holds answers until the rule is gone.
    StallAnswers,
    /// Passes every chunk this many milliseconds later, in each direction.
    Delay(u64),
    /// Passes at most this many bytes a second, in each direction.
    Throttle(u64),
    /// Closes the connection after this many bytes of the next answer.
    Truncate(u64),
    /// Closes the connection when the next answer arrives, without passing any of it.
    LoseAnswer,
    /// Sends each chunk of a request a second time on a connection of its own.
    Duplicate,
}

impl ProxyRule {
    /// Builds a rule that affects every connection.
    #[must_use]
    pub const fn new(action: ProxyAction) -> Self {
        Self {
            source: String::new(),
            listener: String::new(),
            next: None,
            action,
        }
    }

    /// Sets the prefix of the source's IP number.
    #[must_use]
    pub fn with_source(mut self, source: impl Into<String>) -> Self {
        self.source = source.into();
        self
    }

    /// Sets the prefix of the listener's name.
    #[must_use]
    pub fn with_listener(mut self, listener: impl Into<String>) -> Self {
        self.listener = listener.into();
        self
    }

    /// Sets the number of times that the rule acts.
    #[must_use]
    pub const fn with_next(mut self, next: u32) -> Self {
        self.next = Some(next);
        self
    }

    /// Returns whether the rule affects a connection.
    #[must_use]
    pub fn matches(&self, source: IpAddr, listener: &str) -> bool {
        self.next != Some(0)
            && listener.starts_with(&self.listener)
            && (self.source.is_empty() || source.to_string().starts_with(&self.source))
    }
}
