use bronzelb_kernel::{
    burn::BurnLine,
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
};
use plotters::{
    prelude::{ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, PathElement, SVGBackend},
    style::{BLACK, Color, RGBColor, WHITE},
};

const WIDTH_PX: u32 = 720;
const HEIGHT_PX: u32 = 240;
const PLOT_MINUTES: u64 = 60;
const MINUTE: TimeBudget = TimeBudget::from_secs(60);
const LABEL_SIZE_PX: u32 = 12;
const Y_LABEL_AREA_PX: u32 = 60;
const X_LABEL_AREA_PX: u32 = 36;
const MIN_Y_MAX: f64 = 2.0;
const Y_HEADROOM_FACTOR: f64 = 1.1;
const BURN_COLOR: RGBColor = RGBColor(178, 58, 12);
const LIMIT_COLOR: RGBColor = RGBColor(110, 110, 110);

/// Draws a route's burn rate for each minute of the last hour as SVG.
///
/// # Errors
///
/// Returns `LocalIo` if the plot cannot be drawn.
pub(crate) fn draw_svg(line: &BurnLine, now: ClockInstant) -> Result<String, MeshError> {
    let points = burn_points(line, now);
    let highest = points.iter().map(|(_, rate)| *rate).fold(0.0, f64::max);
    let y_max = (highest * Y_HEADROOM_FACTOR).max(MIN_Y_MAX);
    let mut svg = String::new();
    draw_points(&mut svg, &points, y_max).map_err(|error| {
        MeshError::new(
            ErrorKind::LocalIo,
            format!("plot of route {}: {error}", line.route),
        )
    })?;
    Ok(svg)
}

/// Returns the burn rate of each minute as points of the negated age in minutes and the rate.
fn burn_points(line: &BurnLine, now: ClockInstant) -> Vec<(f64, f64)> {
    let allowed = (1.0 - line.objective.success.as_f64()).max(f64::EPSILON);
    // The counts of a minute are keyed by its start.
    let minute_start = ClockInstant::from_millis(now.as_millis() / 60_000 * 60_000);
    (0..=PLOT_MINUTES)
        .rev()
        .map(|age| {
            let before = TimeBudget::from_micros(MINUTE.as_micros() * age);
            let cell = line.minutes.get(&minute_start.before(before));
            let rate = cell.map_or(0.0, |cell| cell.bad_share() / allowed);
            (-(age as f64), rate)
        })
        .collect()
}

fn draw_points(
    svg: &mut String,
    points: &[(f64, f64)],
    y_max: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, (WIDTH_PX, HEIGHT_PX)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(X_LABEL_AREA_PX)
        .y_label_area_size(Y_LABEL_AREA_PX)
        .build_cartesian_2d(-(PLOT_MINUTES as f64)..0.0, 0.0..y_max)?;
    let font = ("sans-serif", LABEL_SIZE_PX).into_font();
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
    let limit = vec![(-(PLOT_MINUTES as f64), 1.0), (0.0, 1.0)];
    chart.draw_series(std::iter::once(PathElement::new(limit, LIMIT_COLOR)))?;
    let line = LineSeries::new(points.iter().copied(), BURN_COLOR.stroke_width(2));
    chart.draw_series(line)?;
    area.present()?;
    Ok(())
}
