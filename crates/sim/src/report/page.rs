//! The page around the plots.

use std::fmt::Write;

use lifthollow_coordination::PolicyKind;
use lifthollow_state::PriorityClass;

use super::Comparison;
use super::plots::{PlotError, bars, goodput_over_time};
use crate::measure::RunResult;
use crate::mesh::Mesh;

const HEAD: &str = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
<style>body{font:15px sans-serif;max-width:900px;margin:2em auto}\
table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:2px 6px;text-align:right}\
td:first-child,td:nth-child(2),td:nth-child(3){text-align:left}</style>\n";

/// The whole page as HTML with the plots inside.
pub fn write_page(mesh: &Mesh, seed: u64, comparisons: &[Comparison]) -> Result<String, PlotError> {
    let mut page = String::from(HEAD);
    let title = format!("lifthollow-sim: {}, seed {seed}", mesh.name);
    page += &format!("<title>{title}</title></head><body><h1>{title}</h1>\n");
    page += &legend();
    page += &table(comparisons);
    page += &summary_plots(comparisons)?;
    page += "<h2>Goodput over time</h2>\n";
    for (number, comparison) in comparisons.iter().enumerate() {
        let name = &comparison.scenario.name;
        page += &format!(
            "<h3>{number}: {name}</h3>\n{}\n",
            goodput_over_time(comparison)?
        );
    }
    page += "</body></html>\n";
    Ok(page)
}

fn legend() -> String {
    const NAMES: [&str; 3] = ["green", "blue", "red"];
    let policies = PolicyKind::ALL.iter().zip(NAMES);
    let texts: Vec<String> = policies
        .map(|(policy, color)| format!("<b>{policy}</b> {color}"))
        .collect();
    format!(
        "<p>Policies: {}. Grey: offered requests; shaded: the disturbance; a pale bar \
         over the full height: never.</p>\n",
        texts.join(", ")
    )
}

fn summary_plots(comparisons: &[Comparison]) -> Result<String, PlotError> {
    let mut text = String::from("<h2>Goodput ratio</h2>\n");
    text += &bars(comparisons, "goodput ratio", |comparison, policy| {
        Some(comparison.results[policy].goodput_ratio)
    })?;
    text += "<h2>Recovery time</h2>\n";
    text += &bars(comparisons, "seconds", |comparison, policy| {
        comparison.results[policy].recovery_seconds
    })?;
    for class in PriorityClass::ALL {
        text += &format!("<h2>Requests lost: {class}</h2>\n");
        text += &bars(comparisons, "requests", |comparison, policy| {
            Some(comparison.results[policy].lost_by_class[class as usize] as f64)
        })?;
    }
    text += "<h2>Retries</h2>\n";
    text += &bars(comparisons, "retries", |comparison, policy| {
        Some(comparison.results[policy].retries as f64)
    })?;
    Ok(text)
}

fn table(comparisons: &[Comparison]) -> String {
    let mut text = String::from(
        "<table><tr><th>no.<th>scenario<th>policy<th>goodput ratio<th>recovery s\
         <th>retry amplification<th>critical lost<th>wasted work<th>violations</tr>\n",
    );
    for (number, comparison) in comparisons.iter().enumerate() {
        for result in &comparison.results {
            text += &row(number, result);
        }
    }
    text + "</table>\n"
}

fn row(number: usize, result: &RunResult) -> String {
    let recovery = result
        .recovery_seconds
        .map_or("never".to_owned(), |seconds| format!("{seconds:.0}"));
    format!(
        "<tr><td>{number}<td>{}<td>{}<td>{:.3}<td>{recovery}<td>{:.2}<td>{:.4}<td>{:.3}<td>{}</tr>\n",
        result.scenario,
        result.policy,
        result.goodput_ratio,
        result.retry_amplification,
        result.critical_lost_ratio,
        result.wasted_work_ratio,
        violations(result),
    )
}

fn violations(result: &RunResult) -> String {
    let mut text = String::new();
    for (name, count) in result.violations.named() {
        if count > 0 {
            let _ = write!(text, "{name} {count} ");
        }
    }
    text
}
