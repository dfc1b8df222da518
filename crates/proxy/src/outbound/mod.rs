//! Routes, sends and answers the requests of local callers.
//!
//! - [`request`]: finds a request's route and its place in the call tree, and reads its body;
//! - [`attempts`]: sends attempts one after another, or in parallel if a server is unresponsive;
//! - [`send`]: sends one attempt to the local server or to another node;
//! - [`answer`]: answers the caller when no server's answer is forwarded.

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
use lifthollow_coordination::mesh::queue_time::QueueTime;
use lifthollow_coordination::mesh::server_requirements::Purpose;
use lifthollow_coordination::mesh::tenants::authentication::Denial;
use lifthollow_state::Timestamp;
use rand::RngExt;

use crate::http::ProxyBody;
use crate::http::headers::{self, remove_single_connection};
use crate::http::server::{ConnectionLimits, Handler, SentWhileClosing};
use crate::node::Node;
use crate::tenants::identity::identify;
use crate::tenants::tokens::{self, NoToken};
use crate::{peer_headers, request_content};
use answer::{REFUSED, final_response, finish, log_unrouted, status};
use attempts::run_attempts;
use request::{RequestBody, RoutedRequest, find_route, place_in_tree, read_body};

/// Time after which callers may retry while this node has no configuration yet.
const NOT_CONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time after which callers may retry if this node can't tell whether they need a key, or whether theirs is
/// valid: nodes ask for a fresh view several times a second.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time after which callers may retry that were refused because this node is about to end.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Minimum time after which callers refused for overload are asked to retry. Each caller's time
/// is drawn at random between once and twice this.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Handler of the port that local callers connect to.
pub struct Outbound(pub Rc<Node>);

impl Handler for Outbound {
    const LOOKS_AHEAD: bool = true;
    const ADDS_DATE: bool = true;
    const SERVES_WHILE_CLOSING: bool = true;

    async fn handle(self: Rc<Self>, request: Request<Option<Incoming>>) -> Response<ProxyBody> {
        let node = &self.0;
        let arrived = node.now();
        node.record_use(arrived, "caller", None);
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
        self.0.log_accept_refused("outbound", error);
    }

    fn accept_resumed(&self, refused: u32) {
        self.0.log_accept_resumed("outbound", refused);
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
                retry_after: NOT_CONFIGURED_RETRY_AFTER,
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
    let (tree, mut nested_call) = place_in_tree(node, &head, &route, tenant.as_deref(), &call);
    let is_late = head.extensions.get::<SentWhileClosing>().is_some();
    if is_late && nested_call.is_none() {
        log_unrouted(node, &head, "node-leaving");
        let refusal = FinalAnswer::Refused {
            retry_after: LEAVING_RETRY_AFTER,
            reason: RefusalReason::NodeLeaving,
        };
        return ("node-leaving", final_response(node, refusal));
    }
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
    let queue_time = QueueTime::new(node.now(), route.route.target_latency, tree.is_nested);
    let mut request = RoutedRequest {
        head,
        body: RequestBody::from(body),
        content,
        route,
        tenant,
        tree,
        arrived,
        queue_time,
    };
    let answer = admit_and_attempt(node, &mut request, call).await;
    if let Some(nested_call) = &mut nested_call {
        nested_call.answered(answer.1.status());
    }
    answer
}

/// Returns the outcome label and the response for a request that needs a key but carries none that
/// is known to be valid. If this node can't tell, the caller is asked to try again.
fn deny(node: &Rc<Node>, head: &Parts, denial: Denial) -> (&'static str, Response<ProxyBody>) {
    let word = match denial {
        Denial::NoKey => "no-key",
        Denial::UnknownKey => "unknown-key",
        Denial::UnknownRun => "unknown-run",
        Denial::ViewTooOld => "view-too-old",
    };
    log_unrouted(node, head, word);
    let response = match denial {
        Denial::NoKey | Denial::UnknownKey => status(StatusCode::UNAUTHORIZED),
        Denial::UnknownRun | Denial::ViewTooOld => final_response(
            node,
            FinalAnswer::Refused {
                retry_after: UNDECIDED_RETRY_AFTER,
                reason: RefusalReason::ViewTooOld,
            },
        ),
    };
    (word, response)
}

/// Sends the attempts of a request, unless the servers of its service would refuse it for overload
/// or its tenant is at its rate limit.
async fn admit_and_attempt(
    node: &Rc<Node>,
    request: &mut RoutedRequest,
    call: Call,
) -> (&'static str, Response<ProxyBody>) {
    if let Some(refusal) = refuse_overload(node, request) {
        return finish(node, request, refusal);
    }
    let Some(tenant) = request.tenant.clone() else {
        return run_attempts(node, request, call).await;
    };
    if let Err(no_token) = tokens::acquire(node, &tenant).await {
        return finish(node, request, tenant_refusal(no_token));
    }
    let answer = run_attempts(node, request, call).await;
    if answer.0 == REFUSED {
        tokens::return_token(node, &tenant);
    }
    answer
}

fn tenant_refusal(no_token: NoToken) -> FinalAnswer {
    let (reason, retry_after) = match no_token {
        NoToken::OverLimit(time) => (RefusalReason::OverLimit, time),
        NoToken::Unanswered(time) => (RefusalReason::NoLender, time),
    };
    FinalAnswer::Refused {
        retry_after,
        reason,
    }
}

/// Refuses a new request whose priority the servers of its service don't admit now, before any work
/// is done for it. Nested calls are never refused here.
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
