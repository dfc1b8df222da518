//! Running an attempt on this node's local back end.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body::Frame;
use hyper::header::{HOST, HeaderValue, RETRY_AFTER};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};

use futures_util::StreamExt;

use lifthollow_coordination::inbound::RunResult;
use lifthollow_protocol::frame::Open;
use lifthollow_transport::http::{AnyBody, BackendBody, BackendError, BodyError, header};
use lifthollow_transport::mux::BodyReceiver;

use crate::traffic::caller_headers::{CONTEXT, DEADLINE};
use crate::traffic::parents::ContextToken;

/// A back end sets this header to `yes` on an answer to a call that it shed
/// before running it.
const NOT_RUN: &str = "lifthollow-not-run";
const YES: &str = "yes";
/// Time after which a back end may be called again if its refusal names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Value of the `host` header if the caller sent none.
const DEFAULT_HOST: HeaderValue = HeaderValue::from_static("localhost");

/// The open frame does not describe a valid HTTP request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the attempt's method or path is not valid")]
pub struct InvalidRequest;

/// Builds the HTTP request for the back end.
pub fn backend_request(
    open: &Open,
    body: BodyReceiver,
    token: ContextToken,
    remaining: Duration,
) -> Result<Request<AnyBody>, InvalidRequest> {
    let method = Method::from_bytes(open.method.as_bytes()).map_err(|_| InvalidRequest)?;
    let path = PathAndQuery::try_from(open.path.as_str()).map_err(|_| InvalidRequest)?;
    let mut headers = header::to_header_map(&open.headers);
    headers.entry(HOST).or_insert(DEFAULT_HOST);
    let milliseconds = remaining.as_millis() as u64;
    headers.insert(DEADLINE, HeaderValue::from(milliseconds));
    let token = HeaderValue::try_from(token.to_string()).map_err(|_| InvalidRequest)?;
    headers.insert(CONTEXT, token);
    let mut request = Request::new(request_body(open, body));
    *request.method_mut() = method;
    *request.uri_mut() = Uri::from(path);
    *request.headers_mut() = headers;
    Ok(request)
}

fn request_body(open: &Open, body: BodyReceiver) -> AnyBody {
    if open.bodiless {
        let empty = Empty::<Bytes>::new();
        return empty.map_err(|never| match never {}).boxed_unsync();
    }
    let frames = body.map(|bytes| bytes.map(Frame::data).map_err(BodyError::from));
    StreamBody::new(frames).boxed_unsync()
}

/// The result of a run as it is reported to the policy.
pub fn run_result(answer: &Result<Response<BackendBody>, BackendError>) -> RunResult {
    match answer {
        Ok(response) if is_shed(response.status(), response.headers()) => RunResult::Refused {
            retry_after: retry_after(response.headers()),
        },
        Ok(response) => RunResult::Completed {
            success: !response.status().is_server_error(),
        },
        Err(BackendError::NotSent(_)) => RunResult::Refused {
            retry_after: DEFAULT_RETRY_AFTER,
        },
        Err(BackendError::Lost(_)) => RunResult::Lost,
    }
}

/// Whether the back end shed the call. Only the header [`NOT_RUN`] shows reliably
/// that it did not run the call; the status alone does not.
fn is_shed(status: StatusCode, headers: &HeaderMap) -> bool {
    let has_not_run_header = headers.get(NOT_RUN).is_some_and(|value| value == YES);
    status == StatusCode::SERVICE_UNAVAILABLE && has_not_run_header
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let seconds = headers.get(RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok());
    seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}
