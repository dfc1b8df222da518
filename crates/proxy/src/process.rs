//! Start, listeners, signals and stop of a process.

use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::http::ProxyBody;
use crate::http::server::{self, ConnectionLimits, Handler, InProgress};
use crate::inbound::Inbound;
use crate::node::{Node, Phase};
use crate::outbound::Outbound;
use crate::suspects;
use crate::tenants;

/// Time between housekeeping.
const HOUSEKEEPING: Duration = Duration::from_millis(500);
/// Time between looks at how late this thread is woken, while requests come: each costs some
/// microseconds, and levels are revised every 100 ms.
const PROCESSOR_LOOK: Duration = Duration::from_millis(25);
/// After a planned stop began, callers are still served this long: until then
/// the platform has noticed that the node isn't ready.
const STILL_SERVING: Duration = Duration::from_millis(2600);
/// After a planned stop began, attempts for the server are still taken this long.
const STILL_TAKING_ATTEMPTS: Duration = Duration::from_millis(1800);
/// Kept back of the time that a planned stop may take.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Time between looks at what is still in progress while stopping.
const STOP_POLL: Duration = Duration::from_millis(20);
/// Bounds of a connection that asks for readiness or metrics.
const OPERATORS_LIMITS: ConnectionLimits = ConnectionLimits {
    max_header_bytes: 8192,
    idle_timeout: Duration::from_secs(10),
};

/// Runs `node` until it is told to stop. `source` is run beside it and tells it
/// what comes from outside; `reload` is called when settings may have changed.
pub async fn run(
    node: Rc<Node>,
    source: impl Future<Output = ()> + 'static,
    reload: impl Fn(&Rc<Node>) + 'static,
) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("signal TERM")?;
    let mut hangup = signal(SignalKind::hangup()).context("signal HUP")?;
    let running = start(&node, source)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&node),
        }
    }
    running.stop().await;
    Ok(())
}

/// A process that serves.
pub struct Running {
    node: Rc<Node>,
    callers: InProgress,
    peers: InProgress,
    close: watch::Sender<bool>,
}

/// Starts to serve. `source` is run beside it and tells it what comes from outside.
///
/// # Errors
///
/// One of the addresses in the settings can't be listened at.
pub fn start(node: &Rc<Node>, source: impl Future<Output = ()> + 'static) -> Result<Running> {
    let settings = &node.settings;
    let listen = |what: &str, address: SocketAddrV4| {
        let listener = node.network.listen(address);
        listener.with_context(|| format!("listening at {address} for {what}"))
    };
    let outbound = listen("outbound", settings.outbound)?;
    let inbound = listen("inbound", settings.inbound)?;
    let readiness = listen("readiness", settings.readiness)?;
    let (close, closing) = watch::channel(false);
    let callers = InProgress::default();
    let peers = InProgress::default();
    let others = InProgress::default();
    spawn_local(server::run(
        outbound,
        Rc::new(Outbound(node.clone())),
        callers.clone(),
        closing.clone(),
    ));
    spawn_local(server::run(
        inbound,
        Rc::new(Inbound(node.clone())),
        peers.clone(),
        closing.clone(),
    ));
    spawn_local(server::run(
        readiness,
        Rc::new(Readiness(node.clone())),
        others.clone(),
        closing.clone(),
    ));
    if let Some(address) = settings.metrics {
        let listener = listen("metrics", address)?;
        spawn_local(server::run(
            listener,
            Rc::new(MetricsPort(node.clone())),
            others,
            closing.clone(),
        ));
    }
    spawn_local(source);
    spawn_local(housekeeping(node.clone()));
    spawn_local(watch_processor(node.clone()));
    info!(node.log, "started"; "node" => &settings.node_name, "service" => &settings.service,
        "zone" => &settings.zone, "outbound" => %settings.outbound, "inbound" => %settings.inbound,
        "version" => env!("CARGO_PKG_VERSION"));
    Ok(Running {
        node: node.clone(),
        callers,
        peers,
        close,
    })
}

impl Running {
    /// Stops as planned. Until the platform has noticed, everything is served as
    /// before, so that the server beside this node isn't idle; then attempts for
    /// it are refused, and what is in progress is finished.
    pub async fn stop(self) {
        let Running {
            node,
            callers,
            peers,
            close,
        } = self;
        let begun = Instant::now();
        node.phase.set(Phase::Announced);
        info!(node.log, "stopping"; "requests" => callers.requests(), "attempts" => peers.requests());
        sleep_until(begun + STILL_TAKING_ATTEMPTS).await;
        node.phase.set(Phase::Draining);
        sleep_until(begun + STILL_SERVING).await;
        let _ = close.send(true);
        let last = begun + node.settings.stop_grace.saturating_sub(STOP_MARGIN);
        let nothing_left = async {
            while callers.connections() + peers.requests() > 0 {
                sleep(STOP_POLL).await;
            }
        };
        let left = last.saturating_duration_since(Instant::now());
        let is_complete = timeout(left, nothing_left).await.is_ok();
        info!(node.log, "stopped"; "complete" => is_complete, "requests" => callers.requests(),
            "attempts" => peers.requests(), "after_ms" => begun.elapsed().as_millis() as u64);
    }
}

