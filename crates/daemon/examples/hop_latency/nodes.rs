//! The two `lifthollowd` processes that are measured.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use serde::Deserialize;

use crate::arguments::Arguments;
use crate::surroundings::{LOOPBACK, SERVICE, Surroundings};

/// The system's unit of CPU time in `/proc/PID/stat`: 1/100 s.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Number of fields of `/proc/PID/stat` between the program's name and `utime`.
const FIELDS_BEFORE_USER_TIME: usize = 11;
const POLL: Duration = Duration::from_millis(20);

/// The log record with the addresses at which a node listens.
#[derive(Deserialize)]
struct Listening {
    node: String,
    callers: SocketAddr,
    operators: SocketAddr,
}

/// One node's process, which is killed when this is dropped.
struct Process {
    child: Child,
    listening: Listening,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An entry node, which callers use, and a server node with the local back end.
pub struct NodePair {
    /// Address of the entry node for callers.
    pub callers: SocketAddr,
    entry: Process,
    server: Process,
}

impl NodePair {
    /// Starts both nodes and waits until they know each other.
    pub async fn start(arguments: &Arguments, surroundings: &Surroundings) -> Result<Self> {
        let program = &arguments.lifthollowd;
        let mut extra_arguments = Vec::new();
        if let Some(call_threads) = &arguments.call_threads {
            extra_arguments.extend(["--call-threads", call_threads]);
        }
        let entry = Process::start(program, surroundings, &extra_arguments)?;
        let backend = format!("{SERVICE}={}", surroundings.backend);
        extra_arguments.extend(["--backend", &backend]);
        let server = Process::start(program, surroundings, &extra_arguments)?;
        surroundings.list(&server.listening.node);
        for process in [&entry, &server] {
            process.wait_until_ready().await?;
        }
        Ok(NodePair {
            callers: entry.listening.callers,
            entry,
            server,
        })
    }

    /// CPU time that both nodes have used so far.
    pub fn processor_time(&self) -> Result<Duration> {
        Ok(self.entry.processor_time()? + self.server.processor_time()?)
    }

    /// Kills both nodes.
    pub async fn stop(self) -> Result<()> {
        drop(self);
        Ok(())
    }
}

impl Process {
    fn start(
        program: &Path,
        surroundings: &Surroundings,
        extra_arguments: &[&str],
    ) -> Result<Self> {
        let any = LOOPBACK.to_string();
        let platform = surroundings.platform.to_string();
        let mut child = Command::new(program)
            .args(["--node", &any, "--callers", &any, "--operators", &any])
            .args(["--side", "old", "--zone", "1"])
            .args(["--platform-table", &platform])
            .args(["--platform-machines", &platform])
            .args(extra_arguments)
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("failed to start {}", program.display()))?;
        let stdout = child
            .stdout
            .take()
            .context("the node has no standard output")?;
        let mut lines = BufReader::new(stdout).lines();
        let listening = loop {
            let Some(line) = lines.next() else {
                bail!("the node ended before it logged its addresses");
            };
            if let Ok(listening) = serde_json::from_str(&line?) {
                break listening;
            }
        };
        // The log is read to its end, so that the node never blocks on a full pipe.
        std::thread::spawn(move || lines.for_each(drop));
        Ok(Process { child, listening })
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let url = format!("http://{}/status", self.listening.operators);
        loop {
            let text = ureq::get(&url).call()?.body_mut().read_to_string()?;
            let status: serde_json::Value = serde_json::from_str(&text)?;
            if status["table_number"] == 1 && status["members_known"] == 1 {
                return Ok(());
            }
            tokio::time::sleep(POLL).await;
        }
    }

    fn processor_time(&self) -> Result<Duration> {
        let path = format!("/proc/{}/stat", self.child.id());
        let text = std::fs::read_to_string(path)?;
        let (_, fields) = text
            .rsplit_once(") ")
            .context("/proc/PID/stat has no program name")?;
        let times = fields.split(' ').skip(FIELDS_BEFORE_USER_TIME).take(2);
        let ticks: u32 = times.map(|field| field.parse().unwrap_or(0)).sum();
        Ok(CLOCK_TICK * ticks)
    }
}
