use std::collections::BTreeMap;

use compact_str::{CompactString, format_compact};

use crate::node::{NodeContent, SourceLocation, YamlNode};

/// Source locations of all fields of a file, by path.
///
/// Checks on typed values know only the path of a field; this index maps it back to a location.
#[derive(Clone, Debug, Default)]
pub struct LocationIndex {
    locations: BTreeMap<CompactString, SourceLocation>,
}

impl LocationIndex {
    /// Builds the index for the tree below `root`.
    #[must_use]
    pub fn new(root: &YamlNode) -> Self {
        let mut index = Self::default();
        index.add(root, "");
        index
    }

    /// Returns the location of the field at `path`, if it is present.
    #[must_use]
    pub fn get(&self, path: &str) -> Option<SourceLocation> {
        self.locations.get(path).copied()
    }

    /// Returns the location of the field at `path` or of its nearest ancestor that is present.
    #[must_use]
    pub fn nearest(&self, path: &str) -> SourceLocation {
        let mut rest = path;
        loop {
            if let Some(location) = self.get(rest) {
                return location;
            }
            match rest.rsplit_once('.') {
                Some((parent, _)) => rest = parent,
                None => return SourceLocation::START,
            }
        }
    }

    fn add(&mut self, node: &YamlNode, path: &str) {
        let NodeContent::Map(entries) = &node.content else {
            return;
        };
        for entry in entries {
            let child = match path {
                "" => entry.key.clone(),
                _ => format_compact!("{path}.{}", entry.key),
            };
            // A map or a missing value is located at its key, any other value at its own start.
            let location = match entry.value.content {
                NodeContent::Map(_) | NodeContent::Null => entry.location,
                _ => entry.value.location,
            };
            self.add(&entry.value, &child);
            self.locations.entry(child).or_insert(location);
        }
    }
}
