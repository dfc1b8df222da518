//! `lifthollow-sim scale`: the control plane alone, at thousands of nodes.

use anyhow::Result;
use argh::FromArgs;

use crate::scale::{self, FaultSet, ScaleSetup};

/// Simulate membership, configuration and leaving of a whole fleet. The last
/// line of the output is one JSON object.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
pub struct ScaleCommand {
    /// how many nodes (default 3600)
    #[argh(option, default = "3600")]
    nodes: u32,
    /// how many regions (default 8)
    #[argh(option, default = "8")]
    regions: u32,
    /// how many zones in all regions together (default 17)
    #[argh(option, default = "17")]
    zones: u32,
    /// how many services (default 410)
    #[argh(option, default = "410")]
    services: u32,
    /// seed of every random choice (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// fault, or several joined by `+`: none, loss, heavy-loss, pauses,
    /// rack-lost, zone-lost, regions-cut, mass-restart, cold-start, stale-service
    #[argh(option, default = "FaultSet::default()")]
    fault: FaultSet,
    /// simulated seconds (default 600; a cut of an hour needs 3900)
    #[argh(option, default = "600")]
    seconds: u32,
}

/// Runs the simulation and prints its result.
pub fn execute(command: &ScaleCommand) -> Result<()> {
    let setup = ScaleSetup {
        nodes: command.nodes,
        regions: command.regions,
        zones: command.zones,
        services: command.services,
        seed: command.seed,
        faults: command.fault.clone(),
        seconds: command.seconds,
    };
    setup.check()?;
    let result = scale::run(&setup);
    println!("{}", serde_json::to_string(&result)?);
    Ok(())
}
