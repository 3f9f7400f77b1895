//! Values of a file with their places.

mod field_index;
mod map_entry;
mod text_place;
mod yaml_node;

pub use field_index::FieldIndex;
pub use map_entry::MapEntry;
pub use text_place::TextPlace;
pub use yaml_node::{NodeContent, YamlNode};
