use std::{collections::BTreeSet, io::BufRead};

use compact_str::{CompactString, format_compact};
use serde::Serialize;
use serde_json::{Map, Value};

/// Fields that every line has; the story shows them in columns of their own.
const COLUMNS: [&str; 6] = ["ts", "event", "node", "data_centre", "level", "request"];
const SUPPRESSED_EVENT: &str = "lines-suppressed";

/// What the logs say of one request, in the order of the nodes' clocks.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RequestStory {
    /// Lines about the request.
    pub(crate) lines: Vec<StoryLine>,
    /// Lines that could not be read, as `FILE:LINE`.
    pub(crate) unreadable: Vec<CompactString>,
    /// Nodes that wrote in the logs that they had left lines out.
    pub(crate) nodes_with_gaps: BTreeSet<CompactString>,
}

/// One line of a log about the request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StoryLine {
    /// Milliseconds since the Unix epoch, by the node's clock.
    pub(crate) ts: u64,
    /// Node that wrote the line.
    pub(crate) node: CompactString,
    /// What happened.
    pub(crate) event: CompactString,
    /// What decided it, and how it ended.
    pub(crate) fields: Map<String, Value>,
}

impl RequestStory {
    /// Takes in a log; `source` names it in messages.
    pub(crate) fn read(&mut self, source: &str, log: impl BufRead, request: &str) {
        for (index, line) in log.lines().enumerate() {
            let parsed = line.ok().and_then(|line| parse(&line));
            let Some(object) = parsed else {
                let place = format_compact!("{source}:{}", index + 1);
                self.unreadable.push(place);
                continue;
            };
            self.take(object, request);
        }
    }

    /// Puts the lines in order once every log has been read.
    pub(crate) fn sort(&mut self) {
        self.lines.sort_by_key(|line| line.ts);
    }

    fn take(&mut self, object: Map<String, Value>, request: &str) {
        let node = text(&object, "node");
        let event = text(&object, "event");
        if event == SUPPRESSED_EVENT {
            self.nodes_with_gaps.insert(node.clone());
        }
        if text(&object, "request") != request {
            return;
        }
        let fields = object
            .iter()
            .filter(|(name, value)| !COLUMNS.contains(&name.as_str()) && !value.is_null());
        self.lines.push(StoryLine {
            ts: object.get("ts").and_then(Value::as_u64).unwrap_or(0),
            node,
            event,
            fields: fields
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
        });
    }
}

/// Parses a line, also one before which a supervisor has written its own columns.
fn parse(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn text(object: &Map<String, Value>, name: &str) -> CompactString {
    let value = object.get(name).and_then(Value::as_str);
    value.map_or_else(CompactString::default, CompactString::from)
}
