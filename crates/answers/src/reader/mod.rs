//! Conversion of a file of answers into a validated configuration.

mod answers_reader;
mod centre_reader;
mod route_reader;
mod service_reader;
mod snapshot_check;

pub use answers_reader::{parse_answers, read_answers};
pub use service_reader::parse_report_format;
