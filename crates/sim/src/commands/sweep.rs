//! `sweep`: many scenarios and seeds of one mesh and policy.

use std::ops::RangeInclusive;

use anyhow::{Context, Result, bail};
use argh::FromArgs;
use lifthollow_coordination::PolicyKind;

use super::run::{all_findings, mesh};
use crate::mesh::Mesh;
use crate::scenario::{Scenario, builtin_names, named_scenario};
use crate::sweep::{SweepPlan, sweep};

/// Runs at once unless stated otherwise.
const DEFAULT_THREADS: usize = 4;

/// Run scenarios over many seeds; one JSON line for each scenario, with medians
/// and worst values.
#[derive(FromArgs)]
#[argh(subcommand, name = "sweep")]
pub struct SweepCommand {
    /// the mesh: midlands, sofia or deep-chain
    #[argh(option)]
    mesh: String,
    /// a scenario as for `run`, or `all`, `pairs` (each two at once) or `twice`
    /// (each twice in a row)
    #[argh(option)]
    scenario: String,
    /// the policy: lifthollow, static-limits or passthrough
    #[argh(option)]
    policy: PolicyKind,
    /// the seeds, as `1..20`, both included
    #[argh(option, from_str_fn(parse_seeds))]
    seeds: RangeInclusive<u64>,
    /// runs at once (default 4)
    #[argh(option, default = "DEFAULT_THREADS")]
    threads: usize,
}

fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let bounds = text.split_once("..").ok_or("seeds are given as `1..20`")?;
    let parse = |bound: &str| bound.parse::<u64>().map_err(|error| error.to_string());
    let (first, last) = (parse(bounds.0)?, parse(bounds.1)?);
    if first > last {
        return Err("the first seed must not be above the last".to_owned());
    }
    Ok(first..=last)
}

/// Runs the sweep and prints its cells.
pub fn execute(command: &SweepCommand) -> Result<()> {
    let mesh = mesh(&command.mesh)?;
    let scenarios = scenarios(&command.scenario, &mesh)?;
    eprintln!(
        "{} scenarios with {} seeds each under {}",
        scenarios.len(),
        command.seeds.clone().count(),
        command.policy
    );
    let plan = SweepPlan {
        mesh,
        scenarios,
        policy: command.policy,
        seeds: command.seeds.clone(),
        threads: command.threads,
    };
    let mut printed = Ok(());
    sweep(&plan, |cell| match serde_json::to_string(&cell) {
        Ok(line) => println!("{line}"),
        Err(error) => printed = Err(error),
    });
    printed.context("writing a cell as JSON")
}

/// The scenarios of a name: one, or all of a group.
pub fn scenarios(name: &str, mesh: &Mesh) -> Result<Vec<Scenario>> {
    let names: Vec<String> = match name {
        "all" => builtin_names().map(str::to_owned).collect(),
        "twice" => builtin_names().map(|name| format!("{name}*2")).collect(),
        "pairs" => pairs(),
        name => vec![name.to_owned()],
    };
    if names.is_empty() {
        bail!("no scenario is named");
    }
    let scenarios = names.iter().map(|name| named_scenario(name, mesh));
    let checked: Result<Vec<Scenario>, _> = scenarios.collect();
    checked.map_err(|findings| all_findings(&findings))
}

/// Every two different scenarios; `steady` adds nothing to a pair.
fn pairs() -> Vec<String> {
    let names: Vec<&str> = builtin_names().filter(|name| *name != "steady").collect();
    let mut pairs = Vec::new();
    for (place, first) in names.iter().enumerate() {
        for second in &names[place + 1..] {
            pairs.push(format!("{first}+{second}"));
        }
    }
    pairs
}
