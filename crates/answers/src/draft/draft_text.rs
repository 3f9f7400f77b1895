use std::fmt::Write;

use bronzelb_kernel::ids::{ByteCount, DataCentre};

use crate::{
    defaults,
    draft::{MeshDraft, ServiceDraft},
};

const BYTES_PER_KIB: u64 = 1024;

/// Generates a commented file of answers from a draft.
pub(super) fn write_draft(draft: &MeshDraft) -> String {
    let mut text = String::new();
    push_lines(
        &mut text,
        "# Answers of a mesh. `bronzelb check` reports every problem, `bronzelb publish` applies them.\n\
         # Units of time are us, ms, s, m and h, of sizes B, KiB and MiB; shares end in %.",
    );
    push_lines(
        &mut text,
        &format!("mesh: {}", quote_name(draft.mesh.as_str())),
    );
    write_centres(draft, &mut text);
    write_defaults(draft, &mut text);
    push_lines(
        &mut text,
        "\n# Values set here override the defaults. `crew` names the team that owns a service, from\n\
         # a list `crews: [...]` at the top of the file.\nservices:",
    );
    for service in &draft.services {
        push_lines(
            &mut text,
            &format!("  {}: {{}}", quote_name(service.name.as_str())),
        );
    }
    push_lines(
        &mut text,
        "\n# Routes of requests to services. The longest matching path wins. `idempotent` states\n\
         # whether a request may run more than once; only routes of GET and HEAD may omit it.\n\
         # `priority` is urgent, normal or deferrable; under load, deferrable requests wait first.\n\
         routes:",
    );
    for service in &draft.services {
        write_routes(service, &mut text);
    }
    if draft.services.is_empty() {
        text = text.replace("services:\n", "services: {}\n");
        text = text.replace("routes:\n", "routes: {}\n");
    }
    text
}

fn write_centres(draft: &MeshDraft, text: &mut String) {
    push_lines(
        text,
        "\n# Data centres and the latency between them, stated once for each pair. Load spills to\n\
         # the nearest data centre first.\ndata_centres:",
    );
    for centre in &draft.data_centres {
        push_lines(text, &centre_line(draft, centre));
    }
}

fn centre_line(draft: &MeshDraft, centre: &DataCentre) -> String {
    let pairs = draft.latencies.iter().filter(|pair| pair.from == *centre);
    let latencies: Vec<_> = pairs
        .map(|pair| format!("{}: {}", quote_name(pair.to.as_str()), pair.latency))
        .collect();
    let name = quote_name(centre.as_str());
    match latencies.len() {
        0 => format!("  {name}: {{}}"),
        _ => format!("  {name}: {{latency: {{{}}}}}", latencies.join(", ")),
    }
}

fn write_defaults(draft: &MeshDraft, text: &mut String) {
    push_lines(
        text,
        &format!(
            "\n# Defaults for services and routes that do not set a value.\n\
             defaults:\n  \
             services:\n    \
             slots: {}  # requests that one backend server handles concurrently\n    \
             connections: {}  # connections that one backend server accepts\n    \
             report_format: {}  # format of the servers' health and load reports\n    \
             slow_start: {}  # time over which a new server ramps up to its full load\n    \
             drain: {}  # time for requests in flight when a server drains\n    \
             rollout:\n      \
             first_share: {}  # traffic of a new version until it is verified\n      \
             min_requests: {}  # requests per route that verify it\n      \
             hold: {}  # time for which it must stay healthy at full share",
            draft.slots,
            draft.connections,
            quote_name(&draft.report_format),
            defaults::SLOW_START,
            defaults::DRAIN,
            defaults::FIRST_SHARE,
            defaults::MIN_REQUESTS,
            defaults::HOLD,
        ),
    );
    push_lines(
        text,
        &format!(
            "  routes:\n    \
             timeout: {}  # for requests without a deadline\n    \
             max_body: {}\n    \
             objective: {{success: {}, latency: {}}}  # service-level objective",
            defaults::TIMEOUT,
            format_size(defaults::MAX_BODY),
            defaults::SUCCESS,
            defaults::LATENCY,
        ),
    );
}

fn write_routes(service: &ServiceDraft, text: &mut String) {
    let name = service.name.as_str();
    let priority = if service.deferrable {
        "\n    priority: deferrable"
    } else {
        ""
    };
    push_lines(
        text,
        &format!(
            "  {}:\n    path: /{name}\n    methods: [GET, HEAD]\n    service: {}{priority}",
            quote_name(&format!("{name}-read")),
            quote_name(name),
        ),
    );
    if service.non_idempotent {
        push_lines(
            text,
            &format!(
                "  {}:\n    path: /{name}\n    methods: [POST]\n    service: {}\n    \
                 idempotent: false{priority}",
                quote_name(&format!("{name}-write")),
                quote_name(name),
            ),
        );
    }
}

fn format_size(size: ByteCount) -> String {
    match size.get() {
        bytes if bytes.is_multiple_of(BYTES_PER_KIB) => format!("{}KiB", bytes / BYTES_PER_KIB),
        bytes => format!("{bytes}B"),
    }
}

fn push_lines(text: &mut String, lines: &str) {
    writeln!(text, "{lines}").expect("writing to a string succeeds");
}

/// Quotes `null`, the only valid name that YAML reads as a missing value.
fn quote_name(name: &str) -> String {
    match name {
        "null" => "\"null\"".to_owned(),
        _ => name.to_owned(),
    }
}
