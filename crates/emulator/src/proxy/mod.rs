//! Fault-injecting TCP proxy: many listeners in one process, with rules by source and listener.
//!
//! A connection to a target leaves from the IP number of its source, so that chained proxies and
//! the target itself see where it comes from. Rules act on open connections as soon as they are
//! set.

mod control_handler;
mod proxy_counters;
mod proxy_link;
mod proxy_listener;
mod proxy_rule;
mod proxy_server;
mod proxy_state;
mod pump;

pub use control_handler::{ListenerBody, TargetBody};
pub use proxy_counters::{ListenerCounters, ProxyCounters};
pub use proxy_rule::{ProxyAction, ProxyRule, ProxyRules};
pub use proxy_server::{ProxyAddresses, serve};
