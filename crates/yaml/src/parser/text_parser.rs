use compact_str::format_compact;
use saphyr_parser::{Event, Marker, Parser, ScanError};

use crate::{
    node::{TextPlace, YamlNode},
    parser::tree_builder::TreeBuilder,
    problem::ProblemList,
};

/// Parses a text that holds one YAML document.
///
/// Returns `None` after noting why when the text is empty or not YAML, holds several documents,
/// or uses an alias, an anchor or a tag. Syntax errors end the reading, so at most one of them is
/// noted.
#[must_use]
pub fn parse_text(text: &str, problems: &ProblemList) -> Option<YamlNode> {
    if let Some(place) = find_control_character(text) {
        let message = "a control character stands here; remove it";
        problems.push(place, "", message);
        return None;
    }
    let mut builder = TreeBuilder::default();
    for parsed in Parser::new_from_str(text) {
        let step = match parsed {
            Ok((Event::StreamEnd, _)) => break,
            Ok((event, span)) => builder.accept(event, place_of(&span.start)),
            Err(error) => Err(syntax_problem(&error)),
        };
        if let Err((place, message)) = step {
            problems.push(place, "", message);
            return None;
        }
    }
    let root = builder.into_root();
    if root.is_none() {
        problems.push(
            TextPlace::START,
            "",
            "the file is empty or holds only comments",
        );
    }
    root
}

/// Finds a character that YAML does not allow, and at some of which the parser would stop reading.
fn find_control_character(text: &str) -> Option<TextPlace> {
    let is_refused = |c: char| c.is_control() && !matches!(c, '\t' | '\n' | '\r' | '\u{85}');
    let offset = text.find(is_refused)?;
    let before = &text[..offset];
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    Some(TextPlace {
        line: 1 + before.matches('\n').count(),
        column: 1 + before[line_start..].chars().count(),
    })
}

fn syntax_problem(error: &ScanError) -> (TextPlace, compact_str::CompactString) {
    let message = format_compact!("the text is not YAML: {}", error.info());
    (place_of(error.marker()), message)
}

fn place_of(marker: &Marker) -> TextPlace {
    TextPlace {
        line: marker.line().max(1),
        column: marker.col() + 1,
    }
}
