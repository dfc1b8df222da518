//! Many runs over threads, summarized by cell: one mesh, scenario and policy.

mod cell;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use lifthollow_coordination::PolicyKind;

use crate::measure::RunResult;
use crate::mesh::Mesh;
use crate::scenario::Scenario;
use crate::world::{WorldSettings, run_world};

pub use cell::{Cell, Spread};

/// What is swept.
#[derive(Clone, Debug)]
pub struct SweepPlan {
    /// The mesh.
    pub mesh: Mesh,
    /// The scenarios, one cell each.
    pub scenarios: Vec<Scenario>,
    /// The policy.
    pub policy: PolicyKind,
    /// The seeds of each cell.
    pub seeds: RangeInclusive<u64>,
    /// Runs at once.
    pub threads: usize,
}

/// Runs everything and hands out each cell, in the plan's order, as soon as it
/// and all before it are complete.
pub fn sweep(plan: &SweepPlan, mut each_cell: impl FnMut(Cell)) {
    let seeds = plan.seeds.clone().count();
    let runs = plan.scenarios.iter().flat_map(|scenario| {
        let seeds = plan.seeds.clone();
        seeds.map(|seed| (scenario.clone(), WorldSettings::new(plan.policy, seed)))
    });
    let runs: Vec<(Scenario, WorldSettings)> = runs.collect();
    let mut cell = Vec::new();
    run_in_order(&plan.mesh, &runs, plan.threads, |result| {
        cell.push(result);
        if cell.len() == seeds {
            each_cell(Cell::of(std::mem::take(&mut cell)));
        }
    });
}

/// Runs everything; the results come in the order of the runs.
pub fn run_all(mesh: &Mesh, runs: &[(Scenario, WorldSettings)], threads: usize) -> Vec<RunResult> {
    let mut results = Vec::new();
    run_in_order(mesh, runs, threads, |result| results.push(result));
    results
}

/// Runs on several threads and hands the results out in the order of the runs.
fn run_in_order(
    mesh: &Mesh,
    runs: &[(Scenario, WorldSettings)],
    threads: usize,
    each: impl FnMut(RunResult),
) {
    let next = AtomicUsize::new(0);
    let (sender, results) = flume::unbounded();
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            let (sender, next) = (sender.clone(), &next);
            scope.spawn(move || run_some(mesh, runs, next, &sender));
        }
        drop(sender);
        in_order(results, each);
    });
}

/// Takes runs one after another until none is left.
fn run_some(
    mesh: &Mesh,
    runs: &[(Scenario, WorldSettings)],
    next: &AtomicUsize,
    results: &flume::Sender<(usize, RunResult)>,
) {
    loop {
        let place = next.fetch_add(1, Ordering::Relaxed);
        let Some((scenario, settings)) = runs.get(place) else {
            return;
        };
        let result = run_world(mesh.clone(), scenario.clone(), *settings);
        if results.send((place, result)).is_err() {
            return;
        }
    }
}

fn in_order(results: flume::Receiver<(usize, RunResult)>, mut each: impl FnMut(RunResult)) {
    let mut waiting = BTreeMap::new();
    let mut next = 0;
    for (place, result) in results {
        waiting.insert(place, result);
        while let Some(result) = waiting.remove(&next) {
            each(result);
            next += 1;
        }
    }
}
