//! `run`: one scenario on one mesh under one policy.

use std::fs;
use std::time::Instant;

use anyhow::{Context, Result, anyhow, bail};
use argh::FromArgs;
use lifthollow_coordination::PolicyKind;

use crate::mesh::Mesh;
use crate::scenario::{Scenario, ScenarioFinding, named_scenario, parse_scenario};
use crate::world::{WorldSettings, run_world};

/// Run one scenario; the last line on stdout is the result as one JSON object.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunCommand {
    /// the mesh: midlands, sofia or deep-chain
    #[argh(option)]
    mesh: String,
    /// a built-in scenario, `a+b` for two at once, `a*2` for twice in a row
    #[argh(option)]
    scenario: Option<String>,
    /// a scenario file (TOML), instead of a built-in scenario
    #[argh(option)]
    scenario_file: Option<String>,
    /// the policy: lifthollow, static-limits or passthrough
    #[argh(option)]
    policy: PolicyKind,
    /// seed of every random choice
    #[argh(option)]
    seed: u64,
}

/// Runs the scenario and prints its result.
pub fn execute(command: &RunCommand) -> Result<()> {
    let mesh = mesh(&command.mesh)?;
    let scenario = scenario(command, &mesh)?;
    eprintln!(
        "simulating {} s of {} under {}",
        scenario.duration.as_secs_f64(),
        scenario.name,
        command.policy
    );
    let began = Instant::now();
    let settings = WorldSettings::new(command.policy, command.seed);
    let result = run_world(mesh, scenario, settings);
    eprintln!("done in {:.2} s", began.elapsed().as_secs_f64());
    println!("{}", serde_json::to_string(&result)?);
    Ok(())
}

/// The mesh of a name, or an error that says which there are.
pub fn mesh(name: &str) -> Result<Mesh> {
    Mesh::by_name(name)
        .with_context(|| format!("no mesh `{name}`; there are: {}", Mesh::NAMES.join(", ")))
}

fn scenario(command: &RunCommand, mesh: &Mesh) -> Result<Scenario> {
    let checked = match (&command.scenario, &command.scenario_file) {
        (Some(name), None) => named_scenario(name, mesh),
        (None, Some(file)) => {
            let text = fs::read_to_string(file).with_context(|| format!("reading {file}"))?;
            parse_scenario(file, file, &text, mesh)
        }
        _ => bail!("give either --scenario or --scenario-file"),
    };
    checked.map_err(|findings| all_findings(&findings))
}

/// One error for all findings, a line for each.
pub fn all_findings(findings: &[ScenarioFinding]) -> anyhow::Error {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    anyhow!("the scenario is not valid:\n{}", lines.join("\n"))
}
