//! Parsing of files into trees of values.

mod file_reader;
mod text_parser;
mod tree_builder;

pub use file_reader::{MAX_FILE_BYTES, read_file};
pub use text_parser::parse_text;
