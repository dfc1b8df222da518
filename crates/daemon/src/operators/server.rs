//! The operators' HTTP port. It reads posted state only, so it never makes the
//! control thread wait.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::{Result, anyhow};
use rouille::{Request, Response, Server, router};
use serde::Serialize;

use lifthollow_transport::mux::BufferedBytes;

use crate::control::{ControlSnapshot, SharedState};
use crate::operators::{Metrics, Refusal, RefusalLog};

/// How often the server looks whether it shall stop.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Threads that answer operators.
const THREADS: usize = 2;

/// What the operators' pages are made from.
#[derive(Clone)]
pub struct OperatorsState {
    /// State posted by the control thread.
    pub shared: Arc<SharedState>,
    /// Recent refusals.
    pub refusals: Arc<RefusalLog>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Body bytes held.
    pub buffered: BufferedBytes,
}

/// The running server.
pub struct OperatorsServer {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl OperatorsServer {
    /// Binds the port and serves it on a thread of its own.
    pub fn start(address: SocketAddr, state: OperatorsState) -> Result<Self> {
        let server = Server::new(address, move |request| answer(request, &state))
            .map_err(|error| anyhow!("operators' port {address}: {error}"))?
            .pool_size(THREADS);
        let address = server.server_addr();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::Builder::new()
            .name("operators".to_owned())
            .spawn(move || {
                while !stopped.load(Ordering::Acquire) {
                    server.poll_timeout(POLL_INTERVAL);
                }
            })?;
        Ok(OperatorsServer {
            address,
            stop,
            thread,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops serving.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Release);
        let _ = self.thread.join();
    }
}

fn answer(request: &Request, state: &OperatorsState) -> Response {
    router!(request,
        (GET) (/metrics) => { metrics(state) },
        (GET) (/status) => { Response::json(&Status::of(&state.shared.snapshot())) },
        (GET) (/members) => { Response::json(&state.shared.snapshot().members) },
        (GET) (/leaving) => { Response::json(&Leaving::of(&state.shared.snapshot())) },
        (GET) (/snapshot) => { Response::json(state.shared.snapshot().as_ref()) },
        (GET) (/explain) => { Response::json(&Explanation::of(request, state)) },
        _ => Response::empty_404()
    )
}

fn metrics(state: &OperatorsState) -> Response {
    let snapshot = state.shared.snapshot();
    match state.metrics.render(&snapshot, state.buffered.now()) {
        Ok(text) => Response::text(text),
        Err(error) => Response::text(error.to_string()).with_status_code(500),
    }
}

/// The node in short: the snapshot without the members.
#[derive(Serialize)]
struct Status {
    #[serde(flatten)]
    snapshot: ControlSnapshot,
    members_known: usize,
}

impl Status {
    fn of(snapshot: &ControlSnapshot) -> Self {
        let members_known = snapshot.members.values().map(Vec::len).sum();
        let mut snapshot = snapshot.clone();
        snapshot.members.clear();
        Status {
            snapshot,
            members_known,
        }
    }
}

/// Whether the node is leaving and what it still carries.
#[derive(Serialize)]
struct Leaving {
    leaving: bool,
    calls_in_progress: usize,
    attempts_in_progress: usize,
}

impl Leaving {
    fn of(snapshot: &ControlSnapshot) -> Self {
        Leaving {
            leaving: snapshot.leaving,
            calls_in_progress: snapshot.calls_in_progress,
            attempts_in_progress: snapshot.attempts_in_progress,
        }
    }
}

/// Why a service or a request was refused on this node.
#[derive(Serialize)]
struct Explanation {
    service: Option<String>,
    request: Option<String>,
    refusals: Vec<Refusal>,
}

impl Explanation {
    fn of(request: &Request, state: &OperatorsState) -> Self {
        let service = request.get_param("service");
        let name = request.get_param("request");
        let refusals = state.refusals.find(service.as_deref(), name.as_deref());
        Explanation {
            service,
            request: name,
            refusals,
        }
    }
}
