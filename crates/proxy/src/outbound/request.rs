//! A request of a caller: its route, its body, its place in the tree of calls.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use lifthollow_coordination::inbound::InboundId;
use lifthollow_coordination::mesh::call::Call;
use lifthollow_coordination::mesh::poison::content::CallerContent;
use lifthollow_coordination::mesh::request_tree::{RequestRank, priority_of_request};
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{Route, Tenant};
use tokio::time::timeout_at;

use crate::http::ProxyBody;
use crate::http::body;
use crate::http::headers::host;
use crate::node::Node;
use crate::peer_headers::{self, TreePlace};

/// Bodies up to this size are taken in whole, so that they can be sent again.
const MAX_HELD_REQUEST: usize = 256 * 1024;
/// Size of a body unless the configuration says otherwise, bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// A request whose route is known.
pub(super) struct RoutedRequest {
    pub(super) head: Parts,
    pub(super) body: HeldBody,
    /// What it asks of a server.
    pub(super) content: CallerContent,
    pub(super) route: Rc<RouteInForce>,
    /// Whose it is; none if it needs no key.
    pub(super) tenant: Option<Arc<Tenant>>,
    pub(super) tree: TreePlace,
    pub(super) arrived: Timestamp,
}

pub(super) struct RouteInForce {
    pub(super) route: Arc<Route>,
    pub(super) version: u64,
    pub(super) service: String,
}

/// A request's body; one that is too large to be held can be sent once.
pub(super) enum HeldBody {
    Whole(Bytes),
    Once(Option<ProxyBody>),
}

impl From<ProxyBody> for HeldBody {
    fn from(body: ProxyBody) -> Self {
        match body {
            ProxyBody::Whole(bytes) => HeldBody::Whole(bytes),
            passing @ ProxyBody::Passing { .. } => HeldBody::Once(Some(passing)),
        }
    }
}

impl HeldBody {
    pub(super) fn take(&mut self) -> Option<ProxyBody> {
        match self {
            HeldBody::Whole(bytes) => Some(ProxyBody::Whole(bytes.clone())),
            HeldBody::Once(body) => body.take(),
        }
    }

    pub(super) fn is_spent(&self) -> bool {
        matches!(self, HeldBody::Once(None))
    }
}

/// A call of a run on the server beside this node, while it is on its way.
pub(super) struct CallOfRun {
    node: Rc<Node>,
    run: InboundId,
    has_failed: bool,
}

impl CallOfRun {
    /// The call was answered with `status`.
    pub(super) fn answered(&mut self, status: StatusCode) {
        self.has_failed = status.is_server_error();
    }
}

impl Drop for CallOfRun {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        state.admission.call_ended(self.run, self.has_failed);
    }
}

/// Where the request stands: its own tree's root, or a call of a run on the
/// server beside this node.
pub(super) fn tree_place(
    node: &Rc<Node>,
    head: &Parts,
    route: &RouteInForce,
    tenant: Option<&Tenant>,
    call: &Call,
) -> (TreePlace, Option<CallOfRun>) {
    let id = node.names.request_id_of(&head.headers);
    let told = peer_headers::milliseconds(&head.headers, &node.names.deadline_ms);
    let deadline = told.map_or(call.ends(), |told| node.now() + told);
    let mut state = node.state.borrow_mut();
    match state.admission.parent_of(id, deadline) {
        Some(parent) => {
            state.admission.called(parent.run, &route.service);
            let place = TreePlace {
                priority: parent.priority,
                is_nested: true,
                is_repeat: parent.is_repeat,
            };
            let call = CallOfRun {
                node: node.clone(),
                run: parent.run,
                has_failed: true,
            };
            (place, Some(call))
        }
        None => {
            let rank = RequestRank {
                route: route.route.priority,
                tenant: tenant.map(|tenant| tenant.priority),
            };
            let place = TreePlace {
                priority: priority_of_request(rank, id),
                is_nested: false,
                is_repeat: false,
            };
            (place, None)
        }
    }
}

pub(super) fn find_route(node: &Rc<Node>, head: &Parts) -> Result<RouteInForce, StatusCode> {
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let routes = state
        .routes
        .as_ref()
        .ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let route = routes
        .find(host(&head.headers, &head.uri), head.uri.path())
        .ok_or(StatusCode::NOT_FOUND)?;
    let service = state.split.choose(route, &mut state.random).to_owned();
    Ok(RouteInForce {
        route: route.clone(),
        version: routes.version(),
        service,
    })
}

pub(super) async fn read_body(
    node: &Rc<Node>,
    call: &Call,
    incoming: Incoming,
) -> Result<ProxyBody, StatusCode> {
    let limit = max_body_bytes(node);
    let length = hyper::body::Body::size_hint(&incoming).lower();
    if length > limit {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let ends = node.clock.instant(call.ends()).into();
    let read = timeout_at(ends, body::read(incoming, MAX_HELD_REQUEST))
        .await
        .map_err(|_| StatusCode::REQUEST_TIMEOUT)?
        .map_err(|_| StatusCode::BAD_REQUEST)?;
    Ok(ProxyBody::from(read))
}

fn max_body_bytes(node: &Rc<Node>) -> u64 {
    let state = node.state.borrow();
    let snapshot = state.snapshots.snapshot();
    let configuration = snapshot.configuration.as_ref();
    configuration
        .and_then(|known| known.limits.max_body_bytes)
        .unwrap_or(MAX_BODY_BYTES)
}
