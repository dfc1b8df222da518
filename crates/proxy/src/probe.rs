//! Probes a server that stopped responding, through its node, and excludes it from selection until
//! it answers again.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use lifthollow_state::mesh::ServerInstance;
use slog::info;
use tokio::time::{sleep, timeout};

use crate::http::ProxyBody;
use crate::http::body;
use crate::http::pool::Reuse;
use crate::node::Node;
use crate::{peer_headers, snapshots};

/// How long a node may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// The largest answer to a probe that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 4096;

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The node does not answer, or its server is not available.
    Silent,
    /// The node answers and its server is available.
    Alive,
    /// The node answers and its server is available, but the node has no attempt of the named
    /// request in progress: the attempt never arrived, or its answer was sent on an unresponsive
    /// connection.
    AttemptNotFound,
}

/// Answers a probe of another node.
pub fn answer(node: &Rc<Node>, headers: &HeaderMap) -> Response<ProxyBody> {
    let mut response = Response::new(ProxyBody::empty());
    if let Some(id) = headers.get(peer_headers::WAITING_FOR) {
        let id = id.to_str().unwrap_or_default();
        let word = match node.attempts_in_progress.contains(id) {
            true => peer_headers::IN_PROGRESS,
            false => peer_headers::NOT_IN_PROGRESS,
        };
        let value = HeaderValue::from_static(word);
        response
            .headers_mut()
            .insert(peer_headers::WAITING_FOR, value);
    }
    if !is_own_server_available(node) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn is_own_server_available(node: &Rc<Node>) -> bool {
    node.takes_attempts() && !node.is_own_server_silent()
}

/// Probes the node beside `server` on a new connection: whether it answers and finds its server
/// available, and whether it has an attempt of the request `waiting_for` in progress.
///
/// On a reused connection, or without `waiting_for`, a probe could not distinguish an unresponsive
/// connection from a long run. Without this distinction, after all pooled connections had stopped
/// responding, a request that may be repeated was answered with 504 at its timeout of 2 s; with it,
/// the request is served within 1 s (test `silent_connections` on real processes).
pub async fn send_probe(
    node: &Rc<Node>,
    server: &ServerInstance,
    waiting_for: Option<&str>,
) -> Liveness {
    if node.is_beside(server) {
        return match is_own_server_available(node) {
            true => Liveness::Alive,
            false => Liveness::Silent,
        };
    }
    let address = node.node_beside(server);
    let mut request = Request::new(ProxyBody::empty());
    *request.uri_mut() = hyper::Uri::from_static(peer_headers::PROBE_PATH);
    let host = HeaderValue::try_from(address.to_string()).expect("an address is plain text");
    request.headers_mut().insert(HOST, host);
    snapshots::add_snapshot_headers(node, request.headers_mut());
    if let Some(id) = waiting_for.and_then(|id| HeaderValue::try_from(id).ok()) {
        let headers = request.headers_mut();
        headers.insert(peer_headers::WAITING_FOR, id);
    }
    let exchange = async {
        let (response, lease) = node
            .peer_connections
            .send(address, request, Reuse::New)
            .await
            .ok()?;
        let liveness = liveness(&response);
        body::read(response.into_body(), MAX_ANSWER_BYTES)
            .await
            .ok()?;
        lease.keep();
        Some(liveness)
    };
    let answered = timeout(PROBE_TIMEOUT, exchange).await;
    answered.ok().flatten().unwrap_or(Liveness::Silent)
}

fn liveness(response: &Response<Incoming>) -> Liveness {
    if response.status() != StatusCode::OK {
        return Liveness::Silent;
    }
    match response.headers().get(peer_headers::WAITING_FOR) {
        Some(word) if word == peer_headers::NOT_IN_PROGRESS => Liveness::AttemptNotFound,
        _ => Liveness::Alive,
    }
}

/// Excludes `server` from selection, and probes it until it is available again.
pub fn mark_suspect(node: &Rc<Node>, server: &ServerInstance, why: &str) {
    let now = node.now();
    let is_new = node
        .state
        .borrow_mut()
        .servers
        .mark_suspect(now, &server.id);
    if is_new {
        info!(node.log, "server set aside"; "server" => server.id.as_str(),
            "service" => &server.service, "why" => why, "revision" => %node.revision());
        tokio::task::spawn_local(probe_until_alive(node.clone(), server.clone()));
    }
}

async fn probe_until_alive(node: Rc<Node>, server: ServerInstance) {
    loop {
        let now = node.now();
        let delay = node.state.borrow().servers.probe_delay(now, &server.id);
        let Some(delay) = delay else {
            return;
        };
        sleep(delay).await;
        let is_alive = send_probe(&node, &server, None).await == Liveness::Alive;
        let now = node.now();
        let mut state = node.state.borrow_mut();
        state.servers.record_probe(now, &server.id, is_alive);
        drop(state);
        if is_alive {
            info!(node.log, "server trusted again"; "server" => server.id.as_str(),
                "service" => &server.service);
        }
    }
}
