//! Sends one attempt: to the local server, or to the node beside another server.

use std::rc::Rc;

use hyper::header::HeaderValue;
use hyper::{Request, Response};
use lifthollow_coordination::mesh::call::{AttemptEnd, NotRunReason, UnknownReason};
use lifthollow_coordination::mesh::reported_load::ReportedLoad;
use lifthollow_state::mesh::{ServerInstance, ServerNotice};

use crate::http::ProxyBody;
use crate::http::body::{self, ReadBody};
use crate::http::headers::remove_single_connection;
use crate::http::pool::SendError;
use crate::inbound::{self, Attempt, AttemptOutcome, milliseconds_value};
use crate::node::Node;
use crate::outbound::request::RoutedRequest;
use crate::{peer_headers, snapshots};

/// Answers of other nodes up to this size, in bytes, are buffered whole.
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 * 1024;

/// Builds the request that is sent to a server: the caller's request with `body`, and with headers
/// for the calling service, the tenant and the server instance that is meant.
pub(super) fn outgoing_request(
    node: &Rc<Node>,
    request: &RoutedRequest,
    server: &ServerInstance,
    body: ProxyBody,
) -> Request<ProxyBody> {
    let mut outgoing = Request::new(body);
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.uri_mut() = request.head.uri.clone();
    let headers = outgoing.headers_mut();
    *headers = request.head.headers.clone();
    let names = &node.names;
    let caller = HeaderValue::from_str(&node.settings.service);
    headers.insert(
        &names.caller_service,
        caller.unwrap_or(HeaderValue::from_static("")),
    );
    if let Some(tenant) = &request.tenant
        && let Ok(name) = HeaderValue::from_str(&tenant.name)
    {
        headers.insert(&names.tenant, name);
    }
    let instance = HeaderValue::from_str(server.id.as_str());
    headers.insert(
        &names.expected_instance,
        instance.unwrap_or(HeaderValue::from_static("")),
    );
    outgoing
}

/// Sends an attempt, and records what the answer reports about the server.
pub(super) async fn send_attempt(
    node: &Rc<Node>,
    server: &ServerInstance,
    attempt: Attempt,
) -> AttemptOutcome {
    let started = node.now();
    let is_beside = node.is_beside(server);
    let is_nested = attempt.tree.is_nested;
    let (outcome, report) = if is_beside {
        let outcome = inbound::execute(node, attempt).await;
        (outcome, own_server_report(node, is_nested))
    } else {
        send_to_node(node, server, attempt).await
    };
    record_notice(node, server, &outcome.end, report.notice);
    let load = report.load;
    if outcome.end == AttemptEnd::Answered {
        let now = node.now();
        let latency = now.saturating_since(started);
        let mut state = node.state.borrow_mut();
        let latency = Some((latency, is_nested));
        state.servers.record_answer(now, &server.id, load, latency);
    } else if let Some(load) = load {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        state.servers.record_load_report(now, &server.id, load);
    }
    outcome
}

/// What a server's node reports about the server when an attempt ends.
#[derive(Clone, Copy, Debug, Default)]
struct ServerReport {
    load: Option<ReportedLoad>,
    notice: Option<ServerNotice>,
}

fn own_server_report(node: &Rc<Node>, is_nested: bool) -> ServerReport {
    let load = node.own_load(is_nested, &node.settings.zone);
    let notice = node.state.borrow().admission.notice();
    ServerReport {
        load: Some(load),
        notice: (notice != ServerNotice::default()).then_some(notice),
    }
}

/// Records the notice of a server. A missing notice means that the server announces no limit only if
/// the server itself answered: otherwise its node may have restarted and not know the limit yet.
fn record_notice(
    node: &Rc<Node>,
    server: &ServerInstance,
    end: &AttemptEnd,
    notice: Option<ServerNotice>,
) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    if *end == AttemptEnd::Answered || notice.is_some() {
        let notice = notice.unwrap_or_default();
        state.servers.record_notice(now, &server.id, notice);
    }
    let is_rate_limited = matches!(
        end,
        AttemptEnd::NotRun {
            reason: NotRunReason::RateLimited,
            ..
        }
    );
    if is_rate_limited {
        state.servers.rate_limited(now, &server.id);
    }
}

async fn send_to_node(
    node: &Rc<Node>,
    server: &ServerInstance,
    mut attempt: Attempt,
) -> (AttemptOutcome, ServerReport) {
    let address = node.node_beside(server);
    let has_answer_begun = attempt.has_answer_begun.clone();
    let asked = node.now();
    let headers = attempt.request.headers_mut();
    let left = attempt.deadline.saturating_since(asked);
    headers.insert(&node.names.deadline_ms, milliseconds_value(left));
    let place = peer_headers::tree_value(&attempt.tree, &attempt.terms);
    headers.insert(peer_headers::TREE, place);
    if let Some(limit) = attempt.limit_known_to_sender
        && let Ok(limit) = HeaderValue::try_from(limit.to_string())
    {
        headers.insert(peer_headers::TOLD_LIMIT, limit);
    }
    headers.insert(peer_headers::PATIENCE, milliseconds_value(attempt.patience));
    snapshots::add_snapshot_headers(node, headers);
    let answered = node
        .peer_connections
        .send(address, attempt.request, attempt.reuse)
        .await;
    let (response, lease) = match answered {
        Ok(answered) => answered,
        Err(SendError::NotSent(_)) => {
            let outcome = AttemptOutcome::not_run(NotRunReason::NodeUnreachable);
            return (outcome, ServerReport::default());
        }
        Err(SendError::Lost { .. }) => {
            let outcome = AttemptOutcome::unknown(UnknownReason::AnswerLost);
            return (outcome, ServerReport::default());
        }
        Err(SendError::NoFinalStatus { .. }) => {
            let outcome = AttemptOutcome::unknown(UnknownReason::AnswerInvalid);
            return (outcome, ServerReport::default());
        }
    };
    has_answer_begun.set(true);
    let (mut head, incoming) = response.into_parts();
    snapshots::fetch_if_newer(node, &head.headers, address);
    snapshots::update_view_age(node, &head.headers, asked);
    let report = ServerReport {
        load: peer_headers::load(&head.headers),
        notice: peer_headers::server_notice(&head.headers),
    };
    let end = peer_headers::outcome(&head.headers);
    let body = match body::read(incoming, MAX_BUFFERED_ANSWER_BYTES).await {
        Err(_) => return (AttemptOutcome::unknown(UnknownReason::AnswerLost), report),
        Ok(ReadBody::Whole(bytes)) => {
            lease.keep();
            ProxyBody::Whole(bytes)
        }
        Ok(ReadBody::Larger { arrived, rest }) => ProxyBody::Passing {
            arrived,
            rest,
            guard: Box::new(lease),
            is_complete: Rc::default(),
        },
    };
    if end != AttemptEnd::Answered {
        return (
            AttemptOutcome {
                end,
                response: None,
                sent_on: None,
            },
            report,
        );
    }
    remove_single_connection(&mut head.headers);
    peer_headers::strip(&mut head.headers);
    let outcome = AttemptOutcome {
        end,
        response: Some(Response::from_parts(head, body)),
        sent_on: None,
    };
    (outcome, report)
}
