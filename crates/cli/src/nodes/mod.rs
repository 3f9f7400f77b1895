//! Client of the operators' listeners of nodes.

mod node_args;
mod node_client;

pub(crate) use node_args::{NodeAddress, NodeArgs};
pub(crate) use node_client::NodeClient;
