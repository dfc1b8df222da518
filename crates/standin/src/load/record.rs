//! Records of the outcome of every request, for comparison with the back ends' ledgers.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Outcome of a request as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete response arrived in time.
    Useful,
    /// The complete response arrived too late.
    Late,
    /// The last attempt was answered with an error of the service.
    Failed,
    /// The last attempt was answered as not executed.
    NotRun,
    /// It is unknown whether the last attempt was executed.
    Unknown,
    /// A response was marked complete, but is not the expected response to this request.
    Corrupt,
}

/// Record of one request and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Name that the client gave to the request.
    pub request: String,
    /// Name of the called service.
    pub service: String,
    /// Priority class of the request; empty if the client sent none.
    pub class: String,
    /// Idempotency key of the request, if it has one.
    pub key: Option<String>,
    /// Number of attempts made.
    pub attempts: u32,
    /// Numbers of the attempts that were answered as not executed; 1 is the first attempt.
    pub not_run_attempts: Vec<u32>,
    /// Numbers of the attempts that received a complete and correct response.
    pub complete_attempts: Vec<u32>,
    /// Final outcome of the request.
    pub outcome: Outcome,
    /// Reason for a refusal or an unknown outcome, or the status code of an error; empty otherwise.
    pub reason: String,
    /// Wall-clock time of the request's start in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Time from the request's start to its end in milliseconds.
    pub elapsed_ms: u64,
}

/// Writes request records to a file, or discards them if there is none.
pub struct Recorder {
    output: Option<Mutex<BufWriter<File>>>,
}

impl Recorder {
    /// Creates a recorder that writes to `output`.
    pub fn new(output: Option<BufWriter<File>>) -> Self {
        Recorder {
            output: output.map(Mutex::new),
        }
    }

    /// Writes one record. Errors are printed to standard error here or returned by
    /// [`Recorder::flush`], because the output is buffered.
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
            eprintln!("cannot write a request record to the record file: {error}");
        }
    }

    /// Writes all buffered records to the file.
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
