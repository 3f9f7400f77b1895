//! Reading and validation of questionnaire answers, from which a mesh's configuration is generated.
//!
//! [`read_answers`] parses a YAML file into a validated
//! [`ConfigSnapshot`](bronzelb_kernel::config::ConfigSnapshot), or returns every problem in the
//! file with its line. The result depends only on the answers, not on the order of keys, on
//! comments or on the machine.
//!
//! [`compare_snapshots`](change::compare_snapshots) lists the effects of changed answers.
//!
//! Omitted answers are taken from the file's `defaults` block, then from [`defaults`].

pub mod change;
pub mod defaults;
pub mod draft;

mod model;
mod reader;

pub use reader::{parse_answers, parse_report_format, read_answers};
