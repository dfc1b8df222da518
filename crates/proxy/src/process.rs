//! Starts and stops a process: its listeners, signal handlers and periodic tasks.

use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use slog::{error, info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::http::ProxyBody;
use crate::http::server::{self, ConnectionLimits, Handler, InProgress};
use crate::inbound::{Inbound, start_at_rate_limit};
use crate::node::{Node, Phase, TrafficState};
use crate::outbound::Outbound;
use crate::suspects;
use crate::tenants;

/// Pause between two runs of the housekeeping task.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between two measurements of how late this thread is woken, while the node is busy. Each
/// measurement costs some microseconds, and admission levels are revised every 100 ms.
const CPU_DELAY_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// How long callers are still served after a planned stop began: by then the platform has noticed
/// that the node is not ready.
const CALLERS_SERVED_AFTER_STOP: Duration = Duration::from_millis(2600);
/// How long attempts for the local server are still accepted after a planned stop began.
const ATTEMPTS_ACCEPTED_AFTER_STOP: Duration = Duration::from_millis(1800);
/// Part of the time allowed for a planned stop that is kept in reserve.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Pause between two checks of what is still in progress during a stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Pause before a task is started anew that has panicked.
const RESTART_PAUSE: Duration = Duration::from_secs(1);
/// Limits of connections to the readiness and metrics ports.
const ADMIN_CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits {
    max_header_bytes: 8192,
    idle_timeout: Duration::from_secs(10),
};

/// Runs `node` until the process receives SIGTERM. `source` starts the task that keeps the snapshot up
/// to date; `reload` is called on SIGHUP, when settings may have changed.
///
/// # Errors
///
/// A signal handler can't be installed, or one of the addresses can't be listened on.
pub async fn run<S: Future<Output = ()> + 'static>(
    node: Rc<Node>,
    source: impl Fn() -> S + 'static,
    reload: impl Fn(&Rc<Node>) + 'static,
) -> Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("could not install the handler of SIGTERM")?;
    let mut hangup =
        signal(SignalKind::hangup()).context("could not install the handler of SIGHUP")?;
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

/// A running process.
pub struct Running {
    node: Rc<Node>,
    callers: InProgress,
    peers: InProgress,
    close: watch::Sender<bool>,
}

/// Starts to serve callers and other nodes. `source` starts the task that keeps the snapshot up to
/// date.
///
/// # Errors
///
/// One of the addresses in the settings can't be listened on.
pub fn start<S: Future<Output = ()> + 'static>(
    node: &Rc<Node>,
    source: impl Fn() -> S + 'static,
) -> Result<Running> {
    let settings = &node.settings;
    let listen = |what: &str, address: SocketAddrV4| {
        let listener = node.network.listen(address);
        listener.with_context(|| format!("could not listen at {address} for {what}"))
    };
    let outbound = listen("outbound", settings.outbound)?;
    let inbound = listen("inbound", settings.inbound)?;
    let readiness = listen("readiness", settings.readiness)?;
    let (close, closing) = watch::channel(false);
    let callers = InProgress::default();
    let peers = InProgress::default();
    let admin = InProgress::default();
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
        Rc::new(ReadinessPort(node.clone())),
        admin.clone(),
        closing.clone(),
    ));
    if let Some(address) = settings.metrics {
        let listener = listen("metrics", address)?;
        spawn_local(server::run(
            listener,
            Rc::new(MetricsPort(node.clone())),
            admin,
            closing.clone(),
        ));
    }
    keep_running(node, "source", source);
    let (queue, servers) = (node.clone(), node.clone());
    let (housekeeping, processor) = (node.clone(), node.clone());
    keep_running(node, "queue", move || start_at_rate_limit(queue.clone()));
    keep_running(node, "vanished servers", move || {
        forget_vanished_in_time(servers.clone())
    });
    keep_running(node, "housekeeping", move || {
        run_housekeeping(housekeeping.clone())
    });
    keep_running(node, "processor", move || {
        measure_cpu_delay(processor.clone())
    });
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
    /// Stops the process as planned. Until the platform has noticed that the node is not ready,
    /// everything is served as before, so that the local server is not idle. After that,
    /// attempts for the server are refused, and requests in progress are finished. The local server
    /// works on meanwhile, so the calls that it makes for them are still served.
    pub async fn stop(self) {
        let Running {
            node,
            callers,
            peers,
            close,
        } = self;
        let stop_began = Instant::now();
        node.phase.set(Phase::Announced);
        info!(node.log, "stopping"; "requests" => callers.requests(), "attempts" => peers.requests());
        sleep_until(stop_began + ATTEMPTS_ACCEPTED_AFTER_STOP).await;
        node.phase.set(Phase::Draining);
        sleep_until(stop_began + CALLERS_SERVED_AFTER_STOP).await;
        let _ = close.send(true);
        let stop_deadline = stop_began + node.settings.stop_grace.saturating_sub(STOP_MARGIN);
        let nothing_left = async {
            while callers.connections() + callers.requests() + peers.connections() > 0 {
                sleep(STOP_POLL_INTERVAL).await;
            }
        };
        let left = stop_deadline.saturating_duration_since(Instant::now());
        let is_complete = timeout(left, nothing_left).await.is_ok();
        info!(node.log, "stopped"; "complete" => is_complete, "requests" => callers.requests(),
            "attempts" => peers.requests(), "after_ms" => stop_began.elapsed().as_millis() as u64);
    }
}

