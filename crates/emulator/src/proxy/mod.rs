//! Fault-injecting TCP proxy: many listeners in one process, with rules by source and listener.
//!
//! A connection to a target is bound to the IP address of its source, so that chained proxies and
//! the target see the original source address. Rule changes apply immediately, also to open
//! connections.

mod control_handler;
mod forward;
mod proxy_connection;
mod proxy_counters;
mod proxy_listener;
mod proxy_rule;
mod proxy_server;
mod proxy_state;

pub use control_handler::{ListenerBody, TargetBody};
pub use proxy_counters::{ListenerCounters, ProxyCounters};
pub use proxy_rule::{ProxyAction, ProxyRule, ProxyRules};
pub use proxy_server::{ProxyAddresses, serve};
