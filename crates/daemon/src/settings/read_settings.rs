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
/// Every problem in the file, each with its line and column. No message contains a secret.
pub fn read_settings(path: &Path) -> Result<NodeSettings, FileError> {
    let problems = ProblemList::new(format_compact!("{}", path.display()));
    let root = parser::read_file(path, &problems);
    build_settings(root.as_ref(), problems)
}

/// Parses and checks settings; `file` is the file name shown in messages.
///
/// # Errors
///
/// Every problem in the text, each with its line and column. No message contains a secret.
pub fn parse_settings(file: &str, text: &str) -> Result<NodeSettings, FileError> {
    let problems = ProblemList::new(file);
    let root = parser::parse_text(text, &problems);
    build_settings(root.as_ref(), problems)
}

fn build_settings(
    root: Option<&YamlNode>,
    problems: ProblemList,
) -> Result<NodeSettings, FileError> {
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
