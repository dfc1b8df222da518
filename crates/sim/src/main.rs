//! Entry point of `lifthollow-sim`.

mod commands;

use argh::FromArgs;

use commands::claims_search::ClaimsSearch;

/// Deterministic simulation of lifthollow on a virtual clock.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    ClaimsSearch(ClaimsSearch),
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::ClaimsSearch(command) => command.run(),
    }
}
