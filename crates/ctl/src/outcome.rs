//! What a command prints and the exit code it ends with.

use std::io;
use std::process::ExitCode;

use lifthollow_state::Findings;

/// How the program ends. The numbers are part of the interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// 0: done; for `table diff`, the rows are the same.
    Done = 0,
    /// 1: `table diff` found differences.
    Different = 1,
    /// 2: the arguments or a table have faults; nothing was changed.
    InvalidInput = 2,
    /// 3: a node could not be reached, or refused what was asked.
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

/// What a command that went through has to say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Text for standard output, without the last line end.
    pub text: String,
    /// How the program ends.
    pub outcome: Outcome,
}

impl Report {
    /// The report of a command that did what was asked.
    pub fn done(text: impl Into<String>) -> Self {
        Report {
            text: text.into(),
            outcome: Outcome::Done,
        }
    }
}
