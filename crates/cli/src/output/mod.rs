//! What a command prints, for people or for programs.

mod output_format;
mod output_printer;

pub use output_format::OutputFormat;
pub use output_printer::OutputPrinter;
