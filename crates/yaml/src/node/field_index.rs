use std::collections::BTreeMap;

use compact_str::{CompactString, format_compact};

use crate::node::{NodeContent, TextPlace, YamlNode};

/// Places of all fields of a file, by path.
///
/// Checks that run on typed values know only a field's path; the index leads back to its line.
#[derive(Clone, Debug, Default)]
pub struct FieldIndex {
    places: BTreeMap<CompactString, TextPlace>,
}

impl FieldIndex {
    /// Builds the index of a file.
    #[must_use]
    pub fn new(root: &YamlNode) -> Self {
        let mut index = Self::default();
        index.add(root, "");
        index
    }

    /// Returns the place of the field at `path` if the file has it.
    #[must_use]
    pub fn get(&self, path: &str) -> Option<TextPlace> {
        self.places.get(path).copied()
    }

    /// Returns the place of the field at `path`, or of the nearest field around it.
    #[must_use]
    pub fn nearest(&self, path: &str) -> TextPlace {
        let mut rest = path;
        loop {
            if let Some(place) = self.get(rest) {
                return place;
            }
            match rest.rsplit_once('.') {
                Some((parent, _)) => rest = parent,
                None => return TextPlace::START,
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
            let place = match entry.value.content {
                NodeContent::Map(_) | NodeContent::Empty => entry.place,
                _ => entry.value.place,
            };
            self.add(&entry.value, &child);
            self.places.entry(child).or_insert(place);
        }
    }
}
