use bronzelb_kernel::{
    ids::{DataCentre, NodeName, VersionNumber},
    status::AccountStatus,
};

use crate::{
    output::{format_age, format_table},
    status::mesh_status::{
        AcceptedVersion, CentreSummary, EvacuationLine, MeshStatus, NodeLine, state_name,
    },
};

const HEADINGS: [&str; 7] = [
    "DATA CENTRE",
    "NODE",
    "STATE",
    "VERSION",
    "AGE",
    "PLATFORM",
    "BACKEND SERVERS",
];

const ACCOUNT_HEADINGS: [&str; 5] = ["ACCOUNT", "PRIORITY", "KEYS", "RATE", "BURST"];

/// Maximum number of nodes that a list names.
const MAX_LISTED_NODES: usize = 20;

/// Formats a mesh's status as plain text.
pub(super) fn to_text(status: &MeshStatus) -> String {
    let mut lines = Vec::new();
    lines.extend(status.accepted.as_ref().map(accepted_line));
    lines.push(format_table(HEADINGS, status.nodes.iter().map(node_cells)));
    if !status.accounts.is_empty() {
        let cells = status.accounts.iter().map(account_cells);
        lines.push(format_table(ACCOUNT_HEADINGS, cells));
    }
    for (centre, summary) in &status.data_centres {
        lines.push(format!("{centre}: {}", centre_line(summary)));
    }
    let evacuations = status.evacuations.iter();
    lines.extend(evacuations.map(|(centre, line)| evacuation_line(centre, line)));
    lines.extend(status.nodes.iter().flat_map(problem_lines));
    if !status.not_heard.is_empty() {
        lines.push("not heard:".to_owned());
        let listed = status.not_heard.iter().take(MAX_LISTED_NODES);
        lines.extend(listed.map(|line| format!("  {line}")));
        let omitted = status.not_heard.len().saturating_sub(MAX_LISTED_NODES);
        if omitted > 0 {
            lines.push(format!("  (and {omitted} more)"));
        }
    }
    lines.join("\n")
}

fn accepted_line(accepted: &AcceptedVersion) -> String {
    format!(
        "newest accepted version: {} (by {}, {} ago)",
        accepted.number,
        accepted.publisher,
        format_age(accepted.age_ms)
    )
}

fn node_cells(line: &NodeLine) -> [String; 7] {
    let platform = if line.is_platform_away {
        "away"
    } else {
        "answers"
    };
    let age = line.version.map(|_| format_age(line.age_ms));
    [
        line.data_centre.to_string(),
        line.node.to_string(),
        state_name(line.state).to_owned(),
        version_text(line.version),
        age.unwrap_or_else(|| "-".to_owned()),
        platform.to_owned(),
        line.backends.to_string(),
    ]
}

fn account_cells(account: &AccountStatus) -> [String; 5] {
    let (rate, burst) = match account.cap {
        Some(cap) => (format!("{}/s", cap.rate), cap.burst.to_string()),
        None => ("-".to_owned(), "-".to_owned()),
    };
    [
        account.account.to_string(),
        account.priority.to_string(),
        account.keys.to_string(),
        rate,
        burst,
    ]
}

/// Lists the problems of a node that responded.
fn problem_lines(line: &NodeLine) -> Vec<String> {
    let node = &line.node;
    let mut lines = Vec::new();
    if line.is_cut_off {
        lines.push(format!(
            "node {node} hears neither the platform nor other data centres"
        ));
    }
    let silent = line.silent_data_centres.iter();
    lines.extend(silent.map(|centre| format!("node {node} does not hear data centre {centre}")));
    let refused = line.refused.iter();
    lines.extend(refused.map(|refused| {
        let number = refused.version.number;
        format!("node {node} refused version {number}: {}", refused.reason)
    }));
    lines
}

fn centre_line(summary: &CentreSummary) -> String {
    if summary.heard == 0 {
        return format!(
            "none heard, {} serving and {} in doubt as reported by other nodes",
            summary.not_heard, summary.in_doubt
        );
    }
    let versions = match (summary.lowest, summary.highest) {
        (lowest, highest) if lowest == highest => format!("version {}", version_text(highest)),
        (lowest, highest) => format!(
            "versions {} to {}",
            version_text(lowest),
            version_text(highest)
        ),
    };
    let mut text = format!("{} heard with {versions}", summary.heard);
    if summary.not_heard > 0 {
        text.push_str(&format!(", {} serving and not heard", summary.not_heard));
    }
    if summary.in_doubt > 0 {
        text.push_str(&format!(", {} in doubt", summary.in_doubt));
    }
    text
}

fn evacuation_line(centre: &DataCentre, line: &EvacuationLine) -> String {
    let mut text = format!(
        "evacuation of {centre} at revision {}, first seen {} ago: in force at {}",
        line.revision,
        format_age(line.age_ms),
        node_list(&line.in_force_at)
    );
    if !line.unknown_at.is_empty() {
        text.push_str(&format!(
            ", not in force at {}",
            node_list(&line.unknown_at)
        ));
    }
    text
}

fn node_list(nodes: &[NodeName]) -> String {
    let listed = nodes.iter().take(MAX_LISTED_NODES).map(NodeName::as_str);
    let mut text = listed.collect::<Vec<_>>().join(" ");
    let omitted = nodes.len().saturating_sub(MAX_LISTED_NODES);
    if omitted > 0 {
        text.push_str(&format!(" and {omitted} more"));
    }
    text
}

fn version_text(version: Option<VersionNumber>) -> String {
    version.map_or_else(|| "-".to_owned(), |number| number.to_string())
}
