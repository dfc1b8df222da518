//! Requests of local callers: routed, attempted, answered.
//!
//! - [`request`]: what a request is, where it goes, where it stands in its tree;
//! - [`attempts`]: attempts one after the other, or beside a silent server;
//! - [`send`]: one attempt, to the server beside this node or to another node;
//! - [`answer`]: what the caller is told when no server's answer is passed on.

mod answer;
mod attempts;
mod request;
mod send;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use lifthollow_coordination::mesh::call::{Call, FinalAnswer, RefusalReason};
use lifthollow_coordination::mesh::server_wanted::Purpose;
use lifthollow_coordination::mesh::tenants::authentication::Denial;
use lifthollow_state::Timestamp;
use rand::RngExt;

use crate::http::ProxyBody;
use crate::http::headers::{self, remove_single_connection};
use crate::http::server::{ConnectionLimits, Handler};
use crate::node::Node;
use crate::tenants::identity::identify;
use crate::tenants::tokens::{self, NoToken};
use crate::{peer_headers, request_content};
use answer::{REFUSED, final_response, finish, log_unrouted, status};
use attempts::attempts;
use request::{HeldBody, RoutedRequest, find_route, read_body, tree_place};

/// When callers may come back before there is a configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Callers whose key this node's view is too old to judge may come back after this time: nodes
/// ask for a fresh view several times a second.
const OLD_VIEW_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Callers refused for overload are asked to come back after this time, at the
/// earliest; at the latest after twice as long.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The port for local callers.
pub struct Outbound(pub Rc<Node>);

impl Handler for Outbound {
    const LOOKS_AHEAD: bool = true;
    const ADDS_DATE: bool = true;

    async fn handle(self: Rc<Self>, request: Request<Option<Incoming>>) -> Response<ProxyBody> {
        let node = &self.0;
        let arrived = node.now();
        node.last_request.set(Some(arrived));
        let (outcome, response) = serve(node, arrived, request).await;
        let took = node.now().saturating_since(arrived);
        node.metrics.requests.with_label_values(&[outcome]).inc();
        node.metrics.request_duration.observe(took.as_secs_f64());
        response
    }

    fn may_answer_early(&self, request: &Request<()>) -> bool {
        let state = self.0.state.borrow();
        let route = state.routes.as_ref().and_then(|routes| {
            let host = headers::host(request.headers(), request.uri());
            routes.find(host, request.uri().path())
        });
        route.is_some_and(|route| route.is_idempotent())
    }

    fn connection_limits(&self) -> ConnectionLimits {
        self.0.connection_limits()
    }

    fn accept_refused(&self, error: &io::Error) {
        self.0.note_accept_refused("outbound", error);
    }

    fn accept_resumed(&self, refused: u32) {
        self.0.note_accept_resumed("outbound", refused);
    }
}

async fn serve(
    node: &Rc<Node>,
    arrived: Timestamp,
    request: Request<Option<Incoming>>,
) -> (&'static str, Response<ProxyBody>) {
    let (mut head, incoming) = request.into_parts();
    remove_single_connection(&mut head.headers);
    peer_headers::strip(&mut head.headers);
    let route = match find_route(node, &head) {
        Ok(route) => Rc::new(route),
        Err(StatusCode::NOT_FOUND) => {
            log_unrouted(node, &head, "no-route");
            return ("no-route", status(StatusCode::NOT_FOUND));
        }
        Err(_) => {
            log_unrouted(node, &head, "not-configured");
            let refusal = FinalAnswer::Refused {
                retry_after: UNCONFIGURED_RETRY_AFTER,
                reason: RefusalReason::NotConfigured,
            };
            return ("not-configured", final_response(node, refusal));
        }
    };
    let tenant = match identify(node, &mut head.headers, &route.route) {
        Ok(tenant) => tenant,
        Err(denial) => return deny(node, &head, denial),
    };
    let patience = peer_headers::milliseconds(&head.headers, &node.names.deadline_ms);
    let call = Call::new(arrived, &route.route, patience);
    let (tree, mut call_of_run) = tree_place(node, &head, &route, tenant.as_deref(), &call);
    let body = match incoming {
        None => ProxyBody::empty(),
        Some(incoming) => match read_body(node, &call, incoming).await {
            Ok(body) => body,
            Err(refused) => {
                log_unrouted(node, &head, "bad-request");
                return ("bad-request", status(refused));
            }
        },
    };
    let content = request_content::caller_content(&node.settings.service, &head, &body);
    let mut request = RoutedRequest {
        head,
        body: HeldBody::from(body),
        content,
        route,
        tenant,
        tree,
        arrived,
    };
    let answer = admit_and_attempt(node, &mut request, call).await;
    if let Some(call_of_run) = &mut call_of_run {
        call_of_run.answered(answer.1.status());
    }
    answer
}

/// The answer to a request that needs a key and hasn't one that is known to be good.
fn deny(node: &Rc<Node>, head: &Parts, denial: Denial) -> (&'static str, Response<ProxyBody>) {
    let word = match denial {
        Denial::NoKey => "no-key",
        Denial::UnknownKey => "unknown-key",
        Denial::ViewTooOld => "view-too-old",
    };
    log_unrouted(node, head, word);
    let response = match denial {
        Denial::NoKey | Denial::UnknownKey => status(StatusCode::UNAUTHORIZED),
        Denial::ViewTooOld => final_response(
            node,
            FinalAnswer::Refused {
                retry_after: OLD_VIEW_RETRY_AFTER,
                reason: RefusalReason::ViewTooOld,
            },
        ),
    };
    (word, response)
}

/// Sends attempts, unless the request would be refused further down or its tenant is at its
/// limit.
async fn admit_and_attempt(
    node: &Rc<Node>,
    request: &mut RoutedRequest,
    call: Call,
) -> (&'static str, Response<ProxyBody>) {
    if let Some(refusal) = refuse_overload(node, request) {
        return finish(node, request, refusal);
    }
    let Some(tenant) = request.tenant.clone() else {
        return attempts(node, request, call).await;
    };
    if let Err(no_token) = tokens::take(node, &tenant).await {
        return finish(node, request, over_limit(no_token));
    }
    let answer = attempts(node, request, call).await;
    if answer.0 == REFUSED {
        tokens::give_back(node, &tenant);
    }
    answer
}

fn over_limit(no_token: NoToken) -> FinalAnswer {
    let (reason, retry_after) = match no_token {
        NoToken::OverLimit(time) => (RefusalReason::OverLimit, time),
        NoToken::Unanswered(time) => (RefusalReason::NoLender, time),
    };
    FinalAnswer::Refused {
        retry_after,
        reason,
    }
}

/// A new request that would be refused further down is refused before any work
/// is done for it.
fn refuse_overload(node: &Rc<Node>, request: &RoutedRequest) -> Option<FinalAnswer> {
    if request.tree.is_nested {
        return None;
    }
    let mut state = node.state.borrow_mut();
    let service = &request.route.service;
    let level = state
        .servers
        .admission_level(node.now(), service, Purpose::Request);
    if level.admits(request.tree.priority) {
        return None;
    }
    let retry_after = OVERLOAD_RETRY_AFTER.mul_f64(1.0 + state.random.random::<f64>());
    Some(FinalAnswer::Refused {
        retry_after,
        reason: RefusalReason::Overloaded,
    })
}
