use compact_str::format_compact;
use saphyr_parser::{Event, Marker, Parser, ScanError};

use crate::{
    node::{SourceLocation, YamlNode},
    parser::tree_builder::TreeBuilder,
    problem::ProblemList,
};

/// Parses text that contains one YAML document.
///
/// Returns `None` and records the reason if the text is empty or not YAML, contains several
/// documents, or uses an alias, an anchor or a tag. Parsing stops at the first such problem.
#[must_use]
pub fn parse_text(text: &str, problems: &ProblemList) -> Option<YamlNode> {
    if let Some(location) = find_control_character(text) {
        let message = "a control character stands here; remove it";
        problems.push(location, "", message);
        return None;
    }
    let mut builder = TreeBuilder::default();
    for parsed in Parser::new_from_str(text) {
        let step = match parsed {
            Ok((Event::StreamEnd, _)) => break,
            Ok((event, span)) => builder.handle_event(event, location_of(&span.start)),
            Err(error) => Err(syntax_problem(&error)),
        };
        if let Err((location, message)) = step {
            problems.push(location, "", message);
            return None;
        }
    }
    let root = builder.into_root();
    if root.is_none() {
        problems.push(
            SourceLocation::START,
            "",
            "the file is empty or holds only comments",
        );
    }
    root
}

/// Finds the first control character that YAML does not allow.
///
/// The parser does not report all of them; at some it stops reading without an error.
fn find_control_character(text: &str) -> Option<SourceLocation> {
    let is_disallowed = |c: char| c.is_control() && !matches!(c, '\t' | '\n' | '\r' | '\u{85}');
    let offset = text.find(is_disallowed)?;
    let before = &text[..offset];
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    Some(SourceLocation {
        line: 1 + before.matches('\n').count(),
        column: 1 + before[line_start..].chars().count(),
    })
}

fn syntax_problem(error: &ScanError) -> (SourceLocation, compact_str::CompactString) {
    let message = format_compact!("the text is not YAML: {}", error.info());
    (location_of(error.marker()), message)
}

fn location_of(marker: &Marker) -> SourceLocation {
    SourceLocation {
        line: marker.line().max(1),
        column: marker.col() + 1,
    }
}
