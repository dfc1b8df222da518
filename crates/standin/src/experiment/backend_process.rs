//! One back end of an experiment.

use std::net::SocketAddr;
use std::path::Path;

use super::control_port;
use super::mesh::{Mesh, ServiceShape};
use super::process::Process;
use crate::backend::{BackendFault, LedgerReport, Totals};
use crate::json_lines::ReadyLine;

/// A running back end.
pub struct BackendProcess {
    /// The service.
    pub service: &'static str,
    /// Its data centre.
    pub side: &'static str,
    _process: Process,
    ready: ReadyLine,
}

impl BackendProcess {
    /// Starts a back end of `service` with the mesh's sizes.
    pub fn start(
        program: &Path,
        directory: &Path,
        mesh: &Mesh,
        service: &ServiceShape,
        side: &'static str,
        number: usize,
    ) -> anyhow::Result<Self> {
        let name = format!("backend-{}-{side}-{number}", service.name);
        let arguments = arguments(mesh, service, number);
        let log = directory.join(format!("{name}.log"));
        let process = Process::start(&name, program, &arguments, &log)?;
        let ready = process.ready_line()?;
        Ok(BackendProcess {
            service: service.name,
            side,
            _process: process,
            ready,
        })
    }

    /// Where it takes calls.
    pub fn address(&self) -> SocketAddr {
        self.ready.addresses[0]
    }

    /// Tells it which node stands beside it.
    pub fn set_node(&self, callers: SocketAddr) -> anyhow::Result<()> {
        control_port::put(self.ready.control, "/node", &callers.to_string())
    }

    /// Sets its fault switch.
    pub fn set_fault(&self, fault: &BackendFault) -> anyhow::Result<()> {
        let text = serde_json::to_string(fault)?;
        control_port::put(self.ready.control, "/fault", &text)
    }

    /// What it ran so far, in sums.
    pub fn totals(&self) -> anyhow::Result<Totals> {
        control_port::get(self.ready.control, "/totals")
    }

    /// Everything that it ran so far.
    pub fn ledger(&self) -> anyhow::Result<LedgerReport> {
        control_port::get(self.ready.control, "/ledger")
    }
}

fn arguments(mesh: &Mesh, service: &ServiceShape, number: usize) -> Vec<String> {
    let mut arguments: Vec<String> = vec!["backend".to_owned()];
    let mut flag = |name: &str, value: String| {
        arguments.extend([format!("--{name}"), value]);
    };
    flag("service", service.name.to_owned());
    flag("slots", mesh.slots.to_string());
    flag("queue", (mesh.slots * QUEUE_PER_SLOT).to_string());
    flag("max-connections", mesh.max_connections.to_string());
    flag("service-ms", service.service_ms.to_string());
    flag("seed", number.to_string());
    for nested in service.nested {
        flag("nested", (*nested).to_owned());
    }
    arguments
}

/// Calls that wait in a back end before it sheds by itself, for each slot.
const QUEUE_PER_SLOT: usize = 20;
