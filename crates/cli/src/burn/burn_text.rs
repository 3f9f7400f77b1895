use std::fmt::Write;

use bronzelb_kernel::burn::{BurnLine, BurnReport, BurnSpend, BurnWindow};

const PERCENT: f64 = 100.0;

/// Returns the report as plain text.
pub(crate) fn to_text(report: &BurnReport) -> String {
    let mut text = format!(
        "{:<16} {:<16} {:>10} {:>8} {:>12} {:>9} {:>12} {:>9}\n",
        "SERVICE", "ROUTE", "OBJECTIVE", "WITHIN", "5M BAD/ALL", "5M BURN", "1H BAD/ALL", "1H BURN"
    );
    for line in &report.lines {
        add_line(&mut text, line);
    }
    if report.lines.is_empty() {
        text += "no request was counted\n";
    }
    let _ = writeln!(text, "{} nodes answered", report.nodes);
    for reason in &report.not_heard {
        let _ = writeln!(text, "not heard: {reason}");
    }
    text
}

fn add_line(text: &mut String, line: &BurnLine) {
    let count = |window: &BurnWindow| format!("{}/{}", window.cell.bad, window.cell.requests);
    let _ = writeln!(
        text,
        "{:<16} {:<16} {:>10} {:>8} {:>12} {:>9.2} {:>12} {:>9.2}",
        line.service,
        line.route,
        line.objective.success.to_string(),
        line.objective.latency.to_string(),
        count(&line.short),
        line.short.rate,
        count(&line.long),
        line.long.rate,
    );
    for (kind, spends) in [
        ("version", &line.versions),
        ("move", &line.moves),
        ("data centre", &line.data_centres),
    ] {
        for spend in spends.iter().filter(|spend| spend.cell.bad > 0) {
            let _ = writeln!(text, "  {}", describe(kind, spend));
        }
    }
}

fn describe(kind: &str, spend: &BurnSpend) -> String {
    format!(
        "{kind} {}: {:.1}% of the hour's budget ({} bad of {})",
        spend.name,
        spend.budget_part * PERCENT,
        spend.cell.bad,
        spend.cell.requests
    )
}
