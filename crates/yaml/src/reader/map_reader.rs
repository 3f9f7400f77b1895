use std::collections::{BTreeMap, BTreeSet};

use bronzelb_kernel::error::MeshError;
use compact_str::{CompactString, format_compact};

use crate::{
    node::{MapEntry, TextPlace},
    problem::ProblemList,
    reader::{FieldNode, similar_name::find_similar},
};

/// Takes the fields of one map by key, and notes those that nobody took.
///
/// # Examples
///
/// ```
/// use bronzelb_yaml::{parser::parse_text, problem::ProblemList, reader::{FieldNode, parse_count}};
///
/// let problems = ProblemList::new("example.yaml");
/// let root = parse_text("slotz: 12", &problems).expect("is YAML");
/// let mut reader = FieldNode::root(&root, &problems).map().expect("is a map");
/// assert_eq!(reader.optional("slots", parse_count), None);
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
    place: TextPlace,
    path: CompactString,
    problems: &'a ProblemList,
}

impl<'a> MapReader<'a> {
    pub(crate) fn new(
        entries: &'a [MapEntry],
        place: TextPlace,
        path: CompactString,
        problems: &'a ProblemList,
    ) -> Self {
        let mut reader = Self {
            entries: BTreeMap::new(),
            present: BTreeSet::new(),
            known: BTreeSet::new(),
            place,
            path,
            problems,
        };
        for entry in entries {
            reader.add_entry(entry);
        }
        reader
    }

    /// Returns the path of the map itself.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns whether the file has `key` in this map, whether or not it was taken.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.present.contains(key)
    }

    /// Returns the field under `key` if there is one.
    pub fn take(&mut self, key: &'static str) -> Option<FieldNode<'a>> {
        self.known.insert(key);
        let entry = self.entries.remove(key)?;
        Some(FieldNode::new(&entry.value, self.child(key), self.problems))
    }

    /// Returns the single value under `key`, parsed, if there is one.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str) -> Result<T, MeshError>,
    ) -> Option<T> {
        self.take(key)?.value(parse)
    }

    /// Returns the single value under `key`, parsed, and notes when there is none.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        example: &str,
        parse: impl FnOnce(&str) -> Result<T, MeshError>,
    ) -> Option<T> {
        let field = self.take(key);
        if field.is_none() {
            self.refuse_missing(key, example);
        }
        field?.value(parse)
    }

    /// Notes that the required `key` is missing; `example` shows a right line.
    pub fn refuse_missing(&self, key: &'static str, example: &str) {
        self.problems.push(
            self.place,
            self.child(key),
            format_compact!("the key is missing; add a line such as `{example}`"),
        );
    }

    /// Returns every remaining field, for maps whose keys are names that the user chose.
    ///
    /// A key that `parse` refuses is noted and left out.
    pub fn named<K>(
        mut self,
        parse: impl Fn(&str) -> Result<K, MeshError>,
    ) -> Vec<(K, FieldNode<'a>)> {
        let mut fields = Vec::new();
        for (key, entry) in std::mem::take(&mut self.entries) {
            match parse(key) {
                Ok(name) => fields.push((
                    name,
                    FieldNode::new(&entry.value, self.child(key), self.problems),
                )),
                Err(error) => self
                    .problems
                    .push(entry.place, self.child(key), error.message()),
            }
        }
        fields
    }

    /// Notes every key that was never asked for.
    pub fn finish(self) {
        for (key, entry) in &self.entries {
            let hint = match find_similar(key, &self.known) {
                Some(name) => format_compact!("did you mean {name:?}?"),
                None => format_compact!("known keys are {}", join_names(&self.known)),
            };
            let message = format_compact!("key {key:?} does not exist here; {hint}");
            self.problems.push(entry.place, self.child(key), message);
        }
    }

    fn add_entry(&mut self, entry: &'a MapEntry) {
        let first = self.entries.get(entry.key.as_str());
        if let Some(first) = first {
            let message = format_compact!(
                "{:?} is a duplicate of line {}; each name may be used once",
                entry.key,
                first.place.line
            );
            self.problems
                .push(entry.place, self.child(&entry.key), message);
            return;
        }
        self.present.insert(&entry.key);
        self.entries.insert(&entry.key, entry);
    }

    fn child(&self, key: &str) -> CompactString {
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
