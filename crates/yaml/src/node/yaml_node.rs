use compact_str::CompactString;

use crate::node::{MapEntry, SourceLocation};

/// A value and its source location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct YamlNode {
    /// Location where the value starts.
    pub location: SourceLocation,
    /// Content of the value.
    pub content: NodeContent,
}

impl YamlNode {
    /// Returns a description of the value's type for use in messages.
    #[must_use]
    pub const fn type_name(&self) -> &'static str {
        match &self.content {
            NodeContent::Null => "nothing",
            NodeContent::Scalar(_) => "a single value",
            NodeContent::List(_) => "a list",
            NodeContent::Map(_) => "a map",
        }
    }
}

/// Content of a value.
///
/// Numbers and booleans stay scalars until the type of the field is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeContent {
    /// No value, as in `key:` or `key: null`.
    Null,
    /// A scalar, as text.
    Scalar(CompactString),
    /// A list of values.
    List(Vec<YamlNode>),
    /// Entries in file order, including duplicate keys.
    Map(Vec<MapEntry>),
}
