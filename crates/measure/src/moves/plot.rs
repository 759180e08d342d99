//! Share and failures over time, as SVG.

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::*;

use crate::moves::world::Point;

/// Width and height of the picture, in pixels.
const PICTURE: (u32, u32) = (960, 640);

/// Draws the course of a good move above that of a bad one.
///
/// # Errors
/// The file cannot be written.
pub fn draw(path: &Path, good: &[Point], bad: &[Point]) -> anyhow::Result<()> {
    let area = SVGBackend::new(path, PICTURE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| anyhow!("the plot cannot be drawn: {error}"))?;
    let halves = area.split_evenly((2, 1));
    panel(&halves[0], "a good version", good)?;
    panel(&halves[1], "a bad version", bad)?;
    area.present().map_err(|error| anyhow!("the plot cannot be written: {error}"))
}

fn panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    points: &[Point],
) -> anyhow::Result<()> {
    let end = points.last().map_or(1.0, |point| point.at_s);
    let begin = points.first().map_or(0.0, |point| point.at_s);
    let fault = |error| anyhow!("the plot cannot be drawn: {error}");
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(begin..end, 0.0..1.05)
        .map_err(fault)?;
    chart
        .configure_mesh()
        .x_desc("seconds from the start")
        .y_desc("share")
        .draw()
        .map_err(fault)?;
    let share = points.iter().map(|point| (point.at_s, point.share));
    let failures = points.iter().map(|point| (point.at_s, point.failures));
    chart
        .draw_series(LineSeries::new(share, &BLUE))
        .map_err(fault)?
        .label("calls to the new version")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], BLUE));
    chart
        .draw_series(LineSeries::new(failures, &RED))
        .map_err(fault)?
        .label("of these failed")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], RED));
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()
        .map_err(fault)?;
    Ok(())
}
