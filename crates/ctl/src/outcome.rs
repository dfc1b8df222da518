//! The output and the exit code of a command.

use std::io;
use std::process::ExitCode;

use lifthollow_state::Findings;

/// The exit code of the program. The numbers are part of its interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// 0: done; for `table diff`, the rows are the same.
    Done = 0,
    /// 1: `table diff` found differences.
    Different = 1,
    /// 2: the arguments or a table have faults; nothing was changed.
    InvalidInput = 2,
    /// 3: a node could not be reached, or refused the request.
    NodeFailed = 3,
    /// 4: a file could not be read or written.
    FileFailed = 4,
}

impl Outcome {
    /// The outcome for an error that ended a command.
    pub fn of_error(error: &anyhow::Error) -> Self {
        if error.is::<Findings>() {
            return Outcome::InvalidInput;
        }
        if error.is::<io::Error>() {
            return Outcome::FileFailed;
        }
        Outcome::NodeFailed
    }
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> Self {
        ExitCode::from(outcome as u8)
    }
}

/// The result of a command that ran to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Text for standard output, without a final line break.
    pub text: String,
    /// The exit code of the program.
    pub outcome: Outcome,
}

impl Report {
    /// The report of a command that succeeded.
    pub fn done(text: impl Into<String>) -> Self {
        Report {
            text: text.into(),
            outcome: Outcome::Done,
        }
    }
}
