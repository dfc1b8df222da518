//! Reading the platform's service: the table and the list of machines.
//!
//! A separate thread reads them, so that a slow or unreachable service delays
//! nothing else.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, debug, warn};
use ureq::Agent;

use lifthollow_coordination::fleet::{FetchFailed, FleetEvent, Machine};
use lifthollow_state::{Findings, Table, table};

use crate::control::{ControlHandle, SharedState};
use crate::machines;
use crate::operators::Metrics;

/// Timeout of one request to the platform's service.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer of the platform's service that is read.
const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;

/// A request of the control thread to read the platform's service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformRequest {
    /// `GET /table`.
    Table,
    /// `GET /machines`.
    Machines,
}

/// Why the platform's service was not read or its answer was refused.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error("no address is set")]
    NoAddress,
    #[error("not read: {0}")]
    Http(#[from] ureq::Error),
    #[error("refused: {0}")]
    Findings(#[from] Findings),
}

/// Reads the platform's service when asked to.
pub struct PlatformReader {
    /// Address of the service that answers `GET /table`.
    pub table: Option<SocketAddr>,
    /// Address of the service that answers `GET /machines`.
    pub machines: Option<SocketAddr>,
    /// Shared state to which the error of the last table fetch is posted.
    pub shared: Arc<SharedState>,
    /// The control thread, which receives the results.
    pub control: ControlHandle,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// The node's logger.
    pub log: Logger,
}

impl PlatformReader {
    /// Serves requests until the channel is closed.
    pub fn run(self, requests: flume::Receiver<PlatformRequest>) {
        let agent = http_client();
        while let Ok(request) = requests.recv() {
            match request {
                PlatformRequest::Table => self.update_table(&agent),
                PlatformRequest::Machines => self.update_machines(&agent),
            }
        }
    }

    /// Fetches the table and reports the result to the control thread. A table with
    /// any fault is rejected as a whole; a fault is logged only
    /// if it differs from that of the previous fetch.
    fn update_table(&self, agent: &Agent) {
        let fetched = self.fetch_table(agent);
        self.metrics.fetched("table", fetched.is_ok());
        let fault = fetched.as_ref().err().map(FetchError::to_string);
        if let Err(error) = &fetched
            && fault != self.shared.table_fault()
        {
            self.log_table_fault(error);
        }
        self.shared.post_table_fault(fault);
        let result = fetched.map(Arc::new).map_err(|_| FetchFailed);
        self.control.fleet(FleetEvent::TableFetched(result));
    }

    fn log_table_fault(&self, error: &FetchError) {
        if let FetchError::Findings(findings) = error {
            for finding in findings.iter() {
                warn!(self.log, "table_finding"; "place" => %finding.place, "finding" => &finding.message);
            }
            warn!(self.log, "table_refused"; "findings" => findings.len());
            return;
        }
        warn!(self.log, "table_not_read"; "error" => %error);
    }

    fn fetch_table(&self, agent: &Agent) -> Result<Table, FetchError> {
        let address = self.table.ok_or(FetchError::NoAddress)?;
        let bytes = fetch(agent, address, "table")?;
        Ok(table::parse("table", &bytes)?)
    }

    fn update_machines(&self, agent: &Agent) {
        let fetched = self.fetch_machines(agent);
        self.metrics.fetched("machines", fetched.is_ok());
        if let Err(error) = &fetched {
            debug!(self.log, "machines_not_read"; "error" => %error);
        }
        let result = fetched.map_err(|_| FetchFailed);
        self.control.fleet(FleetEvent::MachinesFetched(result));
    }

    fn fetch_machines(&self, agent: &Agent) -> Result<Vec<Machine>, FetchError> {
        let address = self.machines.ok_or(FetchError::NoAddress)?;
        let bytes = fetch(agent, address, "machines")?;
        Ok(machines::parse("machines", &bytes)?)
    }
}

/// Creates the HTTP client. The platform's service is configured by address, so
/// proxy settings of the environment are ignored.
fn http_client() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(FETCH_TIMEOUT))
        .proxy(None)
        .build()
        .into()
}

fn fetch(agent: &Agent, address: SocketAddr, resource: &str) -> Result<Vec<u8>, ureq::Error> {
    let url = format!("http://{address}/{resource}");
    let mut answer = agent.get(url).call()?;
    answer
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_to_vec()
}
