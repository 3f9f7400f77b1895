//! Command-line interface of the daemon.

mod daemon_command;
mod run_daemon;

pub use daemon_command::daemon_command;
pub use run_daemon::run_daemon;
