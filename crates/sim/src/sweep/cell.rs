//! The summary of one cell: medians and worst values over its seeds.

use serde::Serialize;

use crate::measure::RunResult;
use crate::observe::Violations;

/// Median and worst of a figure; `null` where it was never reached.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The middle value.
    pub median: Option<f64>,
    /// The worst value.
    pub worst: Option<f64>,
}

/// All runs of one mesh, scenario and policy.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    /// The mesh's name.
    pub mesh: String,
    /// The scenario's name.
    pub scenario: String,
    /// The policy's name.
    pub policy: String,
    /// Number of seeds.
    pub seeds: usize,
    /// The seed with the least `goodput_ratio`.
    pub worst_seed: u64,
    /// See [`RunResult::goodput_ratio`]; the worst is the least.
    pub goodput_ratio: Spread,
    /// See [`RunResult::recovery_seconds`]; `null` is worse than any time.
    pub recovery_seconds: Spread,
    /// See [`RunResult::retry_amplification`].
    pub retry_amplification: Spread,
    /// See [`RunResult::max_retries_per_request`].
    pub max_retries_per_request: u32,
    /// See [`RunResult::critical_lost_ratio`].
    pub critical_lost_ratio: Spread,
    /// See [`RunResult::refusal_delay_seconds_p99`].
    pub refusal_delay_seconds_p99: Spread,
    /// See [`RunResult::wasted_work_ratio`].
    pub wasted_work_ratio: Spread,
    /// Sums over all seeds.
    pub violations: Violations,
    /// Seeds with any violation, at most the first ten.
    pub violating_seeds: Vec<u64>,
}

/// How many violating seeds a cell names.
const NAMED_SEEDS: usize = 10;

impl Cell {
    /// The summary of some runs, at least one.
    pub fn of(mut runs: Vec<RunResult>) -> Cell {
        runs.sort_by_key(|run| run.seed);
        let least = |a: &&RunResult, b: &&RunResult| a.goodput_ratio.total_cmp(&b.goodput_ratio);
        let worst = runs.iter().min_by(least);
        let names = runs.first();
        let largest = |figure: fn(&RunResult) -> f64| spread(&runs, figure);
        Cell {
            mesh: names.map(|run| run.mesh.clone()).unwrap_or_default(),
            scenario: names.map(|run| run.scenario.clone()).unwrap_or_default(),
            policy: names.map(|run| run.policy.clone()).unwrap_or_default(),
            seeds: runs.len(),
            worst_seed: worst.map_or(0, |run| run.seed),
            goodput_ratio: negated(largest(|run| -run.goodput_ratio)),
            recovery_seconds: largest(|run| run.recovery_seconds.unwrap_or(f64::INFINITY)),
            retry_amplification: largest(|run| run.retry_amplification),
            max_retries_per_request: retries(&runs),
            critical_lost_ratio: largest(|run| run.critical_lost_ratio),
            refusal_delay_seconds_p99: largest(|run| run.refusal_delay_seconds_p99),
            wasted_work_ratio: largest(|run| run.wasted_work_ratio),
            violations: violations(&runs),
            violating_seeds: violating_seeds(&runs),
        }
    }
}

fn retries(runs: &[RunResult]) -> u32 {
    let retries = runs.iter().map(|run| run.max_retries_per_request);
    retries.max().unwrap_or(0)
}

fn violations(runs: &[RunResult]) -> Violations {
    let each = runs.iter().map(|run| run.violations);
    each.fold(Violations::default(), Violations::plus)
}

fn violating_seeds(runs: &[RunResult]) -> Vec<u64> {
    let violating = runs.iter().filter(|run| run.violations.total() > 0);
    violating.map(|run| run.seed).take(NAMED_SEEDS).collect()
}

/// Median and worst of a figure of which large values are bad. With an even
/// count of runs the median is the worse one of the two in the middle.
fn spread(runs: &[RunResult], figure: fn(&RunResult) -> f64) -> Spread {
    let mut values: Vec<f64> = runs.iter().map(figure).collect();
    values.sort_by(f64::total_cmp);
    Spread {
        median: finite(values.get(values.len() / 2)),
        worst: finite(values.last()),
    }
}

fn finite(value: Option<&f64>) -> Option<f64> {
    value.copied().filter(|value| value.is_finite())
}

fn negated(spread: Spread) -> Spread {
    Spread {
        median: spread.median.map(|value| -value),
        worst: spread.worst.map(|value| -value),
    }
}
