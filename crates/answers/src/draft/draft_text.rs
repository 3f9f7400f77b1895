use std::fmt::Write;

use bronzelb_kernel::ids::{ByteCount, DataCentre};

use crate::{
    defaults,
    draft::{MeshDraft, ServiceDraft},
};

const BYTES_PER_KIB: u64 = 1024;

/// Writes a draft as a commented file of answers.
pub(super) fn write_draft(draft: &MeshDraft) -> String {
    let mut text = String::new();
    push(
        &mut text,
        "# Answers of a mesh. `bronzelb check` shows every mistake in them, `bronzelb publish` puts\n\
         # them in force. Times take us, ms, s, m or h; sizes B, KiB or MiB; shares a %.",
    );
    push(&mut text, &format!("mesh: {}", quoted(draft.mesh.as_str())));
    write_centres(draft, &mut text);
    write_defaults(draft, &mut text);
    push(
        &mut text,
        "\n# What a service says here goes before the defaults. `crew` names the team that owns it,\n\
         # from a list `crews: [...]` at the top of the file.\nservices:",
    );
    for service in &draft.services {
        push(
            &mut text,
            &format!("  {}: {{}}", quoted(service.name.as_str())),
        );
    }
    push(
        &mut text,
        "\n# Which requests go where. The longest matching path wins. A route that does more than read\n\
         # says whether a request may run twice (`idempotent`). `priority` is urgent, normal or\n\
         # deferrable; what is deferrable waits first when servers are busy.\nroutes:",
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
    push(
        text,
        "\n# Data centres, with the latency to each other one, written once for each pair. Load spills\n\
         # to the nearest data centre first.\ndata_centres:",
    );
    for centre in &draft.data_centres {
        push(text, &centre_line(draft, centre));
    }
}

fn centre_line(draft: &MeshDraft, centre: &DataCentre) -> String {
    let pairs = draft.latencies.iter().filter(|pair| pair.from == *centre);
    let latencies: Vec<_> = pairs
        .map(|pair| format!("{}: {}", quoted(pair.to.as_str()), pair.latency))
        .collect();
    let name = quoted(centre.as_str());
    match latencies.len() {
        0 => format!("  {name}: {{}}"),
        _ => format!("  {name}: {{latency: {{{}}}}}", latencies.join(", ")),
    }
}

fn write_defaults(draft: &MeshDraft, text: &mut String) {
    push(
        text,
        &format!(
            "\n# What holds where a service or route says nothing else.\n\
             defaults:\n  \
             services:\n    \
             slots: {}  # requests that one backend server runs at once\n    \
             connections: {}  # connections that one backend server accepts\n    \
             report_format: {}  # format of the servers' health and load reports\n    \
             slow_start: {}  # time until a new server gets its full share of the load\n    \
             drain: {}  # time for requests in flight when a server leaves\n    \
             rollout:\n      \
             first_share: {}  # traffic that a new version gets until it is proved\n      \
             min_requests: {}  # requests per route that prove it\n      \
             hold: {}  # time for which it must hold up at full share",
            draft.slots,
            draft.connections,
            quoted(&draft.report_format),
            defaults::SLOW_START,
            defaults::DRAIN,
            defaults::FIRST_SHARE,
            defaults::MIN_REQUESTS,
            defaults::HOLD,
        ),
    );
    push(
        text,
        &format!(
            "  routes:\n    \
             timeout: {}  # for requests that state no deadline\n    \
             max_body: {}\n    \
             objective: {{success: {}, latency: {}}}  # what callers are promised",
            defaults::TIMEOUT,
            size_text(defaults::MAX_BODY),
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
    push(
        text,
        &format!(
            "  {}:\n    path: /{name}\n    methods: [GET, HEAD]\n    service: {}{priority}",
            quoted(&format!("{name}-read")),
            quoted(name),
        ),
    );
    if service.non_idempotent {
        push(
            text,
            &format!(
                "  {}:\n    path: /{name}\n    methods: [POST]\n    service: {}\n    \
                 idempotent: false{priority}",
                quoted(&format!("{name}-write")),
                quoted(name),
            ),
        );
    }
}

fn size_text(size: ByteCount) -> String {
    match size.get() {
        bytes if bytes.is_multiple_of(BYTES_PER_KIB) => format!("{}KiB", bytes / BYTES_PER_KIB),
        bytes => format!("{bytes}B"),
    }
}

fn push(text: &mut String, lines: &str) {
    writeln!(text, "{lines}").expect("writing to a string succeeds");
}

/// Quotes the one name that YAML would read as no value.
fn quoted(name: &str) -> String {
    match name {
        "null" => "\"null\"".to_owned(),
        _ => name.to_owned(),
    }
}
