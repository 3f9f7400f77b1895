use compact_str::CompactString;

use crate::node::{SourceLocation, YamlNode};

/// Key and value of a map entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MapEntry {
    /// Key.
    pub key: CompactString,
    /// Location of the key.
    pub location: SourceLocation,
    /// Value.
    pub value: YamlNode,
}
