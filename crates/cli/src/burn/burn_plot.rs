use bronzelb_kernel::{
    burn::BurnLine,
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
};
use plotters::{
    prelude::{ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, PathElement, SVGBackend},
    style::{BLACK, Color, RGBColor, WHITE},
};

const WIDTH: u32 = 720;
const HEIGHT: u32 = 240;
const MINUTES: u64 = 60;
const MINUTE: TimeBudget = TimeBudget::from_secs(60);
const LABEL_SIZE: u32 = 12;
const LEFT_LABELS: u32 = 60;
const BOTTOM_LABELS: u32 = 36;
const LEAST_TOP: f64 = 2.0;
const HEADROOM: f64 = 1.1;
const BURN: RGBColor = RGBColor(178, 58, 12);
const LIMIT: RGBColor = RGBColor(110, 110, 110);

/// Draws a route's burn rate for each minute of the last hour as SVG.
///
/// # Errors
///
/// `LocalIo` when the plot cannot be drawn.
pub(crate) fn draw(line: &BurnLine, now: ClockInstant) -> Result<String, MeshError> {
    let points = points_of(line, now);
    let highest = points.iter().map(|(_, rate)| *rate).fold(0.0, f64::max);
    let top = (highest * HEADROOM).max(LEAST_TOP);
    let mut svg = String::new();
    draw_points(&mut svg, &points, top).map_err(|error| {
        MeshError::new(
            ErrorKind::LocalIo,
            format!("plot of route {}: {error}", line.route),
        )
    })?;
    Ok(svg)
}

/// Returns the burn rate of each minute, by its age.
fn points_of(line: &BurnLine, now: ClockInstant) -> Vec<(f64, f64)> {
    let allowed = (1.0 - line.objective.success.as_f64()).max(f64::EPSILON);
    let start = ClockInstant::from_millis(now.as_millis() / 60_000 * 60_000);
    (0..=MINUTES)
        .rev()
        .map(|age| {
            let before = TimeBudget::from_micros(MINUTE.as_micros() * age);
            let cell = line.minutes.get(&start.before(before));
            let rate = cell.map_or(0.0, |cell| cell.bad_share() / allowed);
            (-(age as f64), rate)
        })
        .collect()
}

fn draw_points(
    svg: &mut String,
    points: &[(f64, f64)],
    top: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, (WIDTH, HEIGHT)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(BOTTOM_LABELS)
        .y_label_area_size(LEFT_LABELS)
        .build_cartesian_2d(-(MINUTES as f64)..0.0, 0.0..top)?;
    let font = ("sans-serif", LABEL_SIZE).into_font();
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("minutes ago")
        .y_desc("burn rate")
        .x_label_formatter(&|age| format!("{:.0}", age.abs()))
        .label_style(font.clone())
        .axis_desc_style(font)
        .axis_style(BLACK)
        .draw()?;
    let limit = vec![(-(MINUTES as f64), 1.0), (0.0, 1.0)];
    chart.draw_series(std::iter::once(PathElement::new(limit, LIMIT)))?;
    let line = LineSeries::new(points.iter().copied(), BURN.stroke_width(2));
    chart.draw_series(line)?;
    area.present()?;
    Ok(())
}
