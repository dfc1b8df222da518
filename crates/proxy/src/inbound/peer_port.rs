//! The port that takes the attempts and other queries of other nodes.

use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lifthollow_coordination::mesh::call::NotRunReason;
use lifthollow_state::mesh::{InstanceId, SnapshotVersion};

use crate::http::body;
use crate::http::pool::Reuse;
use crate::http::server::{ConnectionLimits, Handler};
use crate::http::{ProxyBody, headers};
use crate::inbound::{Attempt, AttemptOutcome, execute};
use crate::node::Node;
use crate::suspects::exchange;
use crate::tenants::lending;
use crate::{peer_headers, probe, request_content, snapshots};

/// Request bodies up to this size, in bytes, are buffered whole before they go to the server.
const MAX_BUFFERED_REQUEST_BYTES: usize = 256 * 1024;
/// Time limit of an attempt whose headers contain no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Handler of the port that other nodes connect to.
pub struct Inbound(pub Rc<Node>);

impl Handler for Inbound {
    async fn handle(self: Rc<Self>, request: Request<Option<Incoming>>) -> Response<ProxyBody> {
        let node = &self.0;
        let arrived = node.now();
        let sender = peer_headers::sender(request.headers());
        if needs_fresh_view(node, &request, sender) {
            node.record_use(arrived, request.uri().path(), sender);
        }
        if let Some(sender) = sender {
            snapshots::fetch_if_newer(node, request.headers(), sender);
        }
        match request.uri().path() {
            peer_headers::SNAPSHOT_PATH => {
                return snapshots::answer(node, request.headers(), arrived);
            }
            peer_headers::SUSPECTS_PATH => return exchange::answer(node),
            peer_headers::QUOTA_PATH => return lending::answer(node, request).await,
            peer_headers::PROBE_PATH => return probe::answer(node, request.headers()),
            _ => {}
        }
        let request_id = node.names.request_id_of(request.headers());
        let _in_progress = node.attempts_in_progress.track(request_id);
        let (tree, terms) = peer_headers::tree(request.headers());
        let outcome = match read_attempt(node, request).await {
            Some(attempt) => execute(node, attempt).await,
            None => AttemptOutcome::not_run(NotRunReason::WrongInstance),
        };
        let mut response = answer(node, outcome, tree.is_nested, &terms.zone);
        snapshots::add_view_headers(node, response.headers_mut(), arrived);
        response
    }

    fn connection_limits(&self) -> ConnectionLimits {
        self.0.connection_limits()
    }

    fn accept_refused(&self, error: &io::Error) {
        self.0.log_accept_refused("inbound", error);
    }

    fn accept_resumed(&self, refused: u32) {
        self.0.log_accept_resumed("inbound", refused);
    }
}

/// Whether a request of another node depends on how fresh this node's view is. Queries about
/// requests that crash servers, which each node sends at its start, do not.
fn needs_fresh_view(
    node: &Rc<Node>,
    request: &Request<Option<Incoming>>,
    sender: Option<SocketAddrV4>,
) -> bool {
    match request.uri().path() {
        peer_headers::SUSPECTS_PATH => false,
        peer_headers::SNAPSHOT_PATH => {
            let theirs = peer_headers::snapshot_version(request.headers()).unwrap_or_default();
            is_listeners_query(node, theirs, sender)
        }
        _ => true,
    }
}

/// Whether a snapshot query comes from a node that learns from others how fresh its view is. Those
/// that watch the source themselves would make idle watchers ask the source more often. A node without
/// a snapshot does not know yet who watches, and one that is ahead of this node only notifies it.
fn is_listeners_query(
    node: &Rc<Node>,
    theirs: SnapshotVersion,
    sender: Option<SocketAddrV4>,
) -> bool {
    let is_ahead = node.snapshot_version().lacks(theirs);
    let is_watcher = sender.is_some_and(|sender| node.is_other_watcher(sender));
    node.has_snapshot() && !is_ahead && !is_watcher
}

async fn read_attempt(node: &Rc<Node>, request: Request<Option<Incoming>>) -> Option<Attempt> {
    let arrived = node.now();
    let (mut head, incoming) = request.into_parts();
    headers::remove_single_connection(&mut head.headers);
    let server = head.headers.get(&node.names.expected_instance)?;
    let server = node.known_instance(InstanceId::new(server.to_str().ok()?));
    let left = peer_headers::milliseconds(&head.headers, &node.names.deadline_ms);
    let patience = peer_headers::milliseconds(&head.headers, &peer_headers::PATIENCE);
    let limit_known_to_sender = peer_headers::number(&head.headers, &peer_headers::TOLD_LIMIT);
    let body = body::read(incoming?, MAX_BUFFERED_REQUEST_BYTES)
        .await
        .ok()?;
    let body = ProxyBody::from(body);
    let (tree, terms) = peer_headers::tree(&head.headers);
    let caller = head.headers.get(&node.names.caller_service);
    let caller = caller.and_then(|caller| caller.to_str().ok());
    let content = request_content::caller_content(caller.unwrap_or_default(), &head, &body);
    Some(Attempt {
        content,
        tree,
        limit_known_to_sender,
        terms,
        server,
        deadline: arrived + left.unwrap_or(DEFAULT_DEADLINE),
        patience: patience.unwrap_or_default(),
        request: Request::from_parts(head, body),
        reuse: Reuse::Any,
        has_answer_begun: Rc::default(),
    })
}

fn answer(
    node: &Rc<Node>,
    outcome: AttemptOutcome,
    is_nested: bool,
    zone: &str,
) -> Response<ProxyBody> {
    let mut response = outcome.response.unwrap_or_else(|| {
        let mut empty = Response::new(ProxyBody::empty());
        *empty.status_mut() = StatusCode::BAD_GATEWAY;
        empty
    });
    let load = node.own_load(is_nested, zone);
    let headers = response.headers_mut();
    headers.insert(
        peer_headers::OUTCOME,
        peer_headers::outcome_value(&outcome.end),
    );
    headers.insert(peer_headers::LOAD, peer_headers::load_value(&load));
    let notice = node.state.borrow().admission.notice();
    if let Some(notice) = peer_headers::server_notice_value(notice) {
        headers.insert(peer_headers::SERVER_NOTICE, notice);
    }
    response
}
