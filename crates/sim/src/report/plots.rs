//! The plots of the page, as SVG text.

use lifthollow_coordination::PolicyKind;
use plotters::coord::Shift;
use plotters::prelude::*;

use super::Comparison;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (760, 260);
/// Seconds of simulated time after which nothing new is drawn on a recovery axis.
const MARGIN: u32 = 10;
const LABEL_AREA: u32 = 44;

/// Why a plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("drawing a plot: {0}")]
pub struct PlotError(String);

fn plot_error(error: impl std::fmt::Display) -> PlotError {
    PlotError(error.to_string())
}

fn color(policy: usize) -> RGBColor {
    const COLORS: [RGBColor; 3] = [
        RGBColor(0, 110, 60),
        RGBColor(40, 90, 200),
        RGBColor(200, 50, 40),
    ];
    COLORS[policy % COLORS.len()]
}

/// Useful requests in each second under each policy, beside the offered ones; the
/// time of the disturbance is shaded.
pub fn goodput_over_time(comparison: &Comparison) -> Result<String, PlotError> {
    draw(|area| {
        let seconds = comparison.scenario.duration.as_secs_f64();
        let highest = highest_rate(comparison);
        let mut chart = ChartBuilder::on(area)
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(0.0..seconds, 0.0..highest * 1.05)
            .map_err(plot_error)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("requests a second")
            .draw()
            .map_err(plot_error)?;
        let start = comparison.scenario.disturbance_start().as_secs_f64();
        let end = comparison.scenario.disturbance_end().as_secs_f64();
        let shade = Rectangle::new(
            [(start, 0.0), (end, highest * 1.05)],
            BLACK.mix(0.07).filled(),
        );
        chart.draw_series([shade]).map_err(plot_error)?;
        let offered = comparison.results.first();
        if let Some(result) = offered {
            let line = LineSeries::new(points(&result.offered_by_second), BLACK.mix(0.4));
            chart.draw_series(line).map_err(plot_error)?;
        }
        for (policy, result) in comparison.results.iter().enumerate() {
            let line = LineSeries::new(points(&result.goodput_by_second), color(policy));
            chart.draw_series(line).map_err(plot_error)?;
        }
        Ok(())
    })
}

fn highest_rate(comparison: &Comparison) -> f64 {
    let results = comparison.results.iter();
    let counts = results.flat_map(|result| {
        let offered = result.offered_by_second.iter();
        offered.chain(&result.goodput_by_second)
    });
    counts.max().copied().unwrap_or(1).max(1) as f64
}

fn points(counts: &[u64]) -> impl Iterator<Item = (f64, f64)> + '_ {
    let seconds = counts.iter().enumerate();
    seconds.map(|(second, count)| (second as f64 + 0.5, *count as f64))
}

/// One group of bars for each scenario, a bar for each policy. A value of none is
/// drawn over the full height and marked.
pub fn bars(
    comparisons: &[Comparison],
    description: &str,
    value: impl Fn(&Comparison, usize) -> Option<f64>,
) -> Result<String, PlotError> {
    let policies = PolicyKind::ALL.len();
    let values: Vec<Vec<Option<f64>>> = comparisons
        .iter()
        .map(|comparison| {
            (0..policies)
                .map(|policy| value(comparison, policy))
                .collect()
        })
        .collect();
    let highest = values
        .iter()
        .flatten()
        .flatten()
        .copied()
        .fold(0.0, f64::max);
    let ceiling = if highest > 0.0 { highest * 1.1 } else { 1.0 };
    draw(|area| {
        let groups = comparisons.len() as f64;
        let mut chart = ChartBuilder::on(area)
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(0.0..groups, 0.0..ceiling)
            .map_err(plot_error)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_desc("scenario, by its number in the table")
            .y_desc(description)
            .draw()
            .map_err(plot_error)?;
        for (group, values) in values.iter().enumerate() {
            let shown = values.iter().enumerate();
            let rectangles = shown.map(|(policy, value)| bar(group, policy, *value, ceiling));
            chart.draw_series(rectangles).map_err(plot_error)?;
        }
        Ok(())
    })
}

fn bar(group: usize, policy: usize, value: Option<f64>, ceiling: f64) -> Rectangle<(f64, f64)> {
    let width = 0.8 / PolicyKind::ALL.len() as f64;
    let left = group as f64 + 0.1 + policy as f64 * width;
    let style = match value {
        Some(_) => color(policy).filled(),
        None => color(policy).mix(0.25).filled(),
    };
    let top = value.unwrap_or(ceiling);
    Rectangle::new([(left, 0.0), (left + width, top)], style)
}

fn draw(
    paint: impl Fn(&DrawingArea<SVGBackend<'_>, Shift>) -> Result<(), PlotError>,
) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        paint(&area)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}
