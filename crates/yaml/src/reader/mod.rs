//! Extraction of typed fields from a tree of values.

mod field_node;
mod map_reader;
mod scalar_parser;
mod similar_name;

pub use field_node::FieldNode;
pub use map_reader::MapReader;
pub use scalar_parser::{parse_bool, parse_byte_count, parse_from_str, parse_u32};
