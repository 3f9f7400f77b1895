use bronzelb_kernel::error::MeshError;
use compact_str::{CompactString, format_compact};

use crate::{
    node::{NodeContent, SourceLocation, YamlNode},
    problem::ProblemList,
    reader::MapReader,
};

/// A value and the path of its field.
#[derive(Clone, Debug)]
pub struct FieldNode<'a> {
    node: &'a YamlNode,
    path: CompactString,
    problems: &'a ProblemList,
}

impl<'a> FieldNode<'a> {
    /// Creates the root field of a file.
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

    /// Returns the location where the value starts.
    #[must_use]
    pub const fn location(&self) -> SourceLocation {
        self.node.location
    }

    /// Records a problem with this field.
    pub fn push_problem(&self, message: impl Into<CompactString>) {
        self.problems
            .push(self.location(), self.path.clone(), message);
    }

    /// Parses the scalar, or records a problem if it is not one or does not parse.
    pub fn read_value<T>(&self, parse: impl FnOnce(&str) -> Result<T, MeshError>) -> Option<T> {
        let NodeContent::Scalar(text) = &self.node.content else {
            self.push_problem(format_compact!(
                "expected a single value, found {}",
                self.node.type_name()
            ));
            return None;
        };
        match parse(text) {
            Ok(value) => Some(value),
            Err(error) => {
                self.push_problem(error.message());
                None
            }
        }
    }

    /// Returns the items of a list, or records a problem if the value is not a list.
    #[must_use]
    pub fn read_list(&self) -> Option<Vec<Self>> {
        let NodeContent::List(items) = &self.node.content else {
            self.push_problem(format_compact!(
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

    /// Returns a reader for a map, or records a problem if the value is not a map.
    ///
    /// A null value, as in `tracker:`, is read as an empty map.
    #[must_use]
    pub fn read_map(&self) -> Option<MapReader<'a>> {
        let entries = match &self.node.content {
            NodeContent::Map(entries) => entries.as_slice(),
            NodeContent::Null => &[],
            _ => {
                self.push_problem(format_compact!(
                    "expected a map with keys, found {}",
                    self.node.type_name()
                ));
                return None;
            }
        };
        Some(MapReader::new(
            entries,
            self.location(),
            self.path.clone(),
            self.problems,
        ))
    }
}
