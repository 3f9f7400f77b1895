//! Values of a file and their source locations.

mod field_index;
mod map_entry;
mod source_location;
mod yaml_node;

pub use field_index::FieldIndex;
pub use map_entry::MapEntry;
pub use source_location::SourceLocation;
pub use yaml_node::{NodeContent, YamlNode};
