//! The command line of `lifthollow-sim`.

mod claims_search;
mod list;
mod run;

use anyhow::Result;
use argh::FromArgs;

use claims_search::ClaimsSearchCommand;
use list::ListCommand;
use run::RunCommand;

/// Simulate a mesh of lifthollow nodes on a virtual clock.
///
/// Every run is deterministic: the same arguments give the same result and the
/// same `trace_hash`.
#[derive(FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    ClaimsSearch(ClaimsSearchCommand),
    List(ListCommand),
    Run(RunCommand),
}

/// Carries out the command that the arguments name.
pub fn execute(arguments: &Arguments) -> Result<()> {
    match &arguments.command {
        Command::ClaimsSearch(command) => claims_search::execute(command),
        Command::List(command) => list::execute(command),
        Command::Run(command) => run::execute(command),
    }
}
