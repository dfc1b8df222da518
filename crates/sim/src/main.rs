//! Entry point of `lifthollow-sim`.

use std::process::ExitCode;

use lifthollow_sim::commands::{Arguments, execute};

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match execute(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lifthollow-sim: {error:#}");
            ExitCode::FAILURE
        }
    }
}