/// Looks how late this thread is woken, often while there is something to do.
async fn watch_processor(node: Rc<Node>) {
    loop {
        let pause = match node.is_busy() {
            true => PROCESSOR_LOOK,
            false => HOUSEKEEPING,
        };
        let asked = node.now();
        sleep(pause).await;
        let now = node.now();
        let lateness = now.saturating_since(asked).saturating_sub(pause);
        node.state.borrow_mut().admission.woken_late(now, lateness);
    }
}

async fn housekeeping(node: Rc<Node>) {
    loop {
        sleep(HOUSEKEEPING).await;
        node.server_connections.close_expired();
        node.peer_connections.close_expired();
        let left_out = node.line_limit.take_left_out();
        if left_out > 0 {
            node.metrics.log_lines_left_out.inc_by(left_out);
            info!(node.log, "log lines left out"; "count" => left_out);
        }
        note_gauges(&node);
        note_server_health(&node);
        suspects::expire_and_update_gauges(&node);
        tenants::expire_and_update_gauges(&node);
        let mut state = node.state.borrow_mut();
        let now = node.now();
        state.admission.observe(now);
        let available_since = state.view.source_available_since(now);
        if state.snapshots.forget_vanished(now, available_since) {
            node.refresh(&mut state);
        }
    }
}

/// Logs when the server beside this node begins to fail its requests, and when it
/// no longer does.
fn note_server_health(node: &Rc<Node>) {
    let state = node.state.borrow();
    let failing = state.admission.failing_zone(node.now());
    if node.is_server_failing.replace(failing.is_some()) == failing.is_some() {
        return;
    }
    match failing {
        Some((zone, share)) => {
            info!(node.log, "server fails requests"; "callers_zone" => zone, "failure_share" => share);
        }
        None => info!(node.log, "server serves requests again"),
    }
}

fn note_gauges(node: &Rc<Node>) {
    let load = node.state.borrow().admission.occupancy();
    let gauge = |what: &str, value: u32| {
        node.metrics
            .load
            .with_label_values(&[what])
            .set(i64::from(value));
    };
    gauge("running", load.running);
    gauge("waiting", load.waiting);
    gauge("limit", load.limit);
    let connections = &node.metrics.connections;
    let to_server = node.server_connections.opened() as i64;
    connections.with_label_values(&["server"]).set(to_server);
    let to_nodes = node.peer_connections.opened() as i64;
    connections.with_label_values(&["nodes"]).set(to_nodes);
}

/// The port at which the platform asks whether the node is ready.
struct Readiness(Rc<Node>);

impl Handler for Readiness {
    async fn handle(self: Rc<Self>, request: Request<Option<Incoming>>) -> Response<ProxyBody> {
        let is_known = request.uri().path() == self.0.names.readiness_path;
        let status = match (is_known, self.0.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(ProxyBody::empty());
        *response.status_mut() = status;
        response
    }

    fn connection_limits(&self) -> ConnectionLimits {
        OPERATORS_LIMITS
    }

    fn accept_refused(&self, error: &io::Error) {
        self.0.log_accept_refused("readiness", error);
    }

    fn accept_resumed(&self, refused: u32) {
        self.0.log_accept_resumed("readiness", refused);
    }
}

/// The port at which the process tells its own figures.
struct MetricsPort(Rc<Node>);

impl Handler for MetricsPort {
    async fn handle(self: Rc<Self>, _request: Request<Option<Incoming>>) -> Response<ProxyBody> {
        let text = match self.0.metrics.text() {
            Ok(text) => text,
            Err(error) => {
                warn!(self.0.log, "metrics not told"; "error" => format!("{error:#}"));
                let mut response = Response::new(ProxyBody::empty());
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                return response;
            }
        };
        let mut response = Response::new(ProxyBody::Whole(text.into()));
        let format = HeaderValue::from_static(prometheus::TEXT_FORMAT);
        response.headers_mut().insert(CONTENT_TYPE, format);
        response
    }

    fn connection_limits(&self) -> ConnectionLimits {
        OPERATORS_LIMITS
    }

    fn accept_refused(&self, error: &io::Error) {
        self.0.log_accept_refused("metrics", error);
    }

    fn accept_resumed(&self, refused: u32) {
        self.0.log_accept_resumed("metrics", refused);
    }
}
