//! A caller's request: its route, its body and its place in the call tree.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use lifthollow_coordination::inbound::InboundId;
use lifthollow_coordination::mesh::call::Call;
use lifthollow_coordination::mesh::poison::content::CallerContent;
use lifthollow_coordination::mesh::queue_time::QueueTime;
use lifthollow_coordination::mesh::request_tree::{RequestRank, priority_of_request};
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{Route, Tenant};
use tokio::time::timeout_at;

use crate::http::ProxyBody;
use crate::http::body;
use crate::http::headers::host;
use crate::node::Node;
use crate::peer_headers::{self, CallTreePlace};

/// Request bodies up to this size, in bytes, are buffered whole, so that they can be sent again.
const MAX_BUFFERED_REQUEST_BYTES: usize = 256 * 1024;
/// The largest request body that is accepted, in bytes, unless the configuration sets a limit.
const DEFAULT_MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// A request whose route is known.
pub(super) struct RoutedRequest {
    pub(super) head: Parts,
    pub(super) body: RequestBody,
    /// Fingerprint of the request's content, with the calling service.
    pub(super) content: CallerContent,
    pub(super) route: Rc<ChosenRoute>,
    /// The tenant that the request belongs to; none if the request needs no key.
    pub(super) tenant: Option<Arc<Tenant>>,
    pub(super) tree: CallTreePlace,
    pub(super) arrived: Timestamp,
    /// How long the request may wait in queues.
    pub(super) queue_time: QueueTime,
}

impl RoutedRequest {
    /// The host that the request is addressed to.
    pub(super) fn host(&self) -> &str {
        host(&self.head.headers, &self.head.uri)
    }
}

/// The route of a request, with the service chosen for it and the version of the configuration that
/// defines the route.
pub(super) struct ChosenRoute {
    pub(super) route: Arc<Route>,
    pub(super) version: u64,
    pub(super) service: String,
}

/// A request's body. One that is too large to be buffered whole can be sent only once.
pub(super) enum RequestBody {
    Whole(Bytes),
    Once(Option<ProxyBody>),
}

impl From<ProxyBody> for RequestBody {
    fn from(body: ProxyBody) -> Self {
        match body {
            ProxyBody::Whole(bytes) => RequestBody::Whole(bytes),
            passing @ ProxyBody::Passing { .. } => RequestBody::Once(Some(passing)),
        }
    }
}

impl RequestBody {
    pub(super) fn take(&mut self) -> Option<ProxyBody> {
        match self {
            RequestBody::Whole(bytes) => Some(ProxyBody::Whole(bytes.clone())),
            RequestBody::Once(body) => body.take(),
        }
    }

    pub(super) fn is_spent(&self) -> bool {
        matches!(self, RequestBody::Once(None))
    }
}

/// A nested call in progress, made by a run on the local server. Dropping it reports the
/// end of the call.
pub(super) struct NestedCall {
    node: Rc<Node>,
    run: InboundId,
    has_failed: bool,
}

impl NestedCall {
    /// Records the status that the call was answered with.
    pub(super) fn answered(&mut self, status: StatusCode) {
        self.has_failed = status.is_server_error();
    }
}

impl Drop for NestedCall {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        state.admission.call_ended(self.run, self.has_failed);
    }
}

/// Places a request in the call tree: as the root of a new tree, or as a nested call of a run on
/// the local server.
pub(super) fn place_in_tree(
    node: &Rc<Node>,
    head: &Parts,
    route: &ChosenRoute,
    tenant: Option<&Tenant>,
    call: &Call,
) -> (CallTreePlace, Option<NestedCall>) {
    let id = node.names.request_id_of(&head.headers);
    let time_left = peer_headers::milliseconds(&head.headers, &node.names.deadline_ms);
    let now = node.now();
    let deadline = time_left.map_or(call.deadline(), |time_left| now + time_left);
    let mut state = node.state.borrow_mut();
    match state.admission.parent_of(now, id, deadline) {
        Some(parent) => {
            state.admission.record_call(parent.run, &route.service);
            let place = CallTreePlace {
                priority: parent.priority,
                is_nested: true,
                is_retry: parent.is_retry,
            };
            let nested_call = NestedCall {
                node: node.clone(),
                run: parent.run,
                has_failed: true,
            };
            (place, Some(nested_call))
        }
        None => {
            let rank = RequestRank {
                route: route.route.priority,
                tenant: tenant.map(|tenant| tenant.priority),
            };
            let place = CallTreePlace {
                priority: priority_of_request(rank, id),
                is_nested: false,
                is_retry: false,
            };
            (place, None)
        }
    }
}

pub(super) fn find_route(node: &Rc<Node>, head: &Parts) -> Result<ChosenRoute, StatusCode> {
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
    Ok(ChosenRoute {
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
    let deadline = node.clock.instant(call.deadline()).into();
    let read = timeout_at(deadline, body::read(incoming, MAX_BUFFERED_REQUEST_BYTES))
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
        .unwrap_or(DEFAULT_MAX_BODY_BYTES)
}
