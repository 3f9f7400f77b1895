use std::collections::BTreeMap;

use bronzelb_kernel::{
    config::{HttpMethod, RouteRule, RouteTraffic},
    ids::{RouteName, ServiceName},
};
use bronzelb_yaml::reader::{FieldNode, MapReader, parse_bool, parse_byte_count, parse_from_str};
use compact_str::{CompactString, format_compact};

use crate::model::{ObjectiveAnswers, RouteAnswers};

/// Reads every route and fills missing answers from `fallback`.
///
/// A route without a valid path or service is omitted after its problems are reported.
pub(super) fn read_routes(
    section: &FieldNode<'_>,
    fallback: &RouteAnswers,
) -> BTreeMap<RouteName, RouteRule> {
    let Some(reader) = section.read_map() else {
        return BTreeMap::new();
    };
    reader
        .into_named_fields(parse_from_str::<RouteName>)
        .into_iter()
        .filter_map(|(name, field)| Some((name, read_route(&field, fallback)?)))
        .collect()
}

fn read_route(field: &FieldNode<'_>, fallback: &RouteAnswers) -> Option<RouteRule> {
    let mut reader = field.read_map()?;
    let path = reader.required("path", "path: /positions", |text| {
        Ok(CompactString::from(text))
    });
    let service: Option<ServiceName> =
        reader.required("service", "service: tracker", parse_from_str);
    let methods = read_methods(&mut reader);
    let idempotent = read_idempotent(&mut reader, &methods);
    let resolved = read_route_answers(&mut reader).resolve(fallback);
    reader.finish();
    Some(RouteRule {
        path: path?,
        methods,
        service: service?,
        priority: resolved.priority,
        idempotent,
        timeout: resolved.timeout,
        max_body: resolved.max_body,
        objective: resolved.objective,
        traffic: RouteTraffic::default(),
    })
}

/// Reads the keys that routes and the `defaults` block have in common.
pub(super) fn read_route_answers(reader: &mut MapReader<'_>) -> RouteAnswers {
    RouteAnswers {
        priority: reader.optional("priority", parse_from_str),
        timeout: reader.optional("timeout", parse_from_str),
        max_body: reader.optional("max_body", parse_byte_count),
        objective: read_objective(reader),
    }
}

fn read_objective(reader: &mut MapReader<'_>) -> ObjectiveAnswers {
    let fields = reader.take("objective").and_then(|field| field.read_map());
    let Some(mut fields) = fields else {
        return ObjectiveAnswers::default();
    };
    let answers = ObjectiveAnswers {
        success: fields.optional("success", parse_from_str),
        latency: fields.optional("latency", parse_from_str),
    };
    fields.finish();
    answers
}

/// Reads the methods and sorts them, so that their order in the file does not matter.
fn read_methods(reader: &mut MapReader<'_>) -> Vec<HttpMethod> {
    let items = reader.take("methods").and_then(|field| field.read_list());
    let mut methods = Vec::new();
    for item in items.unwrap_or_default() {
        let Some(method) = item.read_value(parse_from_str::<HttpMethod>) else {
            continue;
        };
        if methods.contains(&method) {
            item.push_problem(format_compact!("method {method} is listed twice"));
        } else {
            methods.push(method);
        }
    }
    methods.sort();
    methods
}

/// Reads whether requests may run more than once, which is required unless every method is `GET` or
/// `HEAD`.
fn read_idempotent(reader: &mut MapReader<'_>, methods: &[HttpMethod]) -> bool {
    let is_read_only = !methods.is_empty()
        && methods
            .iter()
            .all(|method| matches!(method, HttpMethod::Get | HttpMethod::Head));
    match reader.take("idempotent") {
        Some(field) => field.read_value(parse_bool).unwrap_or_default(),
        None => {
            if !is_read_only {
                // The message encloses the example in backticks, hence the unpaired ones here.
                reader.push_missing_key(
                    "idempotent",
                    "idempotent: false` for requests that must not run twice, or `idempotent: true",
                );
            }
            is_read_only
        }
    }
}
