//! Sends an attempt to the local server and classifies the server's answer.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response, StatusCode};
use lifthollow_coordination::mesh::call::{AttemptEnd, NotRunReason, UnknownReason};
use lifthollow_coordination::mesh::connection_history::RequestKey;
use lifthollow_coordination::mesh::server_health::RunEnd;
use lifthollow_state::mesh::InstanceId;
use slog::info;
use tokio::time::timeout;

use crate::http::ProxyBody;
use crate::http::body::{self, ReadBody};
use crate::http::head_limit;
use crate::http::headers::remove_single_connection;
use crate::http::pool::{ConnectionUse, Lease, Reuse, SendError};
use crate::inbound::admission::Permit;
use crate::inbound::{Attempt, AttemptOutcome, crash_detector, milliseconds_value, server_notice};
use crate::node::Node;
use crate::peer_headers;

/// Answers up to this size, in bytes, are buffered whole before any part is forwarded, so that
/// the attempt can still be retried at another server if the answer is interrupted.
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 * 1024;

/// The largest body of a refusal, in bytes, that is read so that its connection can be kept. A longer
/// one would hold back the next attempt of the request.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;

/// Sends an admitted attempt to the server and reads the server's answer.
pub(super) async fn send_to_server(
    node: &Rc<Node>,
    mut attempt: Attempt,
    mut permit: Permit,
) -> AttemptOutcome {
    let names = &node.names;
    let left = attempt.deadline.saturating_since(node.now());
    let headers = attempt.request.headers_mut();
    peer_headers::strip(headers);
    headers.insert(&names.deadline_ms, milliseconds_value(left));
    let id = headers.get(&names.request_id).cloned();
    let key = RequestKey::of(names.request_id_of(headers));
    let reuse = if attempt.terms.may_retry {
        Reuse::Any
    } else {
        Reuse::Recent
    };
    let connections = &node.server_connections;
    if node.is_own_server_silent() {
        // The idle connections may be unresponsive rather than the server. With twelve unresponsive
        // connections tried one after another, requests were answered again after 4.6 s; on a
        // new connection, within 1.5 s (test `silent_connections`).
        connections.close_idle(node.settings.server_address);
    }
    let server = attempt.server;
    node.state
        .borrow_mut()
        .server_runs
        .started(permit.run, attempt.content, &server);
    node.metrics.server_requests.inc();
    let sending =
        connections.send_to_server(node.settings.server_address, attempt.request, reuse, key);
    let sent = await_noting_overdue(node, &permit, attempt.tree.is_nested, sending).await;
    permit.end = RunEnd::Failed;
    let (response, lease) = match sent {
        Ok(answered) => answered,
        Err(SendError::NotSent(error)) => {
            node.state
                .borrow_mut()
                .server_runs
                .remove_unstarted(permit.run);
            permit.has_not_run = true;
            crash_detector::note_refused(node, &server, &error);
            return AttemptOutcome::not_run(NotRunReason::ServerUnreachable);
        }
        Err(SendError::Lost { error, sent_on }) => {
            let reason = lost_answer_reason(node, &server, &error).await;
            return AttemptOutcome::unknown_on(sent_on, reason);
        }
        Err(SendError::NoFinalStatus { status, sent_on }) => {
            let mut state = node.state.borrow_mut();
            state.admission.answered(node.now(), permit.run, false);
            drop(state);
            log_no_final_status(node, &server, id.as_ref(), status, sent_on);
            return AttemptOutcome::unknown_on(sent_on, UnknownReason::AnswerInvalid);
        }
    };
    let sent_on = lease.connection_use();
    let invalid = AttemptOutcome::unknown_on(sent_on, UnknownReason::AnswerInvalid);
    let is_answer_to_this = response.headers().get(&names.request_id) == id.as_ref();
    let is_failure = response.status().is_server_error();
    let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
    node.state.borrow_mut().admission.answered(
        node.now(),
        permit.run,
        is_answer_to_this && !is_failure && !is_misdirected,
    );
    if !is_answer_to_this {
        log_answer_to_other(node, &server, id.as_ref(), &response, sent_on);
        return invalid;
    }
    server_notice::apply_notice(node, &server, response.headers());
    if let Some(end) = server_refusal(node, response.status(), response.headers()) {
        node.state
            .borrow_mut()
            .server_runs
            .remove_unstarted(permit.run);
        permit.has_not_run = true;
        if is_misdirected {
            // Another server instance listens at the address: the intended one has failed no run.
            permit.end = RunEnd::Abandoned;
        }
        drain_refusal(response, lease, key).await;
        return AttemptOutcome {
            end,
            response: None,
            sent_on: Some(sent_on),
        };
    }
    let is_signed = response.headers().contains_key(&names.signature);
    if response.status().is_success() && !is_signed {
        return invalid;
    }
    permit.answered = true;
    if !is_failure {
        permit.end = RunEnd::Served;
    }
    let took = node.now().saturating_since(permit.started);
    node.metrics.server_duration.observe(took.as_secs_f64());
    read_answer(node, &server, response, lease, permit).await
}

