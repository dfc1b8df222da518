//! Entry point of `lifthollow-standin`.

use argh::FromArgs;
use lifthollow_standin::experiment::{bench, demo, faults};
use lifthollow_standin::{backend, load, platform};

/// Stand-ins for what surrounds lifthollow: the platform's read-only service, back ends and
/// clients; and experiments that run them together with nodes. Each stand-in is one process, prints
/// JSON lines on standard output, and takes port 0 as "chosen by the system". For loopback only.
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
    RunDemo(demo::DemoArguments),
    RunBench(bench::BenchArguments),
    RunFaults(faults::FaultsArguments),
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Platform(arguments) => platform::run(arguments),
        Command::Backend(arguments) => backend::run(arguments),
        Command::Load(arguments) => load::run(arguments),
        Command::RunDemo(arguments) => demo::run(arguments),
        Command::RunBench(arguments) => bench::run(arguments),
        Command::RunFaults(arguments) => faults::run(arguments),
    }
}
