//! Gossip of versions, members and records: performs the I/O for the kernel's state machine.

mod gossip_pool;
mod gossip_state;
mod gossip_task;

pub use gossip_pool::GossipPool;
pub use gossip_state::GossipState;
pub use gossip_task::run_gossip;
