//! One attempt: to the server beside this node, or to the node beside another.

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

/// Answers of other nodes up to this size are taken in whole.
const MAX_HELD_ANSWER: usize = 256 * 1024;

/// The request as it goes to a server.
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

/// Sends an attempt and takes note of what its answer tells of the server.
pub(super) async fn send(
    node: &Rc<Node>,
    server: &ServerInstance,
    attempt: Attempt,
) -> AttemptOutcome {
    let started = node.now();
    let is_beside = node.is_beside(server);
    let is_nested = attempt.tree.is_nested;
    let (outcome, report) = if is_beside {
        let outcome = inbound::execute(node, attempt).await;
        (outcome, own_report(node, is_nested))
    } else {
        send_to_node(node, server, attempt).await
    };
    note_notice(node, server, &outcome.end, report.notice);
    let load = report.load;
    if outcome.end == AttemptEnd::Answered {
        let now = node.now();
        let latency = now.saturating_since(started);
        let mut state = node.state.borrow_mut();
        let latency = Some((latency, is_nested));
        state.servers.heard(now, &server.id, load, latency);
    } else if let Some(load) = load {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        state.servers.reported(now, &server.id, load);
    }
    outcome
}

/// What a server's node tells of it with the end of an attempt.
#[derive(Clone, Copy, Debug, Default)]
struct Report {
    load: Option<ReportedLoad>,
    notice: Option<ServerNotice>,
}

fn own_report(node: &Rc<Node>, is_nested: bool) -> Report {
    let load = node.own_load(is_nested, &node.settings.zone);
    let notice = node.state.borrow().admission.notice();
    Report {
        load: Some(load),
        notice: (notice != ServerNotice::default()).then_some(notice),
    }
}

/// Takes note of what the server says of itself. Only an answer of its own says that it takes
/// any number of requests: its node may have started anew, and not know.
fn note_notice(
    node: &Rc<Node>,
    server: &ServerInstance,
    end: &AttemptEnd,
    notice: Option<ServerNotice>,
) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    if *end == AttemptEnd::Answered || notice.is_some() {
        let notice = notice.unwrap_or_default();
        state.servers.noticed(now, &server.id, notice);
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
) -> (AttemptOutcome, Report) {
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
    snapshots::name_snapshot(node, headers);
    let answered = node
        .peer_connections
        .send(address, attempt.request, attempt.reuse)
        .await;
    let (response, lease) = match answered {
        Ok(answered) => answered,
        Err(SendError::NotSent(_)) => {
            let outcome = AttemptOutcome::not_run(NotRunReason::NodeUnreachable);
            return (outcome, Report::default());
        }
        Err(SendError::Lost(_)) => {
            let outcome = AttemptOutcome::unknown(UnknownReason::AnswerLost);
            return (outcome, Report::default());
        }
    };
    has_answer_begun.set(true);
    let (mut head, incoming) = response.into_parts();
    snapshots::note_snapshot(node, &head.headers, address);
    snapshots::note_view(node, &head.headers, asked);
    let report = Report {
        load: peer_headers::load(&head.headers),
        notice: peer_headers::server_notice(&head.headers),
    };
    let end = peer_headers::outcome(&head.headers);
    let body = match body::read(incoming, MAX_HELD_ANSWER).await {
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
            },
            report,
        );
    }
    remove_single_connection(&mut head.headers);
    peer_headers::strip(&mut head.headers);
    let outcome = AttemptOutcome {
        end,
        response: Some(Response::from_parts(head, body)),
    };
    (outcome, report)
}
