//! Processes that an experiment starts, and stops again whatever happens.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use anyhow::Context;
use rustix::process::{Pid, Signal, kill_process};

use crate::json_lines::ReadyLine;

/// How long a started process may take until it says where it listens.
pub const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Lines of output kept until they are taken; later ones only go to the log.
const MAX_KEPT_LINES: usize = 10_000;
const WAIT_INTERVAL: Duration = Duration::from_millis(20);

/// One process; dropping it kills it.
pub struct Process {
    name: String,
    child: Child,
    lines: flume::Receiver<String>,
}

impl Process {
    /// Starts `program`; its standard output and standard error also go to the file `log`.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        log: &Path,
    ) -> anyhow::Result<Self> {
        let log = File::create(log).with_context(|| format!("cannot write {}", log.display()))?;
        let log_copy = log.try_clone()?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        let (sender, lines) = flume::bounded(MAX_KEPT_LINES);
        if let Some(output) = child.stdout.take() {
            std::thread::spawn(move || forward_lines(output, &sender, log_copy));
        }
        Ok(Process {
            name: name.to_owned(),
            child,
            lines,
        })
    }

    /// The name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The next line of standard output.
    pub fn next_line(&self, timeout: Duration) -> anyhow::Result<String> {
        self.lines
            .recv_timeout(timeout)
            .with_context(|| format!("{} printed nothing", self.name))
    }

    /// The lines printed so far and not yet taken.
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        self.lines.try_iter()
    }

    /// The line in which a stand-in says where it listens.
    pub fn ready_line(&self) -> anyhow::Result<ReadyLine> {
        let line = self.next_line(READY_TIMEOUT)?;
        serde_json::from_str(&line).with_context(|| format!("{} printed `{line}`", self.name))
    }

    /// Sends a signal to this process alone.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.context("the process has no id")?;
        kill_process(pid, signal).with_context(|| format!("cannot signal {}", self.name))
    }

    /// Whether the process has ended.
    pub fn exit_status(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits for the process's end.
    pub fn wait(&mut self, timeout: Duration) -> anyhow::Result<ExitStatus> {
        let end = Instant::now() + timeout;
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            anyhow::ensure!(Instant::now() < end, "{} did not end", self.name);
            std::thread::sleep(WAIT_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Copies every line to the log, and keeps as many as there is room for.
fn forward_lines(output: ChildStdout, sender: &flume::Sender<String>, mut log: File) {
    for line in BufReader::new(output).lines() {
        let Ok(line) = line else { return };
        let _ = writeln!(log, "{line}");
        let _ = sender.try_send(line);
    }
}
