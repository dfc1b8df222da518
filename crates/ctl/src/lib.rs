//! `lifthollowctl`, the operators' client: checks, compares and edits tables,
//! and queries the state of running nodes.

pub mod arguments;
mod columns;
mod duration;
mod file;
pub mod logs;
pub mod node;
pub mod outcome;
pub mod table;

use std::io::{self, Write};

use argh::FromArgs;

use crate::arguments::{Arguments, Command};
use crate::outcome::{Outcome, Report};

/// Runs the program with its command line, whose first element is the program's
/// name.
pub fn main_with(words: &[String]) -> Outcome {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["lifthollowctl"], words.get(1..).unwrap_or(&[])) {
        Ok(arguments) => arguments,
        Err(exit) => return show_early_exit(&exit),
    };
    match run(&arguments.command) {
        Ok(report) => show(&report),
        Err(error) => {
            eprintln!("{error:#}");
            Outcome::of_error(&error)
        }
    }
}

/// Runs one command.
pub fn run(command: &Command) -> anyhow::Result<Report> {
    match command {
        Command::Table(command) => table::run(&command.action),
        Command::Status(command) => node::status(command),
        Command::Explain(command) => node::explain(command),
        Command::Members(command) => node::members(&command.address),
        Command::Leaving(command) => node::leaving(&command.address),
        Command::Claim(command) => node::claim(command),
        Command::Snapshot(command) => node::snapshot(command),
        Command::Causes(command) => logs::causes(command),
    }
}

/// Prints the requested help, or the faults of the arguments.
fn show_early_exit(exit: &argh::EarlyExit) -> Outcome {
    match exit.status {
        Ok(()) => show(&Report::done(exit.output.trim_end().to_owned())),
        Err(()) => {
            eprintln!("{}", exit.output.trim_end());
            Outcome::InvalidInput
        }
    }
}

/// Prints a report. A closed pipe is not a failure: the reader may stop early.
fn show(report: &Report) -> Outcome {
    match writeln!(io::stdout().lock(), "{}", report.text) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            eprintln!("can't write the report: {error}");
            Outcome::FileFailed
        }
        _ => report.outcome,
    }
}
