use std::fmt::Write;

use bronzelb_kernel::{
    burn::{BurnLine, BurnReport, BurnSpend, BurnWindow},
    clock::ClockInstant,
    error::MeshError,
};
use jiff::Timestamp;

use crate::burn::burn_plot::draw_svg;

const STYLE: &str = "\
body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}\
h1{font-size:1.6rem}h2{font-size:1.2rem;margin-top:2.5rem}\
table{border-collapse:collapse;width:100%;margin:.8rem 0}\
th,td{text-align:right;padding:.25rem .6rem;border-bottom:1px solid #ddd}\
th:first-child,td:first-child{text-align:left}\
.over{color:#b23a0c;font-weight:600}.missing{background:#fdf0e6;padding:.6rem 1rem}\
svg{max-width:100%;height:auto}";

/// Returns the report as a self-contained HTML page.
pub(crate) fn to_html(report: &BurnReport) -> Result<String, MeshError> {
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">\
         <title>Service-level burn</title><style>{STYLE}</style></head><body>\n\
         <h1>Service-level burn</h1>\n<p>{}; {} nodes answered. A burn rate of 1 (grey line) \
         spends exactly what the objective allows.</p>\n",
        escape(&format_instant(report.now)),
        report.nodes
    );
    add_missing(&mut page, report);
    add_overview(&mut page, report);
    for line in &report.lines {
        add_route(&mut page, line, report.now)?;
    }
    page += "</body></html>\n";
    Ok(page)
}

fn add_missing(page: &mut String, report: &BurnReport) {
    if report.not_heard.is_empty() {
        return;
    }
    *page += "<div class=\"missing\">Not heard, so missing from the figures:<ul>";
    for reason in &report.not_heard {
        let _ = write!(page, "<li>{}</li>", escape(reason));
    }
    *page += "</ul></div>\n";
}

fn add_overview(page: &mut String, report: &BurnReport) {
    if report.lines.is_empty() {
        *page += "<p>No request was counted.</p>\n";
        return;
    }
    *page += "<table><tr><th>Service and route</th><th>Objective</th><th>Within</th>\
              <th>5 min: bad of all</th><th>burn</th><th>1 h: bad of all</th><th>burn</th></tr>\n";
    for line in &report.lines {
        let _ = writeln!(
            page,
            "<tr><td>{} / {}</td><td>{}</td><td>{}</td>{}{}</tr>",
            escape(line.service.as_str()),
            escape(line.route.as_str()),
            line.objective.success,
            line.objective.latency,
            window_cells(&line.short),
            window_cells(&line.long),
        );
    }
    *page += "</table>\n";
}

fn window_cells(window: &BurnWindow) -> String {
    let class = if window.rate > 1.0 {
        " class=\"over\""
    } else {
        ""
    };
    format!(
        "<td>{} of {}</td><td{class}>{:.2}</td>",
        window.cell.bad, window.cell.requests, window.rate
    )
}

fn add_route(page: &mut String, line: &BurnLine, now: ClockInstant) -> Result<(), MeshError> {
    let _ = write!(
        page,
        "<h2>{} / {}</h2>\n{}\n<table><tr><th>Spent in the last hour by</th>\
         <th>bad of all</th><th>of the budget</th></tr>\n",
        escape(line.service.as_str()),
        escape(line.route.as_str()),
        draw_svg(line, now)?
    );
    for (kind, spends) in [
        ("version", &line.versions),
        ("move", &line.moves),
        ("data centre", &line.data_centres),
    ] {
        for spend in spends {
            add_spend(page, kind, spend);
        }
    }
    *page += "</table>\n";
    Ok(())
}

fn add_spend(page: &mut String, kind: &str, spend: &BurnSpend) {
    const PERCENT: f64 = 100.0;
    let _ = writeln!(
        page,
        "<tr><td>{kind}: {}</td><td>{} of {}</td><td>{:.1}%</td></tr>",
        escape(&spend.name),
        spend.cell.bad,
        spend.cell.requests,
        spend.budget_part * PERCENT
    );
}

fn format_instant(instant: ClockInstant) -> String {
    let millis = i64::try_from(instant.as_millis()).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(millis)
        .map_or_else(|_| instant.to_string(), |instant| instant.to_string())
}

/// Escapes the characters that are special in HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
