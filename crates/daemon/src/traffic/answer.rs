//! Responses to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use lifthollow_protocol::RefusalReason;
use lifthollow_protocol::frame::AnswerHead;
use lifthollow_protocol::operators::Outcome;
use lifthollow_transport::http::{AnyBody, header};

use crate::traffic::caller_headers::HeaderFaults;
use crate::traffic::request_body::ReadError;

/// Header with the outcome of a call: `complete`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("lifthollow-outcome");
/// Header with the reason why the outcome is not `complete`.
pub const REASON: HeaderName = HeaderName::from_static("lifthollow-reason");
/// Header with the time after which the caller may retry, milliseconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("lifthollow-retry-after-ms");
/// The outcome of an answer from a back end.
pub const COMPLETE: &str = "complete";

/// Reason of a refused call whose headers have faults.
const BAD_HEADERS: &str = "bad_headers";
/// Reason of a refused call with an idempotency key whose body is too large.
const BODY_TOO_LARGE: &str = "body_too_large";
/// Reason of a refused call whose body ended early.
const BODY_BROKEN: &str = "body_broken";

/// The response to the caller that carries a back end's answer, with the given
/// body.
pub fn delivered(head: &AnswerHead, body: AnyBody) -> Response<AnyBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = header::to_header_map(&head.headers);
    let outcome = HeaderValue::from_static(COMPLETE);
    response.headers_mut().insert(OUTCOME, outcome);
    response
}

/// The response to a call that was refused or whose outcome is unknown.
pub fn refused(
    outcome: Outcome,
    reason: RefusalReason,
    retry_after: Duration,
) -> Response<AnyBody> {
    let status = match outcome {
        Outcome::NotRun => not_run_status(reason),
        Outcome::Unknown => unknown_status(reason),
    };
    let mut response = error_response(status, outcome, reason.as_str(), reason.as_str());
    let seconds = retry_after.as_millis().div_ceil(1000) as u64;
    let milliseconds = retry_after.as_millis() as u64;
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    headers.insert(RETRY_AFTER_MS, HeaderValue::from(milliseconds));
    response
}

/// The response to a call whose headers have faults.
pub fn bad_headers(faults: &HeaderFaults) -> Response<AnyBody> {
    let text = faults.to_string();
    error_response(StatusCode::BAD_REQUEST, Outcome::NotRun, BAD_HEADERS, &text)
}

/// The response to a call whose body could not be read.
pub fn unreadable_body(error: &ReadError) -> Response<AnyBody> {
    let (status, reason) = match error {
        ReadError::KeyedTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, BODY_TOO_LARGE),
        ReadError::Broken(_) => (StatusCode::BAD_REQUEST, BODY_BROKEN),
    };
    error_response(status, Outcome::NotRun, reason, &error.to_string())
}

fn not_run_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::UnknownService => StatusCode::NOT_FOUND,
        RefusalReason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn unknown_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::DeadlineTooShort => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

fn error_response(
    status: StatusCode,
    outcome: Outcome,
    reason: &'static str,
    text: &str,
) -> Response<AnyBody> {
    let line = format!("{}\n", text.trim_end());
    let body = Full::new(Bytes::from(line)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
    headers.insert(REASON, HeaderValue::from_static(reason));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
