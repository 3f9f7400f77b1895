use bronzelb_kernel::error::MeshError;
use compact_str::{CompactString, format_compact};

use crate::{
    node::{NodeContent, TextPlace, YamlNode},
    problem::ProblemList,
    reader::MapReader,
};

/// A value together with the path of its field.
#[derive(Clone, Debug)]
pub struct FieldNode<'a> {
    node: &'a YamlNode,
    path: CompactString,
    problems: &'a ProblemList,
}

impl<'a> FieldNode<'a> {
    /// Builds the field that holds a whole file.
    #[must_use]
    pub fn root(node: &'a YamlNode, problems: &'a ProblemList) -> Self {
        Self::new(node, "", problems)
    }

    pub(crate) fn new(
        node: &'a YamlNode,
        path: impl Into<CompactString>,
        problems: &'a ProblemList,
    ) -> Self {
        Self {
            node,
            path: path.into(),
            problems,
        }
    }

    /// Returns the path of the field, such as `routes.landing.timeout`.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns where the value starts.
    #[must_use]
    pub const fn place(&self) -> TextPlace {
        self.node.place
    }

    /// Notes a mistake in this field.
    pub fn refuse(&self, message: impl Into<CompactString>) {
        self.problems.push(self.place(), self.path.clone(), message);
    }

    /// Returns the single value, parsed, or notes why it is none.
    pub fn value<T>(&self, parse: impl FnOnce(&str) -> Result<T, MeshError>) -> Option<T> {
        let NodeContent::Text(text) = &self.node.content else {
            self.refuse(format_compact!(
                "expected a single value, found {}",
                self.node.type_name()
            ));
            return None;
        };
        match parse(text) {
            Ok(value) => Some(value),
            Err(error) => {
                self.refuse(error.message());
                None
            }
        }
    }

    /// Returns the items of a list, or notes that it is none.
    #[must_use]
    pub fn list(&self) -> Option<Vec<Self>> {
        let NodeContent::List(items) = &self.node.content else {
            self.refuse(format_compact!(
                "expected a list, found {}",
                self.node.type_name()
            ));
            return None;
        };
        let fields = items
            .iter()
            .enumerate()
            .map(|(index, item)| {
                Self::new(
                    item,
                    format_compact!("{}[{index}]", self.path),
                    self.problems,
                )
            })
            .collect();
        Some(fields)
    }

    /// Returns a reader of the map's known keys, or notes that the value is no map.
    ///
    /// Nothing at all, as in `tracker:`, counts as an empty map.
    #[must_use]
    pub fn map(&self) -> Option<MapReader<'a>> {
        let entries = match &self.node.content {
            NodeContent::Map(entries) => entries.as_slice(),
            NodeContent::Empty => &[],
            _ => {
                self.refuse(format_compact!(
                    "expected a map with keys, found {}",
                    self.node.type_name()
                ));
                return None;
            }
        };
        Some(MapReader::new(
            entries,
            self.place(),
            self.path.clone(),
            self.problems,
        ))
    }
}
