//! Owns the study's plot.

use plotters::prelude::*;

/// Share of runaways found by time, a curve a condition, with fixed limits beside. SVG text.
pub fn found_by_time(curves: &[(String, Vec<f64>, usize)], limits: &[u64]) -> String {
    let mut svg = String::new();
    // Drawing into a text can't fail for want of anything outside.
    if draw(&mut svg, curves, limits).is_err() {
        svg.clear();
    }
    svg
}

fn draw(
    svg: &mut String,
    curves: &[(String, Vec<f64>, usize)],
    limits: &[u64],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, (960, 540)).into_drawing_area();
    root.fill(&WHITE)?;
    let title = "Runaways found, by time since an engine took them (simulated servers)";
    let latest = curves
        .iter()
        .filter_map(|c| c.1.last())
        .fold(30.0, |a: f64, b| a.max(*b));
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..(latest.max(62.0) * 1.02), 0.0..1.02)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("share found")
        .light_line_style(WHITE)
        .draw()?;
    for (n, (word, found, planted)) in curves.iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        // A step at each one found.
        let mut points = vec![(0.0, 0.0)];
        for (at, after) in found.iter().enumerate() {
            points.push((*after, at as f64 / (*planted).max(1) as f64));
            points.push((*after, (at + 1) as f64 / (*planted).max(1) as f64));
        }
        let label = format!("{word}: {} of {planted}", found.len());
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color.stroke_width(2)));
    }
    for limit in limits {
        let at = *limit as f64;
        let line = BLACK.mix(0.5).stroke_width(1);
        chart.draw_series(LineSeries::new([(at, 0.0), (at, 1.02)], line))?;
        let text = format!("fixed limit {limit} s");
        chart.draw_series([Text::new(text, (at + 0.4, 0.06), ("sans-serif", 13))])?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.9))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    root.present()?;
    drop(chart);
    drop(root);
    Ok(())
}

#[cfg(test)]
mod tests;
