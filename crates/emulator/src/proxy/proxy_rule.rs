use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// The active rules of the proxy; `PUT /rules` replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyRules {
    /// Rules; the effects of all matching rules are combined.
    pub rules: Vec<ProxyRule>,
}

/// A fault and the connections that it affects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyRule {
    /// Prefix of the source's IP address as text, such as `127.1.`; the empty prefix matches every
    /// source.
    #[serde(default)]
    pub source: String,
    /// Prefix of the listener's name; the empty prefix matches every listener.
    #[serde(default)]
    pub listener: String,
    /// Remaining number of uses; `None` for no limit. Only [`ProxyAction::LoseAnswer`],
    /// [`ProxyAction::Truncate`] and [`ProxyAction::Duplicate`] consume uses.
    #[serde(default)]
    pub next: Option<u32>,
    /// Action on an affected connection.
    pub action: ProxyAction,
}

/// Action on a connection that a rule affects.
///
/// Requests are the bytes from the source to the target, responses those in the other direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyAction {
    /// Closes open connections, and new ones as soon as they are accepted.
    Cut,
    /// Keeps connections open but forwards nothing until the rule is removed.
    Stall,
    /// Forwards requests but holds responses back until the rule is removed.
    StallAnswers,
    /// Delays every chunk by this many milliseconds, in each direction.
    Delay(u64),
    /// Limits the bandwidth to this many bytes per second, in each direction.
    Throttle(u64),
    /// Closes the connection after this many bytes of the next response.
    Truncate(u64),
    /// Closes the connection when the next response arrives, without forwarding any of it.
    LoseAnswer,
    /// Sends each chunk of a request a second time, on a separate connection.
    Duplicate,
}

impl ProxyRule {
    /// Creates a rule that affects every connection.
    #[must_use]
    pub const fn new(action: ProxyAction) -> Self {
        Self {
            source: String::new(),
            listener: String::new(),
            next: None,
            action,
        }
    }

    /// Sets the prefix of the source's IP address.
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

    /// Limits the number of uses of the rule.
    #[must_use]
    pub const fn with_next(mut self, next: u32) -> Self {
        self.next = Some(next);
        self
    }

    /// Returns whether the rule affects connections from `source` to `listener`.
    #[must_use]
    pub fn matches(&self, source: IpAddr, listener: &str) -> bool {
        self.next != Some(0)
            && listener.starts_with(&self.listener)
            && (self.source.is_empty() || source.to_string().starts_with(&self.source))
    }
}
