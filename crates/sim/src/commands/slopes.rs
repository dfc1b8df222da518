//! `lifthollow-sim slopes`: what a node spends as the fleet grows.

use anyhow::Result;
use argh::FromArgs;

use crate::scale::{self, FaultSet, ScaleResult, ScaleSetup};

/// Print what a node spends at 100, 300, 1,000 and 3,600 nodes as a table.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesCommand {
    /// seed of every random choice (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// fault, as for `scale` (default loss)
    #[argh(option, default = "FaultSet::loss()")]
    fault: FaultSet,
    /// simulated seconds of each run (default 300)
    #[argh(option, default = "300")]
    seconds: u32,
}

/// Nodes, regions, zones and services of each size.
const SIZES: [(u32, u32, u32, u32); 4] = [
    (100, 2, 3, 12),
    (300, 3, 5, 35),
    (1_000, 5, 9, 115),
    (3_600, 8, 17, 410),
];

/// Runs every size and prints a row for each.
pub fn execute(command: &SlopesCommand) -> Result<()> {
    println!(
        "| nodes | bytes/s p99 | bytes/s mean | messages/s p99 | CPU of a core p99 | CPU mean \
         | state bytes p99 | convergence s max | detection s p99 | leaving s max |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for (nodes, regions, zones, services) in SIZES {
        let setup = ScaleSetup {
            nodes,
            regions,
            zones,
            services,
            seed: command.seed,
            faults: command.fault.clone(),
            seconds: command.seconds,
        };
        setup.check()?;
        print_row(&scale::run(&setup));
    }
    Ok(())
}

fn print_row(result: &ScaleResult) {
    println!(
        "| {} | {} | {:.0} | {} | {:.5} | {:.6} | {} | {:.2} | {:.2} | {:.2} |",
        result.nodes,
        result.control_bytes_per_second_p99,
        result.control_bytes_per_second_mean,
        result.control_messages_per_second_p99,
        result.control_cpu_core_fraction_p99,
        result.control_cpu_core_fraction_mean,
        result.state_bytes_per_node_p99,
        result.config_convergence_seconds_max,
        result.failure_detection_seconds_p99,
        result.leaving_last_new_work_seconds_max,
    );
}