/// Runs a task that the process needs as long as it serves. If the task panics, this is logged and the
/// task is started anew: the process would go on without it otherwise.
fn keep_running<T: Future<Output = ()> + 'static>(
    node: &Rc<Node>,
    name: &'static str,
    start: impl Fn() -> T + 'static,
) {
    let node = node.clone();
    spawn_local(async move {
        while let Err(error) = spawn_local(start()).await {
            error!(node.log, "task restarted"; "task" => name, "error" => %error);
            node.metrics.task_restarts.with_label_values(&[name]).inc();
            sleep(RESTART_PAUSE).await;
        }
    });
}

/// Measures periodically how late this thread is woken, more often while the node is busy.
async fn measure_cpu_delay(node: Rc<Node>) {
    loop {
        let pause = match node.is_busy() {
            true => CPU_DELAY_CHECK_INTERVAL,
            false => HOUSEKEEPING_INTERVAL,
        };
        let slept_at = node.now();
        sleep(pause).await;
        let now = node.now();
        let lateness = now.saturating_since(slept_at).saturating_sub(pause);
        node.state
            .borrow_mut()
            .admission
            .record_lateness(now, lateness);
    }
}

async fn run_housekeeping(node: Rc<Node>) {
    loop {
        sleep(HOUSEKEEPING_INTERVAL).await;
        node.server_connections.close_expired();
        node.peer_connections.close_expired();
        let left_out = node.log_rate_limit.take_left_out();
        if left_out > 0 {
            node.metrics.log_lines_left_out.inc_by(left_out);
            info!(node.log, "log lines left out"; "count" => left_out);
        }
        update_gauges(&node);
        log_server_health(&node);
        suspects::expire_and_update_gauges(&node);
        tenants::expire_and_update_gauges(&node);
        let mut state = node.state.borrow_mut();
        state.admission.observe(node.now());
        forget_vanished_servers(&node, &mut state);
    }
}

/// Forgets servers that vanished, as soon as no request may reach them any more. Never returns.
async fn forget_vanished_in_time(node: Rc<Node>) {
    loop {
        let next = {
            let state = node.state.borrow();
            let available_since = state.view.source_available_since(node.now());
            state.snapshots.next_expiry(available_since)
        };
        let Some(next) = next else {
            node.servers_vanished.notified().await;
            continue;
        };
        tokio::select! {
            () = sleep_until(node.clock.instant(next).into()) => {
                forget_vanished_servers(&node, &mut node.state.borrow_mut());
            }
            () = node.servers_vanished.notified() => {}
        }
    }
}

fn forget_vanished_servers(node: &Rc<Node>, state: &mut TrafficState) {
    let now = node.now();
    let available_since = state.view.source_available_since(now);
    if state.snapshots.expire_vanished(now, available_since) {
        node.refresh(state);
    }
}

/// Logs when the local server begins to fail its requests, and when it serves them again.
fn log_server_health(node: &Rc<Node>) {
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

fn update_gauges(node: &Rc<Node>) {
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
    let resent = &node.metrics.resent_requests;
    let to_server = node.server_connections.resent() as i64;
    resent.with_label_values(&["server"]).set(to_server);
    let to_nodes = node.peer_connections.resent() as i64;
    resent.with_label_values(&["nodes"]).set(to_nodes);
}

/// Handler of the port at which the platform checks whether the node is ready.
struct ReadinessPort(Rc<Node>);

impl Handler for ReadinessPort {
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
        ADMIN_CONNECTION_LIMITS
    }

    fn accept_refused(&self, error: &io::Error) {
        self.0.log_accept_refused("readiness", error);
    }

    fn accept_resumed(&self, refused: u32) {
        self.0.log_accept_resumed("readiness", refused);
    }
}

/// Handler of the port at which the process serves its metrics.
struct MetricsPort(Rc<Node>);

impl Handler for MetricsPort {
    async fn handle(self: Rc<Self>, _request: Request<Option<Incoming>>) -> Response<ProxyBody> {
        let text = match self.0.metrics.text() {
            Ok(text) => text,
            Err(error) => {
                warn!(self.0.log, "could not encode the metrics"; "error" => format!("{error:#}"));
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
        ADMIN_CONNECTION_LIMITS
    }

    fn accept_refused(&self, error: &io::Error) {
        self.0.log_accept_refused("metrics", error);
    }

    fn accept_resumed(&self, refused: u32) {
        self.0.log_accept_resumed("metrics", refused);
    }
}
