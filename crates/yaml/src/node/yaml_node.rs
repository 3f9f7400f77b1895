use compact_str::CompactString;

use crate::node::{MapEntry, TextPlace};

/// A value of a file and the place where it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct YamlNode {
    /// Where the value starts.
    pub place: TextPlace,
    /// The value itself.
    pub content: NodeContent,
}

impl YamlNode {
    /// Returns a description of the value's type for messages.
    #[must_use]
    pub const fn type_name(&self) -> &'static str {
        match &self.content {
            NodeContent::Empty => "nothing",
            NodeContent::Text(_) => "a single value",
            NodeContent::List(_) => "a list",
            NodeContent::Map(_) => "a map",
        }
    }
}

/// Content of a value: nothing, a text, a list or a map.
///
/// Numbers and truth values stay text until a field's type is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeContent {
    /// No value, as in `key:` or `key: null`.
    Empty,
    /// A single value.
    Text(CompactString),
    /// A list of values.
    List(Vec<YamlNode>),
    /// Keys with values, in the file's order and with repeated keys kept.
    Map(Vec<MapEntry>),
}
