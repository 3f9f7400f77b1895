use std::{collections::BTreeSet, io::BufRead};

use compact_str::{CompactString, format_compact};
use serde::Serialize;
use serde_json::{Map, Value};

/// Fields of every log line; the timeline shows them in fixed columns or leaves them out.
const COLUMN_FIELDS: [&str; 6] = ["ts", "event", "node", "data_centre", "level", "request"];
const SUPPRESSED_EVENT: &str = "lines-suppressed";

/// Log lines about one request, ordered by the nodes' timestamps.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RequestTimeline {
    /// Lines about the request.
    pub(crate) lines: Vec<TimelineLine>,
    /// Lines that could not be parsed, as `FILE:LINE`.
    pub(crate) unreadable: Vec<CompactString>,
    /// Nodes whose logs report suppressed lines.
    pub(crate) nodes_with_gaps: BTreeSet<CompactString>,
}

/// A log line about the request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TimelineLine {
    /// Unix time in milliseconds, by the node's clock.
    pub(crate) ts: u64,
    /// Node that logged the line.
    pub(crate) node: CompactString,
    /// Name of the event.
    pub(crate) event: CompactString,
    /// Remaining fields of the event, such as its cause and outcome.
    pub(crate) fields: Map<String, Value>,
}

impl RequestTimeline {
    /// Reads a log and keeps the lines about `request`; `source` names the log in messages.
    pub(crate) fn read(&mut self, source: &str, log: impl BufRead, request: &str) {
        for (index, line) in log.lines().enumerate() {
            let parsed = line.ok().and_then(|line| parse_line(&line));
            let Some(object) = parsed else {
                let place = format_compact!("{source}:{}", index + 1);
                self.unreadable.push(place);
                continue;
            };
            self.add_line(object, request);
        }
    }

    /// Sorts the lines by timestamp, after every log has been read.
    pub(crate) fn sort(&mut self) {
        self.lines.sort_by_key(|line| line.ts);
    }

    fn add_line(&mut self, object: Map<String, Value>, request: &str) {
        let node = text_field(&object, "node");
        let event = text_field(&object, "event");
        if event == SUPPRESSED_EVENT {
            self.nodes_with_gaps.insert(node.clone());
        }
        if text_field(&object, "request") != request {
            return;
        }
        let fields = object
            .iter()
            .filter(|(name, value)| !COLUMN_FIELDS.contains(&name.as_str()) && !value.is_null());
        self.lines.push(TimelineLine {
            ts: object.get("ts").and_then(Value::as_u64).unwrap_or(0),
            node,
            event,
            fields: fields
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
        });
    }
}

/// Parses a log line; skips columns that a supervisor has written before the JSON object.
fn parse_line(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn text_field(object: &Map<String, Value>, name: &str) -> CompactString {
    let value = object.get(name).and_then(Value::as_str);
    value.map_or_else(CompactString::default, CompactString::from)
}
