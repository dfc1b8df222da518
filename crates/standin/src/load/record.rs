//! How every request ended, for checks against the back ends' ledgers.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete answer came in time.
    Useful,
    /// The complete answer came too late.
    Late,
    /// The service answered with an error.
    Failed,
    /// The last attempt was told that it had not run.
    NotRun,
    /// Nothing is known of the last attempt.
    Unknown,
    /// An answer came as complete that is not the answer to this request.
    Corrupt,
}

/// One request and how it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The client's name for it.
    pub request: String,
    /// The service called.
    pub service: String,
    /// Priority class.
    pub class: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Attempts made.
    pub attempts: u32,
    /// Attempts that were told that they had not run.
    pub not_run_attempts: Vec<u32>,
    /// Attempts whose answer was a complete success.
    pub complete_attempts: Vec<u32>,
    /// The end.
    pub outcome: Outcome,
    /// Why it was refused or is unknown; empty otherwise.
    pub reason: String,
    /// Wall-clock time of its start in milliseconds.
    pub started_ms: u64,
    /// Time from its start to its end in milliseconds.
    pub elapsed_ms: u64,
}

/// Writes records to a file, if there is one.
pub struct Recorder {
    output: Option<Mutex<BufWriter<File>>>,
}

impl Recorder {
    /// A recorder that writes to `output`.
    pub fn new(output: Option<BufWriter<File>>) -> Self {
        Recorder {
            output: output.map(Mutex::new),
        }
    }

    /// Writes one record; an error shows at [`Recorder::flush`] at the latest.
    pub fn write(&self, record: &RequestRecord) {
        let Some(output) = &self.output else {
            return;
        };
        let Ok(mut line) = serde_json::to_vec(record) else {
            return;
        };
        line.push(b'\n');
        let mut output = output.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = output.write_all(&line) {
            eprintln!("cannot write a record: {error}");
        }
    }

    /// Writes out what is buffered.
    pub fn flush(&self) -> std::io::Result<()> {
        match &self.output {
            Some(output) => output
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .flush(),
            None => Ok(()),
        }
    }
}
