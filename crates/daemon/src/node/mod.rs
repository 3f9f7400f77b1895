//! Node lifecycle: shared state, clock, startup and graceful shutdown.

mod drain_node;
mod node_state;
mod run_node;
mod stop_signal;
mod system_clock;
mod watch_settings;

pub use node_state::{NodeAddresses, NodeState, PlatformHealth};
pub use run_node::run_node;
pub use stop_signal::{StopSender, StopSignal};
pub use system_clock::SystemClock;
