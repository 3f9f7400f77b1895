use std::collections::BTreeMap;

use bronzelb_kernel::{
    config::ServiceSpec,
    error::MeshError,
    ids::{CrewName, ServiceName, SlotCount},
    plugin::ReportReader,
};
// Links the crate in, which registers every vendor's reader.
use bronzelb_reports as _;
use bronzelb_yaml::reader::{FieldNode, MapReader, parse_from_str, parse_u32};
use compact_str::{CompactString, format_compact};

use crate::model::{RolloutAnswers, ServiceAnswers};

/// Reads every service and fills missing answers from `fallback`.
pub(super) fn read_services(
    section: &FieldNode<'_>,
    fallback: &ServiceAnswers,
    crews: &[CrewName],
) -> BTreeMap<ServiceName, ServiceSpec> {
    let Some(reader) = section.read_map() else {
        return BTreeMap::new();
    };
    reader
        .into_named_fields(parse_from_str::<ServiceName>)
        .into_iter()
        .map(|(name, field)| (name, read_service(&field, fallback, crews)))
        .collect()
}

fn read_service(
    field: &FieldNode<'_>,
    fallback: &ServiceAnswers,
    crews: &[CrewName],
) -> ServiceSpec {
    let Some(mut reader) = field.read_map() else {
        return fallback.clone().into_spec();
    };
    let answers = read_service_answers(&mut reader);
    report_missing_keys(&reader, &answers, fallback);
    reader.finish();
    let answers = answers.or(fallback);
    if let Some(crew) = &answers.crew
        && !crews.contains(crew)
    {
        field.push_problem(format_compact!(
            "crew \"{crew}\" does not exist; list it under `crews`"
        ));
    }
    answers.into_spec()
}

/// Reports missing keys that describe the team's own servers and have no default.
fn report_missing_keys(
    reader: &MapReader<'_>,
    answers: &ServiceAnswers,
    fallback: &ServiceAnswers,
) {
    if answers.slots.or(fallback.slots).is_none() && !reader.has("slots") {
        reader.push_missing_key("slots", "slots: 12");
    }
    if answers.connections.or(fallback.connections).is_none() && !reader.has("connections") {
        reader.push_missing_key("connections", "connections: 110");
    }
    let has_format = answers.report_format.is_some() || fallback.report_format.is_some();
    if !has_format && !reader.has("report_format") {
        reader.push_missing_key("report_format", "report_format: json-load");
    }
}

/// Reads the keys that services and the `defaults` block have in common.
pub(super) fn read_service_answers(reader: &mut MapReader<'_>) -> ServiceAnswers {
    ServiceAnswers {
        crew: reader.optional("crew", parse_from_str),
        slots: reader.optional("slots", parse_u32).map(SlotCount::new),
        connections: reader.optional("connections", parse_u32),
        report_format: reader.optional("report_format", parse_report_format),
        slow_start: reader.optional("slow_start", parse_from_str),
        drain: reader.optional("drain", parse_from_str),
        rollout: read_rollout(reader),
    }
}

fn read_rollout(reader: &mut MapReader<'_>) -> RolloutAnswers {
    let fields = reader.take("rollout").and_then(|field| field.read_map());
    let Some(mut fields) = fields else {
        return RolloutAnswers::default();
    };
    let answers = RolloutAnswers {
        first_share: fields.optional("first_share", parse_from_str),
        min_requests: fields.optional("min_requests", parse_u32),
        hold: fields.optional("hold", parse_from_str),
    };
    fields.finish();
    answers
}

/// Parses the name of a registered reader of reports.
///
/// # Errors
///
/// [`ErrorKind::Invalid`](bronzelb_kernel::error::ErrorKind::Invalid) when no reader has that name;
/// the message lists the registered ones.
pub fn parse_report_format(text: &str) -> Result<CompactString, MeshError> {
    if ReportReader::find(text).is_ok() {
        return Ok(CompactString::from(text));
    }
    let mut names: Vec<_> = ReportReader::all().map(|reader| reader.name).collect();
    names.sort_unstable();
    Err(MeshError::invalid(format!(
        "report format {text:?} does not exist; formats are {}",
        names.join(", ")
    )))
}
