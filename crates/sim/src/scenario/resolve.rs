//! Scenario names: `NAME`, `NAME+NAME` (both at once) and `NAME*2` (twice in a row).

use std::time::Duration;

use super::{Scenario, ScenarioFinding, builtin_text, parse_scenario};
use crate::mesh::Mesh;

/// Time between the end of a disturbance and its second occurrence.
const REPEAT_GAP: Duration = Duration::from_secs(5);

/// The scenario of a name, a pair or a repetition of built-in scenarios.
pub fn named_scenario(name: &str, mesh: &Mesh) -> Result<Scenario, Vec<ScenarioFinding>> {
    if let Some((first, second)) = name.split_once('+') {
        let pair = combine(builtin(first, mesh)?, builtin(second, mesh)?);
        return Ok(renamed(pair, name));
    }
    if let Some(single) = name.strip_suffix("*2") {
        return Ok(renamed(twice(builtin(single, mesh)?), name));
    }
    builtin(name, mesh)
}

fn builtin(name: &str, mesh: &Mesh) -> Result<Scenario, Vec<ScenarioFinding>> {
    let Some(text) = builtin_text(name) else {
        return Err(vec![ScenarioFinding {
            place: name.to_owned(),
            message: "no built-in scenario has this name".to_owned(),
        }]);
    };
    parse_scenario(&format!("{name}.toml"), name, text, mesh)
}

/// Both fault lists at once, under the larger load that both allow.
fn combine(first: Scenario, second: Scenario) -> Scenario {
    let load = first.load.min(second.load);
    let weights = if first.weights == super::file::DEFAULT_WEIGHTS {
        second.weights
    } else {
        first.weights
    };
    Scenario {
        duration: first.duration.max(second.duration),
        load,
        weights,
        faults: first.faults.into_iter().chain(second.faults).collect(),
        name: String::new(),
    }
}

/// The fault list, and once more after it has ended.
fn twice(scenario: Scenario) -> Scenario {
    let shift = scenario.disturbance_end() - scenario.disturbance_start() + REPEAT_GAP;
    let mut faults = scenario.faults.clone();
    for fault in &scenario.faults {
        let mut again = fault.clone();
        again.at += shift;
        faults.push(again);
    }
    Scenario {
        duration: scenario.duration + shift,
        faults,
        ..scenario
    }
}

fn renamed(scenario: Scenario, name: &str) -> Scenario {
    Scenario {
        name: name.to_owned(),
        ..scenario
    }
}
