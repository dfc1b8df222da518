//! Simulated back end of one service, with execution slots, a queue, service times, cold start,
//! draining, deadlines, cancellation, calls to other services, and faults injected through a
//! control port.

mod answer;
mod cold_start;
mod control;
mod fault;
mod handler;
mod ledger;
mod listener;
mod nested;
mod reports;
mod service_time;
mod slots;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;

pub use fault::BackendFault;
pub use ledger::{CallRecord, Ledger, LedgerReport, RunTimes, Totals, unix_millis};
pub use nested::NestedRefusal;
pub use reports::{LoadReport, ReportMode};
pub use slots::{ShedReason, Slots};

use crate::json_lines::{self, ReadyLine};
use handler::Backend;

/// One back end of one service.
#[derive(FromArgs)]
#[argh(subcommand, name = "backend")]
pub struct BackendArguments {
    /// name of the service
    #[argh(option)]
    pub service: String,
    /// address to listen at (default 127.0.0.1:0)
    #[argh(option, default = "default_listen()")]
    pub listen: SocketAddr,
    /// address of the control port (default 127.0.0.1:0)
    #[argh(option, default = "default_listen()")]
    pub control: SocketAddr,
    /// calls that run at once (default 10)
    #[argh(option, default = "10")]
    pub slots: usize,
    /// calls that wait before the back end sheds by itself (default 20)
    #[argh(option, default = "20")]
    pub queue: usize,
    /// connections taken at once; further ones wait (default 110)
    #[argh(option, default = "110")]
    pub max_connections: usize,
    /// cost of a new connection in milliseconds (default 1)
    #[argh(option, default = "1")]
    pub connection_cost_ms: u64,
    /// mean service time in milliseconds (default 10)
    #[argh(option, default = "10.0")]
    pub service_ms: f64,
    /// shape of the log-normal service time (default 0.4)
    #[argh(option, default = "0.4")]
    pub service_sigma: f64,
    /// seed of the service times and errors (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// by how much a cold back end is slower (default 1)
    #[argh(option, default = "1.0")]
    pub cold_factor: f64,
    /// for how many calls the back end is cold (default 0)
    #[argh(option, default = "0")]
    pub cold_calls: u64,
    /// for how long after its start the back end is cold, in milliseconds (default 0)
    #[argh(option, default = "0")]
    pub cold_ms: u64,
    /// a service that each run calls, in order; may be given several times
    #[argh(option)]
    pub nested: Vec<String>,
    /// callers' address of the node beside this back end, needed for nested calls; can be
    /// set later at the control port
    #[argh(option)]
    pub node: Option<SocketAddr>,
    /// what /health and /load say: true, green, red or old (default true)
    #[argh(option, default = "ReportMode::Truthful")]
    pub reports: ReportMode,
    /// age of what /health and /load say with `--reports old`, in milliseconds (default 60000)
    #[argh(option, default = "60000")]
    pub reports_age_ms: u64,
}

fn default_listen() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs a back end until the process is stopped.
pub fn run(arguments: BackendArguments) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(serve(arguments))
}

const WORKER_THREADS: usize = 2;

async fn serve(arguments: BackendArguments) -> anyhow::Result<()> {
    let listener = tokio::net::TcpListener::bind(arguments.listen).await?;
    let address = listener.local_addr()?;
    let backend = Arc::new(Backend::new(&arguments, address)?);
    let control = control::start(arguments.control, &backend)?;
    json_lines::print(&ReadyLine {
        addresses: vec![address],
        control,
    })?;
    reports::spawn_sampler(Arc::clone(&backend));
    let limits = listener::ConnectionLimits {
        max_connections: arguments.max_connections,
        connection_cost: Duration::from_millis(arguments.connection_cost_ms),
    };
    listener::accept_connections(listener, limits, backend).await
}
