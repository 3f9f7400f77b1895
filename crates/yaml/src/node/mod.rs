//! Values of a file and their source locations.

mod location_index;
mod map_entry;
mod source_location;
mod yaml_node;

pub use location_index::LocationIndex;
pub use map_entry::MapEntry;
pub use source_location::SourceLocation;
pub use yaml_node::{NodeContent, YamlNode};
