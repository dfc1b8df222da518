//! Starts stand-ins for tests.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use lifthollow_standin::backend::LedgerReport;
use lifthollow_standin::experiment::process::Process;
use lifthollow_standin::json_lines::ReadyLine;
use lifthollow_standin::load::Summary;

/// Longer than anything here takes; only a hanging test reaches it.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// A stand-in that listens.
pub struct Standin {
    /// Kept so that the process is stopped with the test.
    _process: Process,
    /// Where it listens.
    pub ready: ReadyLine,
}

impl Standin {
    /// Starts a subcommand and waits until it listens.
    pub fn start(arguments: &[&str]) -> Standin {
        let process = start(arguments);
        let ready = process.ready_line().expect("the stand-in becomes ready");
        Standin {
            _process: process,
            ready,
        }
    }

    /// Address of the service itself.
    pub fn address(&self) -> SocketAddr {
        self.ready.addresses[0]
    }

    /// Sends a body to the control port.
    pub fn put(&self, path: &str, body: &str) {
        let url = format!("http://{}{path}", self.ready.control);
        let answer = attohttpc::put(url).text(body).send().expect("control");
        assert!(answer.is_success(), "{}", answer.status());
    }

    /// A back end's ledger.
    pub fn ledger(&self) -> LedgerReport {
        let url = format!("http://{}/ledger", self.ready.control);
        let answer = attohttpc::get(url).send().expect("ledger");
        serde_json::from_slice(&answer.bytes().expect("body")).expect("ledger")
    }
}

/// Starts a subcommand.
pub fn start(arguments: &[&str]) -> Process {
    let program = Path::new(env!("CARGO_BIN_EXE_lifthollow-standin"));
    let arguments: Vec<String> = arguments.iter().map(|&text| text.to_owned()).collect();
    Process::start(&arguments[0], program, &arguments, Path::new("/dev/null")).expect("starts")
}

/// Runs a load to its end and returns its summary.
pub fn run_load(arguments: &[&str]) -> Summary {
    let mut process = start(arguments);
    let status = process.wait(PATIENCE).expect("the load ends");
    assert!(status.success());
    let mut last = String::new();
    while let Ok(line) = process.next_line(PATIENCE) {
        last = line;
    }
    serde_json::from_str(&last).expect("a summary")
}
