const MILLIS_PER_SECOND: u64 = 1_000;
const SECONDS_PER_MINUTE: u64 = 60;
const SECONDS_PER_HOUR: u64 = 60 * SECONDS_PER_MINUTE;
const COLUMN_SEPARATOR: &str = "  ";

/// Formats a table with headings and aligned columns.
pub(crate) fn format_table<const N: usize>(
    headings: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut lines = vec![headings.map(str::to_owned)];
    lines.extend(rows);
    let mut widths = [0; N];
    for line in &lines {
        for (width, cell) in widths.iter_mut().zip(line) {
            *width = cell.chars().count().max(*width);
        }
    }
    let lines: Vec<_> = lines.iter().map(|line| align(line, &widths)).collect();
    lines.join("\n")
}

fn align(cells: &[String], widths: &[usize]) -> String {
    let cells: Vec<_> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    cells.join(COLUMN_SEPARATOR).trim_end().to_owned()
}

/// Formats an age in the largest unit of which it has at least one, rounded down.
pub(crate) fn format_age(millis: u64) -> String {
    let seconds = millis / MILLIS_PER_SECOND;
    match seconds {
        0 => format!("{millis}ms"),
        seconds if seconds < SECONDS_PER_MINUTE => format!("{seconds}s"),
        seconds if seconds < SECONDS_PER_HOUR => format!("{}m", seconds / SECONDS_PER_MINUTE),
        seconds => format!("{}h", seconds / SECONDS_PER_HOUR),
    }
}