/// Logs an answer of the local server whose status is not that of a final answer.
fn log_no_final_status(
    node: &Rc<Node>,
    server: &InstanceId,
    id: Option<&HeaderValue>,
    status: StatusCode,
    sent_on: ConnectionUse,
) {
    if !node.may_log() {
        return;
    }
    info!(node.log, "answer without a final status"; "request" => text(id),
        "status" => status.as_u16(), "server" => server.as_str(),
        "connection" => sent_on.connection, "position" => sent_on.position);
}

fn text(value: Option<&HeaderValue>) -> Option<String> {
    value.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// Logs an answer of the local server to another request than the one that was sent last on its
/// connection.
fn log_answer_to_other(
    node: &Rc<Node>,
    server: &InstanceId,
    id: Option<&HeaderValue>,
    response: &Response<Incoming>,
    sent_on: ConnectionUse,
) {
    if !node.may_log() {
        return;
    }
    info!(node.log, "answer to another request"; "request" => text(id),
        "answered" => text(response.headers().get(&node.names.request_id)),
        "status" => response.status().as_u16(), "server" => server.as_str(),
        "connection" => sent_on.connection, "position" => sent_on.position);
}

/// Awaits `sending`, and reports the run as overdue if it takes longer than almost all other
/// runs at the server do.
async fn await_noting_overdue<T>(
    node: &Rc<Node>,
    permit: &Permit,
    is_nested: bool,
    sending: impl Future<Output = T>,
) -> T {
    let limit = node.state.borrow().admission.overdue_after(is_nested);
    let Some(limit) = limit else {
        return sending.await;
    };
    let mut sending = pin!(sending);
    if let Ok(sent) = timeout(limit, sending.as_mut()).await {
        return sent;
    }
    let now = node.now();
    node.state.borrow_mut().admission.overdue(now, permit.run);
    sending.await
}

async fn lost_answer_reason(
    node: &Rc<Node>,
    server: &InstanceId,
    error: &hyper::Error,
) -> UnknownReason {
    if crash_detector::has_crashed(node, server).await {
        UnknownReason::ServerCrashed
    } else if error.is_parse() || head_limit::is_exceeded(error) {
        UnknownReason::AnswerInvalid
    } else {
        UnknownReason::AnswerLost
    }
}

/// Returns how the attempt ended if the server's answer says that the request was not run;
/// otherwise none.
fn server_refusal(node: &Rc<Node>, status: StatusCode, headers: &HeaderMap) -> Option<AttemptEnd> {
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    if !is_misdirected && !headers.contains_key(&node.names.not_run) {
        return None;
    }
    let reason = if is_misdirected {
        NotRunReason::WrongInstance
    } else {
        NotRunReason::ServerRefused
    };
    let seconds: Option<f64> = peer_headers::number(headers, &node.names.retry_after);
    let retry_after = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Some(AttemptEnd::NotRun {
        offered: true,
        reason,
        retry_after,
    })
}

async fn drain_refusal(response: Response<Incoming>, lease: Lease, request: RequestKey) {
    if let Ok(ReadBody::Whole(_)) = body::read(response.into_body(), MAX_REFUSAL_BYTES).await {
        lease.keep_after_refusal(request);
    }
}

async fn read_answer(
    node: &Rc<Node>,
    server: &InstanceId,
    response: Response<Incoming>,
    lease: Lease,
    mut permit: Permit,
) -> AttemptOutcome {
    let (mut head, incoming) = response.into_parts();
    remove_single_connection(&mut head.headers);
    let sent_on = lease.connection_use();
    let body = match body::read(incoming, MAX_BUFFERED_ANSWER_BYTES).await {
        Err(error) => {
            permit.end = RunEnd::Failed;
            let reason = lost_answer_reason(node, server, &error).await;
            return AttemptOutcome::unknown_on(sent_on, reason);
        }
        Ok(ReadBody::Whole(whole)) => {
            lease.keep();
            permit.is_complete.set(true);
            ProxyBody::Whole(whole)
        }
        Ok(ReadBody::Larger { arrived, rest }) => ProxyBody::Passing {
            arrived,
            rest,
            is_complete: permit.is_complete.clone(),
            guard: Box::new((lease, permit)),
        },
    };
    AttemptOutcome {
        end: AttemptEnd::Answered,
        response: Some(Response::from_parts(head, body)),
        sent_on: Some(sent_on),
    }
}
