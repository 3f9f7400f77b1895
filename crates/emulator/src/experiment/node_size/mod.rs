//! Cost of one node's decisions at the size of a large mesh.

mod config_sample;
mod member_sample;
mod node_size_experiment;
mod spread_drive;
