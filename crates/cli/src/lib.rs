//! Command-line tool of the bronzelb service mesh.
//!
//! The tool reads a team's answers, generates and publishes the mesh's configuration, and shows
//! what the mesh does. Every command is a [`CommandSpec`](builder::CommandSpec) in
//! [`builder::COMMANDS`]; [`run`] parses a command line and runs one of them.

pub mod builder;
pub mod error;
pub mod output;

mod answers;
mod burn;
mod completions;
mod explain;
mod init;
mod nodes;
mod platform;
mod process;
mod publish;
mod rollout;
mod status;

pub use process::{run, run_process};
