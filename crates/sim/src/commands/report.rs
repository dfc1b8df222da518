//! `report`: an HTML page that compares the policies.

use std::fs;
use std::path::PathBuf;

use anyhow::{Context, Result};
use argh::FromArgs;

use super::run::mesh;
use super::sweep::scenarios;
use crate::report::{compare, write_page};

/// Run scenarios under every policy and write an HTML page with plots: goodput
/// over time, recovery times, requests lost by class, retries.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportCommand {
    /// the mesh: midlands, sofia or deep-chain
    #[argh(option)]
    mesh: String,
    /// a scenario as for `run`, or `all`, `pairs` or `twice` (default all)
    #[argh(option, default = "String::from(\"all\")")]
    scenario: String,
    /// seed of every random choice (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// runs at once (default 4)
    #[argh(option, default = "4")]
    threads: usize,
    /// the file to write
    #[argh(option)]
    out: PathBuf,
}

/// Runs everything and writes the page.
pub fn execute(command: &ReportCommand) -> Result<()> {
    let mesh = mesh(&command.mesh)?;
    let scenarios = scenarios(&command.scenario, &mesh)?;
    eprintln!("running {} scenarios under every policy", scenarios.len());
    let comparisons = compare(&mesh, &scenarios, command.seed, command.threads);
    let page = write_page(&mesh, command.seed, &comparisons)?;
    fs::write(&command.out, page).with_context(|| format!("writing {}", command.out.display()))?;
    println!("{}", command.out.display());
    Ok(())
}
