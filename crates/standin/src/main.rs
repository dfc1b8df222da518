//! Entry point of `lifthollow-standin`.

use argh::FromArgs;
use lifthollow_standin::{backend, load, platform};

/// Stand-ins for what surrounds lifthollow: the platform's read-only service, back ends and
/// clients. Each subcommand is one process, prints JSON lines on standard output, and takes port
/// 0 as "chosen by the system". For tests and demonstrations on loopback only.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(platform::PlatformArguments),
    Backend(backend::BackendArguments),
    Load(load::LoadArguments),
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Platform(arguments) => platform::run(arguments),
        Command::Backend(arguments) => backend::run(arguments),
        Command::Load(arguments) => load::run(arguments),
    }
}
