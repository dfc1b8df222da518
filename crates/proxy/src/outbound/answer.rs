//! Answers a caller when no server's answer is forwarded, and logs why.

use std::rc::Rc;

use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use lifthollow_coordination::mesh::call::{AttemptEnd, FinalAnswer, RefusalReason};
use lifthollow_coordination::mesh::nested_calls;
use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::mesh::ServerInstance;
use slog::info;

use crate::http::ProxyBody;
use crate::node::Node;
use crate::outbound::request::RoutedRequest;
use crate::peer_headers;

/// Outcome label of a request that did not run and will not be attempted again.
pub(super) const REFUSED: &str = "refused";

/// Logs the final answer to a request that was not served, and returns its outcome label and the
/// response to the caller.
pub(super) fn finish(
    node: &Rc<Node>,
    request: &RoutedRequest,
    answer: FinalAnswer,
) -> (&'static str, Response<ProxyBody>) {
    let (outcome, why) = answer_labels(&answer);
    if node.may_log() {
        let now = node.now();
        let held = now.saturating_since(request.arrived).as_millis() as u64;
        let service = &request.route.service;
        let is_nested = request.tree.is_nested;
        let state = node.state.borrow();
        let purpose = nested_calls::purpose(&state.budgets, now, service, is_nested);
        let known = state.servers.known_load(now, service, purpose);
        drop(state);
        info!(node.log, "request not served"; "request" => node.names.request_id_of(&request.head.headers),
            "content" => %request.content, "outcome" => outcome, "why" => why,
            "route" => &request.route.route.name,
            "tenant" => request.tenant.as_ref().map(|tenant| &tenant.name),
            "view_age_ms" => node.view_age().map(|age| age.as_millis() as u64),
            "service" => service, "nested" => is_nested,
            "priority" => AdmissionLevel::of(request.tree.priority).0,
            "admission_level" => known.level.0, "level_age_ms" => known.age.as_millis() as u64,
            "servers" => known.servers, "set_aside" => known.ineligible,
            "configuration" => request.route.version, "revision" => %node.revision(), "held_ms" => held);
    }
    (outcome, final_response(node, answer))
}

fn answer_labels(answer: &FinalAnswer) -> (&'static str, &'static str) {
    match answer {
        FinalAnswer::Unknown => ("unknown", "answer-lost"),
        FinalAnswer::TimedOut => ("timed-out", "out-of-time"),
        FinalAnswer::Refused { reason, .. } => {
            let why = match reason {
                RefusalReason::NotConfigured => "not-configured",
                RefusalReason::ViewTooOld => "view-too-old",
                RefusalReason::OverLimit => "over-limit",
                RefusalReason::NodeLeaving => "node-leaving",
                RefusalReason::NoLender => "no-lender",
                RefusalReason::NoServer => "no-server",
                RefusalReason::Overloaded => "overloaded",
                RefusalReason::OutOfTime => "out-of-time",
                RefusalReason::CrashesServers => peer_headers::CRASHES_SERVERS,
                RefusalReason::AllRefused(reason) => peer_headers::not_run_label(*reason),
            };
            (REFUSED, why)
        }
    }
}

pub(super) fn final_response(node: &Rc<Node>, answer: FinalAnswer) -> Response<ProxyBody> {
    match answer {
        FinalAnswer::Unknown => status(StatusCode::BAD_GATEWAY),
        FinalAnswer::TimedOut => status(StatusCode::GATEWAY_TIMEOUT),
        FinalAnswer::Refused {
            retry_after,
            reason,
        } => {
            let mut response = status(match reason {
                RefusalReason::OverLimit => StatusCode::TOO_MANY_REQUESTS,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            });
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            let seconds =
                HeaderValue::try_from(seconds).expect("a decimal number is a valid header value");
            response
                .headers_mut()
                .insert(&node.names.retry_after, seconds);
            response
        }
    }
}

pub(super) fn status(status: StatusCode) -> Response<ProxyBody> {
    let mut response = Response::new(ProxyBody::empty());
    *response.status_mut() = status;
    response
}

/// Logs a request that was answered before its attempts could begin: it has no route, its key was
/// refused, or its body could not be read.
pub(super) fn log_unrouted(node: &Rc<Node>, head: &Parts, why: &str) {
    if !node.may_log() {
        return;
    }
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let version = node.configuration_version();
    info!(node.log, "request not routed"; "request" => node.names.request_id_of(&head.headers), "why" => why,
        "host" => host.unwrap_or_default(), "path" => head.uri.path(),
        "view_age_ms" => node.view_age().map(|age| age.as_millis() as u64),
        "configuration" => version, "revision" => %node.revision());
}

/// Logs an attempt that ended without an answer from its server.
pub(super) fn log_attempt(
    node: &Rc<Node>,
    request: &RoutedRequest,
    server: &ServerInstance,
    end: &AttemptEnd,
) {
    if !node.may_log() {
        return;
    }
    let Some((outcome, why)) = peer_headers::failure_labels(end) else {
        return;
    };
    let now = node.now();
    let held = now.saturating_since(request.arrived).as_millis() as u64;
    info!(node.log, "attempt not answered"; "request" => node.names.request_id_of(&request.head.headers),
        "content" => %request.content, "server" => server.id.as_str(), "service" => &server.service,
        "outcome" => outcome, "why" => why, "configuration" => request.route.version, "revision" => %node.revision(),
        "held_ms" => held);
}
