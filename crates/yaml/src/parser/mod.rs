//! Parsing of files into trees of values.

mod file_text;
mod text_parser;
mod tree_builder;

pub use file_text::{MAX_FILE_BYTES, read_file};
pub use text_parser::parse_text;
