//! A page that compares the policies on the same scenarios and seed.

mod page;
mod plots;

use lifthollow_coordination::PolicyKind;

use crate::measure::RunResult;
use crate::mesh::Mesh;
use crate::scenario::Scenario;
use crate::sweep::run_all;
use crate::world::WorldSettings;

pub use page::write_page;

/// One scenario under every policy.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The scenario.
    pub scenario: Scenario,
    /// A result for each policy, in the order of [`PolicyKind::ALL`].
    pub results: Vec<RunResult>,
}

/// Runs every scenario under every policy with one seed.
pub fn compare(mesh: &Mesh, scenarios: &[Scenario], seed: u64, threads: usize) -> Vec<Comparison> {
    let runs: Vec<(Scenario, WorldSettings)> = scenarios
        .iter()
        .flat_map(|scenario| {
            PolicyKind::ALL.map(|policy| (scenario.clone(), WorldSettings::new(policy, seed)))
        })
        .collect();
    let results = run_all(mesh, &runs, threads);
    let grouped = results.chunks(PolicyKind::ALL.len());
    scenarios
        .iter()
        .zip(grouped)
        .map(|(scenario, results)| Comparison {
            scenario: scenario.clone(),
            results: results.to_vec(),
        })
        .collect()
}
