//! Charts in SVG.

use std::{fmt::Display, path::Path};

use plotters::prelude::{
    BLACK, ChartBuilder, Color as _, IntoDrawingArea as _, IntoFont as _, LineSeries, Palette as _,
    Palette99, PathElement, Rectangle, SVGBackend, SeriesLabelPosition, Text, WHITE,
};

use crate::error::{Failure, Result};

const SIZE: (u32, u32) = (1_000, 560);
const MARGIN: u32 = 16;

/// A chart of grouped bars.
#[derive(Debug)]
pub struct Bars {
    /// The title.
    pub title: String,
    /// The names of the groups.
    pub groups: Vec<String>,
    /// The name of each series and its value in each group.
    pub series: Vec<(String, Vec<f64>)>,
    /// The value at which a reference line is drawn.
    pub reference: f64,
}

/// A line chart of values by percentile.
#[derive(Debug)]
pub struct Percentiles {
    /// The title.
    pub title: String,
    /// The name of each line and its points: percentile and value in milliseconds.
    pub lines: Vec<(String, Vec<(f64, f64)>)>,
}

/// Draws groups of horizontal bars.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn bars(file: &Path, bars: &Bars) -> Result<()> {
    draw_bars(file, bars).map_err(|e| draw_failure(file, e.as_ref()))
}

/// Draws latency by percentile; each further nine of the percentile takes the same width.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn percentiles(file: &Path, plot: &Percentiles) -> Result<()> {
    draw_percentiles(file, plot).map_err(|e| draw_failure(file, e.as_ref()))
}

type DrawResult = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw_bars(file: &Path, bars: &Bars) -> DrawResult {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let values = bars.series.iter().flat_map(|(_, values)| values);
    let max = values.copied().fold(bars.reference, f64::max) * 1.1;
    let groups = bars.groups.len().max(1) as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption(&bars.title, ("sans-serif", 20).into_font())
        .margin(MARGIN)
        .x_label_area_size(36)
        .y_label_area_size(8)
        .build_cartesian_2d(0.0..max, 0.0..groups)?;
    chart.configure_mesh().disable_y_mesh().disable_y_axis().x_desc("burn").draw()?;
    // A tenth of each group is left empty on both sides, and a fifth holds its name.
    let height = 0.6 / bars.series.len().max(1) as f64;
    for (i, (name, values)) in bars.series.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let rectangles = values.iter().enumerate().map(|(group, value)| {
            let top = groups - group as f64 - 0.3 - i as f64 * height;
            Rectangle::new([(0.0, top - height), (*value, top)], color.filled())
        });
        chart
            .draw_series(rectangles)?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    let names = bars.groups.iter().enumerate().map(|(group, name)| {
        let at = (0.0, groups - group as f64 - 0.08);
        Text::new(name.clone(), at, ("sans-serif", 13).into_font())
    });
    chart.draw_series(names)?;
    chart
        .draw_series(LineSeries::new([(bars.reference, 0.0), (bars.reference, groups)], &BLACK))?;
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.filled())
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

fn draw_percentiles(file: &Path, plot: &Percentiles) -> DrawResult {
    let nines = |percentile: f64| -(1.0 - percentile / 100.0).log10();
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    // The maximum (percentile 100) would be infinitely far to the right.
    let finite = |it: &&(f64, f64)| it.0 < 100.0;
    let points = || plot.lines.iter().flat_map(|(_, points)| points).filter(finite);
    let max_ms = points().map(|it| it.1).fold(1.0, f64::max) * 1.1;
    let max_nines = points().map(|it| nines(it.0)).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(&plot.title, ("sans-serif", 20).into_font())
        .margin(MARGIN)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..max_nines, 0.0..max_ms)?;
    let percentile = |nines: &f64| format!("{:.4}", 100.0 * (1.0 - 10f64.powf(-nines)));
    let trimmed = |it: &f64| percentile(it).trim_end_matches('0').trim_end_matches('.').to_owned();
    chart
        .configure_mesh()
        .x_labels(4)
        .x_label_formatter(&trimmed)
        .x_desc("percentile")
        .y_desc("first byte, ms")
        .draw()?;
    for (i, (name, points)) in plot.lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let points = points.iter().filter(finite).map(|(percentile, ms)| (nines(*percentile), *ms));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.filled())
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

fn draw_failure(file: &Path, error: &dyn Display) -> Failure {
    Failure::Refused(format!("{}: the chart cannot be drawn: {error}", file.display()))
}
