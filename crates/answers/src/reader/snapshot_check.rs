use bronzelb_kernel::config::{ConfigSnapshot, check_snapshot};
use bronzelb_yaml::{
    node::{LocationIndex, SourceLocation},
    problem::ProblemList,
};
use compact_str::{CompactString, format_compact};

/// Runs the checks that nodes run on a snapshot, and reports each problem at its line.
///
/// Fields that were already reported as invalid hold placeholders and are skipped.
pub(super) fn check_answers(
    snapshot: &ConfigSnapshot,
    index: &LocationIndex,
    problems: &ProblemList,
) {
    let mut reported_defaults = Vec::new();
    for problem in check_snapshot(snapshot) {
        let field = answers_path(&problem.path);
        if problems.has_problem_within(&field) {
            continue;
        }
        let (location, field) = find_location(index, field);
        if field.starts_with("defaults.") {
            if reported_defaults.contains(&location) {
                continue;
            }
            reported_defaults.push(location);
        }
        problems.push(location, field, problem.message);
    }
}

/// Converts the path of a snapshot's field into the path of the answer that it comes from.
fn answers_path(path: &str) -> CompactString {
    match path.strip_prefix("proxies") {
        Some(rest) => format_compact!("data_centres{rest}"),
        None => CompactString::from(path),
    }
}

/// Returns the line of a field if the file holds it, else of its entry in the `defaults` block,
/// else of the nearest enclosing section.
fn find_location(index: &LocationIndex, field: CompactString) -> (SourceLocation, CompactString) {
    if let Some(location) = index.get(&field) {
        return (location, field);
    }
    let default = default_path(&field);
    if let Some((location, path)) = default.and_then(|path| Some((index.get(&path)?, path))) {
        return (location, path);
    }
    (index.nearest(&field), field)
}

fn default_path(field: &str) -> Option<CompactString> {
    let (section, rest) = field.split_once('.')?;
    let (_name, key) = rest.split_once('.')?;
    Some(format_compact!("defaults.{section}.{key}"))
}
