use std::path::Path;

use bronzelb_yaml::{
    node::YamlNode,
    parser,
    problem::{FileError, ProblemList},
    reader::FieldNode,
};
use compact_str::format_compact;

use crate::settings::{
    NodeSettings, section_reader::read_sections, settings_check::check_settings,
};

/// Reads and checks the settings file at `path`.
///
/// # Errors
///
/// Every mistake in the file, each with its line and column. No message holds a secret.
pub fn read_settings(path: &Path) -> Result<NodeSettings, FileError> {
    let problems = ProblemList::new(format_compact!("{}", path.display()));
    let root = parser::read_file(path, &problems);
    finish(root.as_ref(), problems)
}

/// Reads and checks settings from a text; `file` names it in messages.
///
/// # Errors
///
/// Every mistake in the text, each with its line and column. No message holds a secret.
pub fn parse_settings(file: &str, text: &str) -> Result<NodeSettings, FileError> {
    let problems = ProblemList::new(file);
    let root = parser::parse_text(text, &problems);
    finish(root.as_ref(), problems)
}

fn finish(root: Option<&YamlNode>, problems: ProblemList) -> Result<NodeSettings, FileError> {
    let settings = root.and_then(|root| {
        let settings = read_sections(&FieldNode::root(root, &problems))?;
        check_settings(&settings, root, &problems);
        Some(settings)
    });
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(FileError::new(problems.into_sorted())),
    }
}
