//! Whether a server that fell silent, or its node, can be trusted again.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use lifthollow_state::mesh::ServerInstance;
use slog::info;
use tokio::time::{sleep, timeout};

use crate::http::ProxyBody;
use crate::http::body;
use crate::http::pool::Reuse;
use crate::node::Node;
use crate::{peer_headers, snapshots};

/// How long a node may take to answer a probe.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);
/// The largest answer that is read, bytes.
const MAX_ANSWER: usize = 4096;

/// The answer to a probe.
pub fn answer(node: &Rc<Node>) -> Response<ProxyBody> {
    let mut response = Response::new(ProxyBody::empty());
    if !is_own_server_available(node) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn is_own_server_available(node: &Rc<Node>) -> bool {
    node.takes_attempts() && !node.is_own_server_silent()
}

/// Whether the node beside `server` answers, and finds its server alive.
pub async fn is_alive(node: &Rc<Node>, server: &ServerInstance) -> bool {
    if node.is_beside(server) {
        return is_own_server_available(node);
    }
    let address = node.node_beside(server);
    let mut request = Request::new(ProxyBody::empty());
    *request.uri_mut() = hyper::Uri::from_static(peer_headers::PROBE_PATH);
    let host = HeaderValue::try_from(address.to_string()).expect("an address is plain text");
    request.headers_mut().insert(HOST, host);
    snapshots::name_revision(node, request.headers_mut());
    let exchange = async {
        let (response, lease) = node
            .peer_connections
            .send(address, request, Reuse::Any)
            .await
            .ok()?;
        let status = response.status();
        body::read(response.into_body(), MAX_ANSWER).await.ok()?;
        lease.keep();
        Some(status == StatusCode::OK)
    };
    let answered = timeout(ANSWER_LIMIT, exchange).await;
    matches!(answered, Ok(Some(true)))
}

/// Sets `server` aside and probes it until it answers.
pub fn set_aside(node: &Rc<Node>, server: &ServerInstance, why: &str) {
    let now = node.now();
    let is_new = node.state.borrow_mut().servers.set_aside(now, &server.id);
    if is_new {
        info!(node.log, "server set aside"; "server" => server.id.as_str(),
            "service" => &server.service, "why" => why, "revision" => node.revision());
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
        let is_alive = is_alive(&node, &server).await;
        let now = node.now();
        let mut state = node.state.borrow_mut();
        state.servers.probed(now, &server.id, is_alive);
        drop(state);
        if is_alive {
            info!(node.log, "server trusted again"; "server" => server.id.as_str(),
                "service" => &server.service);
        }
    }
}
