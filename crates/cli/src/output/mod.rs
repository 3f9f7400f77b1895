//! Output of commands, as plain text or JSON.

mod output_format;
mod output_printer;
mod text_table;

pub use output_format::OutputFormat;
pub use output_printer::OutputPrinter;
pub(crate) use text_table::{format_age, format_table};
