//! Reading the platform's service: the table and the list of machines.
//!
//! One thread does it, so that a slow or dead service holds up nothing else.

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

/// Longest time for one read of the platform's service.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer that is read.
const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;

/// What the control thread wants read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformRequest {
    /// `GET /table`.
    Table,
    /// `GET /machines`.
    Machines,
}

/// Why an answer of the platform's service was not taken.
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
    /// Where the table is.
    pub table: Option<SocketAddr>,
    /// Where the list of machines is.
    pub machines: Option<SocketAddr>,
    /// Where the last fault is posted.
    pub shared: Arc<SharedState>,
    /// Where results go.
    pub control: ControlHandle,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// The log.
    pub log: Logger,
}

impl PlatformReader {
    /// Serves requests until the channel is closed.
    pub fn run(self, requests: flume::Receiver<PlatformRequest>) {
        let agent = agent();
        while let Ok(request) = requests.recv() {
            match request {
                PlatformRequest::Table => self.table(&agent),
                PlatformRequest::Machines => self.machines(&agent),
            }
        }
    }

    /// A bad table is refused whole; its findings are logged once.
    fn table(&self, agent: &Agent) {
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

    fn machines(&self, agent: &Agent) {
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

/// The platform is named by address; a proxy of the environment is not asked.
fn agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(FETCH_TIMEOUT))
        .proxy(None)
        .build()
        .into()
}

fn fetch(agent: &Agent, address: SocketAddr, what: &str) -> Result<Vec<u8>, ureq::Error> {
    let url = format!("http://{address}/{what}");
    let mut answer = agent.get(url).call()?;
    answer
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_to_vec()
}
