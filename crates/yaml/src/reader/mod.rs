//! Extraction of typed fields from a tree of values.

mod field_node;
mod field_type;
mod map_reader;
mod similar_name;

pub use field_node::FieldNode;
pub use field_type::{parse_bytes, parse_count, parse_flag, parse_with};
pub use map_reader::MapReader;
