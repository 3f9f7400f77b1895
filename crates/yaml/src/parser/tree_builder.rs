use compact_str::{CompactString, format_compact};
use saphyr_parser::{Event, ScalarStyle};

use crate::node::{MapEntry, NodeContent, SourceLocation, YamlNode};

/// Maximum nesting depth of lists and maps.
const MAX_DEPTH: usize = 16;

/// Maximum number of values in a file.
const MAX_VALUES: usize = 100_000;

/// Maximum length of a key or scalar in bytes.
const MAX_TEXT_BYTES: usize = 4 * 1024;

type BuildProblem = (SourceLocation, CompactString);

/// Builds a tree from parser events without recursion.
#[derive(Debug, Default)]
pub(crate) struct TreeBuilder {
    open: Vec<OpenCollection>,
    root: Option<YamlNode>,
    documents: usize,
    values: usize,
}

#[derive(Debug)]
struct OpenCollection {
    location: SourceLocation,
    items: CollectionItems,
}

#[derive(Debug)]
enum CollectionItems {
    List(Vec<YamlNode>),
    Map {
        entries: Vec<MapEntry>,
        key: Option<(CompactString, SourceLocation)>,
    },
}

impl TreeBuilder {
    /// Processes one parser event that starts at `location`.
    ///
    /// # Errors
    ///
    /// The location and message of a construct that is not allowed in a file.
    pub(crate) fn handle_event(
        &mut self,
        event: Event<'_>,
        location: SourceLocation,
    ) -> Result<(), BuildProblem> {
        match event {
            Event::DocumentStart(_) => self.start_document(location),
            Event::Scalar(text, style, anchor, tag) => {
                reject_anchor_or_tag(anchor, tag.is_some(), location)?;
                self.add_scalar(&text, style, location)
            }
            Event::SequenceStart(anchor, tag) => {
                reject_anchor_or_tag(anchor, tag.is_some(), location)?;
                self.open_collection(CollectionItems::List(Vec::new()), location)
            }
            Event::MappingStart(anchor, tag) => {
                reject_anchor_or_tag(anchor, tag.is_some(), location)?;
                let items = CollectionItems::Map {
                    entries: Vec::new(),
                    key: None,
                };
                self.open_collection(items, location)
            }
            Event::SequenceEnd | Event::MappingEnd => self.close_collection(),
            Event::Alias(_) => Err((
                location,
                "aliases are not supported; write the value out, or use `defaults`".into(),
            )),
            Event::Nothing | Event::StreamStart | Event::StreamEnd | Event::DocumentEnd => Ok(()),
        }
    }

    /// Returns the finished tree, or `None` for an empty file.
    pub(crate) fn into_root(self) -> Option<YamlNode> {
        self.root.filter(|node| node.content != NodeContent::Null)
    }

    fn start_document(&mut self, location: SourceLocation) -> Result<(), BuildProblem> {
        self.documents += 1;
        if self.documents > 1 {
            let message = "a second document starts here; a file holds one document";
            return Err((location, message.into()));
        }
        Ok(())
    }

    fn add_scalar(
        &mut self,
        text: &str,
        style: ScalarStyle,
        location: SourceLocation,
    ) -> Result<(), BuildProblem> {
        if text.len() > MAX_TEXT_BYTES {
            let message = format_compact!(
                "the value has {} bytes, the limit is {MAX_TEXT_BYTES}",
                text.len()
            );
            return Err((location, message));
        }
        let is_null = style == ScalarStyle::Plain && matches!(text, "" | "~" | "null");
        let content = if is_null {
            NodeContent::Null
        } else {
            NodeContent::Scalar(CompactString::from(text))
        };
        self.add_node(YamlNode { location, content })
    }

    fn open_collection(
        &mut self,
        items: CollectionItems,
        location: SourceLocation,
    ) -> Result<(), BuildProblem> {
        if self.open.len() >= MAX_DEPTH {
            let message = format_compact!("values are nested deeper than {MAX_DEPTH} levels");
            return Err((location, message));
        }
        self.open.push(OpenCollection { location, items });
        Ok(())
    }

    fn close_collection(&mut self) -> Result<(), BuildProblem> {
        let Some(node) = self.open.pop() else {
            return Ok(());
        };
        let content = match node.items {
            CollectionItems::List(nodes) => NodeContent::List(nodes),
            CollectionItems::Map { entries, .. } => NodeContent::Map(entries),
        };
        self.add_node(YamlNode {
            location: node.location,
            content,
        })
    }

    fn add_node(&mut self, node: YamlNode) -> Result<(), BuildProblem> {
        self.values += 1;
        if self.values > MAX_VALUES {
            let message = format_compact!("the file holds more than {MAX_VALUES} values");
            return Err((node.location, message));
        }
        let Some(parent) = self.open.last_mut() else {
            self.root = Some(node);
            return Ok(());
        };
        match &mut parent.items {
            CollectionItems::List(nodes) => nodes.push(node),
            CollectionItems::Map { entries, key } => match key.take() {
                Some((key, location)) => entries.push(MapEntry {
                    key,
                    location,
                    value: node,
                }),
                None => *key = Some((key_text(node.content, node.location)?, node.location)),
            },
        }
        Ok(())
    }
}

fn key_text(content: NodeContent, location: SourceLocation) -> Result<CompactString, BuildProblem> {
    match content {
        NodeContent::Scalar(text) => Ok(text),
        _ => Err((location, "a key must be a plain name".into())),
    }
}

fn reject_anchor_or_tag(
    anchor: usize,
    has_tag: bool,
    location: SourceLocation,
) -> Result<(), BuildProblem> {
    if anchor != 0 {
        let message = "anchors are not supported; write the value out, or use `defaults`";
        return Err((location, message.into()));
    }
    if has_tag {
        return Err((location, "tags are not supported; remove the tag".into()));
    }
    Ok(())
}
