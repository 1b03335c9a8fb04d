//! The plot of the study, in SVG: the fraction of runaways that were found, over time.

use std::error::Error;

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    BLACK, Cartesian2d, ChartBuilder, ChartContext, Color, IntoDrawingArea, LineSeries, Palette,
    Palette99, PathElement, SVGBackend, SeriesLabelPosition, Text, WHITE,
};

const TITLE: &str = "Runaways found, by run time without the time blocked (simulated servers)";

/// Width and height of the plot.
const SIZE_PIXELS: (u32, u32) = (960, 540);

const FONT: &str = "sans-serif";

/// Minimum end of the time axis, so that it includes all fixed limits.
const MIN_TIME_AXIS_SECONDS: f64 = 62.0;

/// End of the axis of fractions, with some space above 1.
const FRACTION_AXIS_MAX: f64 = 1.02;

/// The runaways of one condition.
pub(super) struct Curve {
    pub(super) name: String,
    /// Times to detection, in seconds, ascending.
    pub(super) times: Vec<f64>,
    /// Number of runaways, whether found or not.
    pub(super) planted: usize,
}

type Chart<'c, 'svg> =
    ChartContext<'c, SVGBackend<'svg>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Returns the SVG text of a plot with a curve for each condition and a line for each fixed limit in seconds.
pub(super) fn draw_detections_over_time(curves: &[Curve], limits: &[u64]) -> String {
    let mut svg = String::new();
    // Drawing into a string fails only if the drawing code has a fault.
    if draw(&mut svg, curves, limits).is_err() {
        svg.clear();
    }
    svg
}

fn draw(svg: &mut String, curves: &[Curve], limits: &[u64]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::with_string(svg, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let latest = curves
        .iter()
        .filter_map(|curve| curve.times.last().copied())
        .fold(MIN_TIME_AXIS_SECONDS, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(TITLE, (FONT, 18))
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..(latest * 1.02), 0.0..FRACTION_AXIS_MAX)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("fraction found")
        .light_line_style(WHITE)
        .draw()?;
    for (index, curve) in curves.iter().enumerate() {
        draw_curve(&mut chart, index, curve)?;
    }
    for limit in limits {
        draw_limit(&mut chart, *limit)?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.9))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    root.present()?;
    Ok(())
}

/// Draws a curve with a step at each runaway that was found.
fn draw_curve(
    chart: &mut Chart<'_, '_>,
    index: usize,
    curve: &Curve,
) -> Result<(), Box<dyn Error>> {
    let color = Palette99::pick(index).to_rgba();
    let planted = curve.planted.max(1) as f64;
    let mut points = vec![(0.0, 0.0)];
    for (found, time) in curve.times.iter().enumerate() {
        points.push((*time, found as f64 / planted));
        points.push((*time, (found + 1) as f64 / planted));
    }
    let label = format!("{}: {} of {}", curve.name, curve.times.len(), curve.planted);
    chart
        .draw_series(LineSeries::new(points, color.stroke_width(2)))?
        .label(label)
        .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color.stroke_width(2)));
    Ok(())
}

fn draw_limit(chart: &mut Chart<'_, '_>, seconds: u64) -> Result<(), Box<dyn Error>> {
    let time = seconds as f64;
    let style = BLACK.mix(0.5).stroke_width(1);
    chart.draw_series(LineSeries::new(
        [(time, 0.0), (time, FRACTION_AXIS_MAX)],
        style,
    ))?;
    let text = format!("fixed limit {seconds} s");
    chart.draw_series([Text::new(text, (time + 0.4, 0.06), (FONT, 13))])?;
    Ok(())
}

#[cfg(test)]
mod tests;
