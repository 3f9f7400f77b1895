use compact_str::{CompactString, format_compact};
use saphyr_parser::{Event, ScalarStyle};

use crate::node::{MapEntry, NodeContent, TextPlace, YamlNode};

/// Depth to which lists and maps may be nested.
const MAX_DEPTH: usize = 16;

/// Number of values that a file may hold.
const MAX_VALUES: usize = 100_000;

/// Length limit of a key or single value.
const MAX_TEXT_BYTES: usize = 4 * 1024;

type BuildProblem = (TextPlace, CompactString);

/// Builds a tree from the parser's events without recursion.
#[derive(Debug, Default)]
pub(crate) struct TreeBuilder {
    open: Vec<OpenNode>,
    root: Option<YamlNode>,
    documents: usize,
    values: usize,
}

#[derive(Debug)]
struct OpenNode {
    place: TextPlace,
    parts: OpenParts,
}

#[derive(Debug)]
enum OpenParts {
    List(Vec<YamlNode>),
    Map {
        entries: Vec<MapEntry>,
        key: Option<(CompactString, TextPlace)>,
    },
}

impl TreeBuilder {
    /// Takes one event that starts at `place`.
    ///
    /// # Errors
    ///
    /// The place and message of the first thing that is not allowed in a file.
    pub(crate) fn accept(
        &mut self,
        event: Event<'_>,
        place: TextPlace,
    ) -> Result<(), BuildProblem> {
        match event {
            Event::DocumentStart(_) => self.start_document(place),
            Event::Scalar(text, style, anchor, tag) => {
                refuse_anchor(anchor, tag.is_some(), place)?;
                self.accept_scalar(&text, style, place)
            }
            Event::SequenceStart(anchor, tag) => {
                refuse_anchor(anchor, tag.is_some(), place)?;
                self.open_node(OpenParts::List(Vec::new()), place)
            }
            Event::MappingStart(anchor, tag) => {
                refuse_anchor(anchor, tag.is_some(), place)?;
                let parts = OpenParts::Map {
                    entries: Vec::new(),
                    key: None,
                };
                self.open_node(parts, place)
            }
            Event::SequenceEnd | Event::MappingEnd => self.close_node(),
            Event::Alias(_) => Err((
                place,
                "aliases are not supported; write the value out, or use `defaults`".into(),
            )),
            Event::Nothing | Event::StreamStart | Event::StreamEnd | Event::DocumentEnd => Ok(()),
        }
    }

    /// Returns the finished tree, or nothing for an empty file.
    pub(crate) fn into_root(self) -> Option<YamlNode> {
        self.root.filter(|node| node.content != NodeContent::Empty)
    }

    fn start_document(&mut self, place: TextPlace) -> Result<(), BuildProblem> {
        self.documents += 1;
        if self.documents > 1 {
            let message = "a second document starts here; a file holds one document";
            return Err((place, message.into()));
        }
        Ok(())
    }

    fn accept_scalar(
        &mut self,
        text: &str,
        style: ScalarStyle,
        place: TextPlace,
    ) -> Result<(), BuildProblem> {
        if text.len() > MAX_TEXT_BYTES {
            let message = format_compact!(
                "the value has {} bytes, the limit is {MAX_TEXT_BYTES}",
                text.len()
            );
            return Err((place, message));
        }
        let is_empty = style == ScalarStyle::Plain && matches!(text, "" | "~" | "null");
        let content = if is_empty {
            NodeContent::Empty
        } else {
            NodeContent::Text(CompactString::from(text))
        };
        self.add(YamlNode { place, content })
    }

    fn open_node(&mut self, parts: OpenParts, place: TextPlace) -> Result<(), BuildProblem> {
        if self.open.len() >= MAX_DEPTH {
            let message = format_compact!("values are nested deeper than {MAX_DEPTH} levels");
            return Err((place, message));
        }
        self.open.push(OpenNode { place, parts });
        Ok(())
    }

    fn close_node(&mut self) -> Result<(), BuildProblem> {
        let Some(node) = self.open.pop() else {
            return Ok(());
        };
        let content = match node.parts {
            OpenParts::List(items) => NodeContent::List(items),
            OpenParts::Map { entries, .. } => NodeContent::Map(entries),
        };
        self.add(YamlNode {
            place: node.place,
            content,
        })
    }

    fn add(&mut self, node: YamlNode) -> Result<(), BuildProblem> {
        self.values += 1;
        if self.values > MAX_VALUES {
            let message = format_compact!("the file holds more than {MAX_VALUES} values");
            return Err((node.place, message));
        }
        let Some(parent) = self.open.last_mut() else {
            self.root = Some(node);
            return Ok(());
        };
        match &mut parent.parts {
            OpenParts::List(items) => items.push(node),
            OpenParts::Map { entries, key } => match key.take() {
                Some((key, place)) => entries.push(MapEntry {
                    key,
                    place,
                    value: node,
                }),
                None => *key = Some((key_text(node.content, node.place)?, node.place)),
            },
        }
        Ok(())
    }
}

fn key_text(content: NodeContent, place: TextPlace) -> Result<CompactString, BuildProblem> {
    match content {
        NodeContent::Text(text) => Ok(text),
        _ => Err((place, "a key must be a plain name".into())),
    }
}

fn refuse_anchor(anchor: usize, has_tag: bool, place: TextPlace) -> Result<(), BuildProblem> {
    if anchor != 0 {
        let message = "anchors are not supported; write the value out, or use `defaults`";
        return Err((place, message.into()));
    }
    if has_tag {
        return Err((place, "tags are not supported; remove the tag".into()));
    }
    Ok(())
}
