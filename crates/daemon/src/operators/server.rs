//! The operators' HTTP port. It reads posted state, and asks the control thread
//! for the members and for keys; it never blocks that thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::{Result, anyhow};
use rouille::{Request, Response, Server, router};

use lifthollow_protocol::operators::{
    Explanation, LeavingStatus, Members, NodeSnapshot, NodeStatus,
};
use lifthollow_state::{IdempotencyKey, ServiceName};
use lifthollow_transport::mux::BufferedBytes;

use crate::control::{ControlHandle, SharedState};
use crate::operators::claims::claim_status;
use crate::operators::{Metrics, RefusalLog};
use lifthollow_transport::clock::Clock;

/// Interval at which the server checks whether a stop was requested.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for an answer of the control thread.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of threads that answer operators' requests.
const THREADS: usize = 2;

/// The state from which the operators' pages are built.
#[derive(Clone)]
pub struct OperatorsState {
    /// State posted by the control thread.
    pub shared: Arc<SharedState>,
    /// The control thread, which is asked for members and keys.
    pub control: ControlHandle,
    /// The process's clock.
    pub clock: Clock,
    /// Recent refusals of this node.
    pub refusals: Arc<RefusalLog>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Body bytes received from other nodes and not yet passed on.
    pub buffered: BufferedBytes,
}

/// The running HTTP server for operators.
pub struct OperatorsServer {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl OperatorsServer {
    /// Binds the port and serves it on a thread of its own.
    pub fn start(address: SocketAddr, state: OperatorsState) -> Result<Self> {
        let server = Server::new(address, move |request| answer(request, &state))
            .map_err(|error| anyhow!("failed to bind the operators' port {address}: {error}"))?
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

    /// The address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server and waits for its thread.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Release);
        let _ = self.thread.join();
    }
}

fn answer(request: &Request, state: &OperatorsState) -> Response {
    router!(request,
        (GET) (/metrics) => { metrics(state) },
        (GET) (/status) => { Response::json(&state.shared.status()) },
        (GET) (/members) => { members(state) },
        (GET) (/leaving) => { Response::json(&leaving(&state.shared.status())) },
        (GET) (/snapshot) => { snapshot(state) },
        (GET) (/claims) => { claim(request, state) },
        (GET) (/explain) => { Response::json(&explanation(request, state)) },
        _ => Response::empty_404()
    )
}

fn metrics(state: &OperatorsState) -> Response {
    let status = state.shared.status();
    match state.metrics.render(&status, state.buffered.now()) {
        Ok(text) => Response::text(text),
        Err(error) => Response::text(error.to_string()).with_status_code(500),
    }
}

/// Lists the members. The control thread is asked for them, because the list is too
/// long to be posted regularly.
fn members(state: &OperatorsState) -> Response {
    match state.control.members(CONTROL_TIMEOUT) {
        Some(members) => Response::json(&Members { members }),
        None => no_answer(),
    }
}

fn snapshot(state: &OperatorsState) -> Response {
    match state.control.members(CONTROL_TIMEOUT) {
        Some(members) => Response::json(&NodeSnapshot {
            status: state.shared.status(),
            members,
            refusals: state.refusals.find(None, None),
        }),
        None => no_answer(),
    }
}

/// Reports the claim on an idempotency key. Nodes without a roster have none.
/// Service and key are query parameters, so that a key may be any text.
fn claim(request: &Request, state: &OperatorsState) -> Response {
    let (Some(service), Some(key)) = (request.get_param("service"), request.get_param("key"))
    else {
        return Response::text("the parameters are `service` and `key`").with_status_code(400);
    };
    let id = IdempotencyKey::from_name(&ServiceName::new(&service), &key);
    match state.control.key_report(id, CONTROL_TIMEOUT) {
        Some(report) => {
            let now = state.clock.now();
            Response::json(&claim_status(now, &service, &key, &report))
        }
        None => Response::text("this node claims no keys or does not answer").with_status_code(503),
    }
}

fn no_answer() -> Response {
    Response::text("the control thread does not answer").with_status_code(503)
}

/// Whether the node is leaving, and its calls and attempts still in progress.
fn leaving(status: &NodeStatus) -> LeavingStatus {
    LeavingStatus {
        leaving: status.leaving,
        calls_in_progress: status.calls_in_progress,
        attempts_in_progress: status.attempts_in_progress,
    }
}

/// The recent refusals of a service or a request on this node.
fn explanation(request: &Request, state: &OperatorsState) -> Explanation {
    let service = request.get_param("service");
    let name = request.get_param("request");
    let refusals = state.refusals.find(service.as_deref(), name.as_deref());
    Explanation {
        service,
        request: name,
        refusals,
    }
}
