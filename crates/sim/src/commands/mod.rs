//! The command line of `lifthollow-sim`.

mod claims_search;
mod list;
mod report;
mod run;
mod scale;
mod slopes;
mod sweep;

use anyhow::Result;
use argh::FromArgs;

use claims_search::ClaimsSearchCommand;
use list::ListCommand;
use report::ReportCommand;
use run::RunCommand;
use scale::ScaleCommand;
use slopes::SlopesCommand;
use sweep::SweepCommand;

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
    Scale(ScaleCommand),
    Slopes(SlopesCommand),
    ClaimsSearch(ClaimsSearchCommand),
    List(ListCommand),
    Run(RunCommand),
    Sweep(SweepCommand),
    Report(ReportCommand),
}

/// Carries out the command that the arguments name.
pub fn execute(arguments: &Arguments) -> Result<()> {
    match &arguments.command {
        Command::Scale(command) => scale::execute(command),
        Command::Slopes(command) => slopes::execute(command),
        Command::ClaimsSearch(command) => claims_search::execute(command),
        Command::List(command) => list::execute(command),
        Command::Run(command) => run::execute(command),
        Command::Sweep(command) => sweep::execute(command),
        Command::Report(command) => report::execute(command),
    }
}
