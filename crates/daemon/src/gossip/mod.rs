//! How the node spreads versions, members and records: the shell around the kernel's state machine.

mod gossip_pool;
mod spread_state;
mod spread_task;

pub use gossip_pool::GossipPool;
pub use spread_state::SpreadState;
pub use spread_task::run_spread;
