use compact_str::CompactString;

use crate::node::{TextPlace, YamlNode};

/// One key of a map with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MapEntry {
    /// Text of the key.
    pub key: CompactString,
    /// Where the key starts.
    pub place: TextPlace,
    /// Value under the key.
    pub value: YamlNode,
}
