//! The task that exchanges membership, versions and records with other nodes.

mod answer_gossip;
mod gossip_task;

pub use answer_gossip::answer_gossip;
pub use gossip_task::run_gossip;
