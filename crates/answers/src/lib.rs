//! Questionnaire answers of a mesh: read, checked, and turned into its configuration.
//!
//! [`read_answers`] takes a YAML file to a
//! [`ConfigSnapshot`](bronzelb_kernel::config::ConfigSnapshot) that has passed all checks, or
//! to every mistake in the file with its line. The result depends on the answers alone: the
//! order of keys, comments and the machine make no difference.
//!
//! [`compare_snapshots`](change::compare_snapshots) tells what a change of answers does.
//!
//! What a team leaves out comes from its own `defaults` block, then from [`defaults`].

pub mod change;
pub mod defaults;
pub mod draft;

mod model;
mod reader;

pub use reader::{parse_answers, parse_report_format, read_answers};
