use bronzelb_kernel::config::{ConfigSnapshot, check_snapshot};
use bronzelb_yaml::{
    node::{FieldIndex, TextPlace},
    problem::ProblemList,
};
use compact_str::{CompactString, format_compact};

/// Runs the checks of every node on a snapshot and notes mistakes at their lines.
///
/// Fields that were noted as unreadable hold placeholders and are passed over.
pub(super) fn check_answers(snapshot: &ConfigSnapshot, index: &FieldIndex, problems: &ProblemList) {
    let mut shared_places = Vec::new();
    for problem in check_snapshot(snapshot) {
        let field = answers_path(&problem.path);
        if problems.covers(&field) {
            continue;
        }
        let (place, field) = find_place(index, field);
        if field.starts_with("defaults.") {
            if shared_places.contains(&place) {
                continue;
            }
            shared_places.push(place);
        }
        problems.push(place, field, problem.message);
    }
}

/// Translates the path of a snapshot's field into the path of the answer that it comes from.
fn answers_path(path: &str) -> CompactString {
    match path.strip_prefix("proxies") {
        Some(rest) => format_compact!("data_centres{rest}"),
        None => CompactString::from(path),
    }
}

/// Finds the line of a field: its own, else that of the file's default, else of what is around it.
fn find_place(index: &FieldIndex, field: CompactString) -> (TextPlace, CompactString) {
    if let Some(place) = index.get(&field) {
        return (place, field);
    }
    let shared = default_path(&field);
    if let Some((place, path)) = shared.and_then(|path| Some((index.get(&path)?, path))) {
        return (place, path);
    }
    (index.nearest(&field), field)
}

fn default_path(field: &str) -> Option<CompactString> {
    let (section, rest) = field.split_once('.')?;
    let (_name, key) = rest.split_once('.')?;
    Some(format_compact!("defaults.{section}.{key}"))
}
