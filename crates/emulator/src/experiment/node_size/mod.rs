//! Cost of one node's decisions in meshes of growing size.

mod config_sample;
mod gossip_driver;
mod member_sample;
mod node_size_experiment;
