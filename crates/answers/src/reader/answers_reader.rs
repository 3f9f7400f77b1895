use std::{collections::BTreeMap, path::Path};

use bronzelb_kernel::{
    config::{CallerLimits, ConfigSnapshot},
    ids::{CrewName, MeshName},
};
use bronzelb_yaml::{
    node::{LocationIndex, YamlNode},
    parser,
    problem::{FileError, ProblemList},
    reader::{FieldNode, MapReader, parse_from_str},
};
use compact_str::format_compact;

use crate::{
    model::{RouteAnswers, ServiceAnswers},
    reader::{
        centre_reader::read_centres,
        route_reader::{read_route_answers, read_routes},
        service_reader::{read_service_answers, read_services},
        snapshot_check::check_answers,
    },
};

/// Reads the answers in the file at `path` and returns the resulting configuration.
///
/// # Errors
///
/// Every problem in the file, each with its line and column.
pub fn read_answers(path: impl AsRef<Path>) -> Result<ConfigSnapshot, FileError> {
    let path = path.as_ref();
    let problems = ProblemList::new(format_compact!("{}", path.display()));
    let root = parser::read_file(path, &problems);
    build_snapshot(root.as_ref(), problems)
}

/// Reads answers from a string; error messages use `file` as its name.
///
/// # Errors
///
/// Every problem in the text, each with its line and column.
///
/// # Examples
///
/// ```
/// use bronzelb_answers::parse_answers;
///
/// let error = parse_answers("answers.yaml", "mesh: hemelval\nservices: 12").unwrap_err();
/// assert!(error.to_string().contains("answers.yaml:2:11: services: expected a map"));
/// ```
pub fn parse_answers(file: &str, text: &str) -> Result<ConfigSnapshot, FileError> {
    let problems = ProblemList::new(file);
    let root = parser::parse_text(text, &problems);
    build_snapshot(root.as_ref(), problems)
}

fn build_snapshot(
    root: Option<&YamlNode>,
    problems: ProblemList,
) -> Result<ConfigSnapshot, FileError> {
    let snapshot = root.and_then(|root| {
        let snapshot = read_root(&FieldNode::root(root, &problems))?;
        check_answers(&snapshot, &LocationIndex::new(root), &problems);
        Some(snapshot)
    });
    match snapshot {
        Some(snapshot) if problems.is_empty() => Ok(snapshot),
        _ => Err(FileError::new(problems.into_sorted())),
    }
}

fn read_root(root: &FieldNode<'_>) -> Option<ConfigSnapshot> {
    let mut reader = root.read_map()?;
    let mesh: Option<MeshName> = reader.required("mesh", "mesh: hemelval", parse_from_str);
    let crews = read_crews(&mut reader);
    let (service_defaults, route_defaults) = read_defaults(&mut reader);
    let proxies = required_section(&mut reader, "data_centres", "data_centres: {leuven: {}}")
        .map(|section| read_centres(&section))
        .unwrap_or_default();
    let services = required_section(&mut reader, "services", "services: {tracker: {slots: 12}}")
        .map(|section| read_services(&section, &service_defaults, &crews))
        .unwrap_or_default();
    let routes = required_section(
        &mut reader,
        "routes",
        "routes: {positions: {path: /positions, service: tracker}}",
    )
    .map(|section| read_routes(&section, &route_defaults))
    .unwrap_or_default();
    reader.finish();
    Some(ConfigSnapshot {
        mesh: mesh.unwrap_or_else(placeholder_mesh),
        proxies,
        services,
        routes,
        accounts: BTreeMap::new(),
        limits: CallerLimits::default(),
    })
}

fn required_section<'a>(
    reader: &mut MapReader<'a>,
    key: &'static str,
    example: &str,
) -> Option<FieldNode<'a>> {
    let section = reader.take(key);
    if section.is_none() {
        reader.push_missing_key(key, example);
    }
    section
}

fn read_crews(reader: &mut MapReader<'_>) -> Vec<CrewName> {
    let items = reader.take("crews").and_then(|section| section.read_list());
    let mut crews = Vec::new();
    for item in items.unwrap_or_default() {
        let Some(crew) = item.read_value(parse_from_str::<CrewName>) else {
            continue;
        };
        if crews.contains(&crew) {
            item.push_problem(format_compact!("crew \"{crew}\" is listed twice"));
        } else {
            crews.push(crew);
        }
    }
    crews
}

fn read_defaults(reader: &mut MapReader<'_>) -> (ServiceAnswers, RouteAnswers) {
    let mut service_answers = ServiceAnswers::default();
    let mut route_answers = RouteAnswers::default();
    let section = reader
        .take("defaults")
        .and_then(|section| section.read_map());
    if let Some(mut section) = section {
        if let Some(mut fields) = section.take("services").and_then(|field| field.read_map()) {
            service_answers = read_service_answers(&mut fields);
            fields.finish();
        }
        if let Some(mut fields) = section.take("routes").and_then(|field| field.read_map()) {
            route_answers = read_route_answers(&mut fields);
            fields.finish();
        }
        section.finish();
    }
    (service_answers, route_answers)
}

/// Returns a placeholder for a mesh name that is missing or invalid, which is already reported.
fn placeholder_mesh() -> MeshName {
    "unnamed".parse().expect("is a valid name")
}
