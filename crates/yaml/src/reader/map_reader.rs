use std::collections::{BTreeMap, BTreeSet};

use bronzelb_kernel::error::MeshError;
use compact_str::{CompactString, format_compact};

use crate::{
    node::{MapEntry, SourceLocation},
    problem::ProblemList,
    reader::{FieldNode, similar_name::find_similar},
};

/// Extracts the fields of a map by key and reports unknown keys.
///
/// # Examples
///
/// ```
/// use bronzelb_yaml::{parser::parse_text, problem::ProblemList, reader::{FieldNode, parse_u32}};
///
/// let problems = ProblemList::new("example.yaml");
/// let root = parse_text("slotz: 12", &problems).expect("is YAML");
/// let mut reader = FieldNode::root(&root, &problems).read_map().expect("is a map");
/// assert_eq!(reader.optional("slots", parse_u32), None);
/// reader.finish();
/// let problem = &problems.into_sorted()[0];
/// assert_eq!(
///     problem.to_string(),
///     "example.yaml:1:1: slotz: key \"slotz\" does not exist here; did you mean \"slots\"?"
/// );
/// ```
#[derive(Debug)]
pub struct MapReader<'a> {
    entries: BTreeMap<&'a str, &'a MapEntry>,
    present: BTreeSet<&'a str>,
    known: BTreeSet<&'static str>,
    location: SourceLocation,
    path: CompactString,
    problems: &'a ProblemList,
}

impl<'a> MapReader<'a> {
    pub(crate) fn new(
        entries: &'a [MapEntry],
        location: SourceLocation,
        path: CompactString,
        problems: &'a ProblemList,
    ) -> Self {
        let mut reader = Self {
            entries: BTreeMap::new(),
            present: BTreeSet::new(),
            known: BTreeSet::new(),
            location,
            path,
            problems,
        };
        for entry in entries {
            reader.add_entry(entry);
        }
        reader
    }

    /// Returns the path of the map.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns whether the map contains `key`, including keys that were already taken.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.present.contains(key)
    }

    /// Removes and returns the field under `key`, if present.
    pub fn take(&mut self, key: &'static str) -> Option<FieldNode<'a>> {
        self.known.insert(key);
        let entry = self.entries.remove(key)?;
        Some(FieldNode::new(
            &entry.value,
            self.child_path(key),
            self.problems,
        ))
    }

    /// Parses the scalar under `key`, if present.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str) -> Result<T, MeshError>,
    ) -> Option<T> {
        self.take(key)?.read_value(parse)
    }

    /// Parses the scalar under `key`, and records a problem if the key is missing.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        example: &str,
        parse: impl FnOnce(&str) -> Result<T, MeshError>,
    ) -> Option<T> {
        let field = self.take(key);
        if field.is_none() {
            self.push_missing_key(key, example);
        }
        field?.read_value(parse)
    }

    /// Records that the required `key` is missing; `example` is a valid line for it.
    pub fn push_missing_key(&self, key: &'static str, example: &str) {
        self.problems.push(
            self.location,
            self.child_path(key),
            format_compact!("the key is missing; add a line such as `{example}`"),
        );
    }

    /// Returns all remaining fields of a map with user-defined keys.
    ///
    /// Records a problem for each key that `parse` rejects, and omits that field.
    pub fn into_named_fields<K>(
        mut self,
        parse: impl Fn(&str) -> Result<K, MeshError>,
    ) -> Vec<(K, FieldNode<'a>)> {
        let mut fields = Vec::new();
        for (key, entry) in std::mem::take(&mut self.entries) {
            match parse(key) {
                Ok(name) => fields.push((
                    name,
                    FieldNode::new(&entry.value, self.child_path(key), self.problems),
                )),
                Err(error) => {
                    self.problems
                        .push(entry.location, self.child_path(key), error.message());
                }
            }
        }
        fields
    }

    /// Records a problem for every remaining key.
    pub fn finish(self) {
        for (key, entry) in &self.entries {
            let hint = match find_similar(key, &self.known) {
                Some(name) => format_compact!("did you mean {name:?}?"),
                None => format_compact!("known keys are {}", join_names(&self.known)),
            };
            let message = format_compact!("key {key:?} does not exist here; {hint}");
            self.problems
                .push(entry.location, self.child_path(key), message);
        }
    }

    fn add_entry(&mut self, entry: &'a MapEntry) {
        let first = self.entries.get(entry.key.as_str());
        if let Some(first) = first {
            let message = format_compact!(
                "{:?} is a duplicate of line {}; each name may be used once",
                entry.key,
                first.location.line
            );
            self.problems
                .push(entry.location, self.child_path(&entry.key), message);
            return;
        }
        self.present.insert(&entry.key);
        self.entries.insert(&entry.key, entry);
    }

    fn child_path(&self, key: &str) -> CompactString {
        if self.path.is_empty() {
            CompactString::from(key)
        } else {
            format_compact!("{}.{key}", self.path)
        }
    }
}

fn join_names(names: &BTreeSet<&'static str>) -> String {
    names.iter().copied().collect::<Vec<_>>().join(", ")
}
