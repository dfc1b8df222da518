//! The platform's service of an experiment, and the operators' table file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use anyhow::Context;

use super::control_port;
use super::mesh::Mesh;
use super::process::Process;
use crate::json_lines::ReadyLine;
use crate::platform::ReaderFault;

/// Addresses at which the platform listens, each with faults of its own.
const READERS: usize = 2;
const TABLE_HEADER: &str =
    "service,side,weight,max_in_flight,max_queue,max_connections,class,repeatable,deadline_ms";
/// Calls that wait at a node, for each slot of its back end.
const QUEUE_PER_SLOT: usize = 4;

/// The running service.
pub struct PlatformProcess {
    ready: ReadyLine,
    /// The operators' own file, published when they say so.
    table_file: PathBuf,
    control_client: PathBuf,
    _process: Process,
}

impl PlatformProcess {
    /// Starts the service without documents.
    pub fn start(program: &Path, control_client: &Path, directory: &Path) -> anyhow::Result<Self> {
        let arguments = ["platform", "--readers", &READERS.to_string()].map(str::to_owned);
        let log = directory.join("platform.log");
        let process = Process::start("platform", program, &arguments, &log)?;
        let ready = process.ready_line()?;
        Ok(PlatformProcess {
            ready,
            table_file: directory.join("table.csv"),
            control_client: control_client.to_owned(),
            _process: process,
        })
    }

    /// One of its addresses; nodes are spread over all of them.
    pub fn address(&self, reader: usize) -> SocketAddr {
        self.ready.addresses[reader % self.ready.addresses.len()]
    }

    /// Writes the operators' first table and publishes it.
    pub fn publish_first_table(&self, mesh: &Mesh, weights: [u32; 2]) -> anyhow::Result<()> {
        std::fs::write(&self.table_file, first_table(mesh, weights))?;
        self.publish_table()
    }

    /// Edits the operators' file with `lifthollowctl table set`.
    pub fn edit_table(&self, cells: &[String]) -> anyhow::Result<()> {
        let output = Command::new(&self.control_client)
            .args(["table", "set"])
            .arg(&self.table_file)
            .args(cells)
            .output()
            .context("cannot run lifthollowctl")?;
        let errors = String::from_utf8_lossy(&output.stderr);
        anyhow::ensure!(output.status.success(), "lifthollowctl table set: {errors}");
        Ok(())
    }

    /// The operators' file.
    pub fn table_text(&self) -> anyhow::Result<String> {
        Ok(std::fs::read_to_string(&self.table_file)?)
    }

    /// The number in the operators' file.
    pub fn table_number(&self) -> anyhow::Result<u64> {
        let text = self.table_text()?;
        let first = text.lines().next().unwrap_or_default();
        let number = first.split(',').nth(1).context("the table has no number")?;
        Ok(number.trim().parse()?)
    }

    /// Publishes the operators' file.
    pub fn publish_table(&self) -> anyhow::Result<()> {
        self.publish_text(&self.table_text()?)
    }

    /// Publishes any text as the table.
    pub fn publish_text(&self, text: &str) -> anyhow::Result<()> {
        control_port::put(self.ready.control, "/table", text)
    }

    /// Publishes a list of machines.
    pub fn publish_machines(&self, text: &str) -> anyhow::Result<()> {
        control_port::put(self.ready.control, "/machines", text)
    }

    /// Sets the fault of one of its addresses, or of all of them.
    pub fn set_fault(&self, reader: Option<usize>, fault: &ReaderFault) -> anyhow::Result<()> {
        let path = match reader {
            Some(reader) => format!("/fault?reader={reader}"),
            None => "/fault".to_owned(),
        };
        control_port::put(self.ready.control, &path, &serde_json::to_string(fault)?)
    }
}

/// The table of a mesh with one weight for the old side and one for the new.
fn first_table(mesh: &Mesh, weights: [u32; 2]) -> String {
    let mut text = format!("lifthollow-table,1\n{TABLE_HEADER}\n");
    for service in &mesh.services {
        for (side, weight) in ["old", "new"].into_iter().zip(weights) {
            text.push_str(&format!(
                "{},{side},{weight},{},{},{},{},{},{}\n",
                service.name,
                mesh.slots,
                mesh.slots * QUEUE_PER_SLOT,
                mesh.max_connections,
                service.class,
                if service.keyed { "no" } else { "yes" },
                mesh.deadline.as_millis(),
            ));
        }
    }
    text
}
