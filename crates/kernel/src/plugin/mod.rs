//! Formats and clients that register themselves.
//!
//! A plug-in is a plain struct with function pointers, submitted through [`inventory`]. Adding
//! one takes one file and no change elsewhere.

mod record_kind;
mod report_reader;

pub use record_kind::{RecordKind, RecordMerge};
pub use report_reader::{LoadReport, ReportReader};
