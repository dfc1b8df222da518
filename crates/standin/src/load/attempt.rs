//! One attempt of a request: an HTTP call to a node whose whole response body is verified.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;

use super::call_kind::CallKind;
use crate::call::{CallName, CallSpecification};
use crate::content::{BodyDigest, Content};
use crate::headers;

/// Outcome of one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete and correct response to the call arrived.
    Complete,
    /// The service answered the call with an error status.
    Failed(StatusCode),
    /// The call was answered as not executed.
    NotRun {
        /// Reason given in the response for not executing the call.
        reason: String,
        /// Delay after which the response allows a retry.
        retry_after: Option<Duration>,
    },
    /// The call may or may not have been executed.
    Unknown {
        /// Reason why the outcome is unknown.
        reason: String,
    },
    /// The response was marked complete, but its body is not the expected one.
    Corrupt,
}

/// HTTP client that sends attempts to a list of nodes in round-robin order.
pub struct NodeClient {
    addresses: Vec<SocketAddr>,
    next: AtomicUsize,
    client: Client<HttpConnector, RequestBody>,
}

impl NodeClient {
    /// Creates a client of the nodes at `addresses`.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        NodeClient {
            addresses,
            next: AtomicUsize::new(0),
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Makes one attempt and waits for its end for at most `timeout`. The connection is closed if
    /// the timeout expires.
    pub async fn attempt(
        &self,
        name: &CallName,
        key: Option<&str>,
        kind: &CallKind,
        timeout: Duration,
    ) -> AttemptOutcome {
        let call = self.send_call(name, key, kind, timeout);
        match tokio::time::timeout(timeout, call).await {
            Ok(outcome) => outcome,
            Err(_) => unknown("client_timeout"),
        }
    }

    async fn send_call(
        &self,
        name: &CallName,
        key: Option<&str>,
        kind: &CallKind,
        timeout: Duration,
    ) -> AttemptOutcome {
        let call = CallSpecification {
            name: name.clone(),
            key: key.map(str::to_owned),
            answer_bytes: kind.answer_bytes,
            pace: kind.pace,
        };
        let index = self.next.fetch_add(1, Ordering::Relaxed) % self.addresses.len();
        let content = Content::of_call(name, kind.body_bytes);
        let body_digest = content.digest();
        let Ok(request) = build_request(self.addresses[index], &call, kind, timeout, content)
        else {
            return unknown("malformed_request");
        };
        match self.client.request(request).await {
            Ok(response) => {
                let expected = Content::of_answer(&call, body_digest);
                classify_response(response, expected).await
            }
            Err(error) => unknown(connection_reason(&error)),
        }
    }
}

fn connection_reason(error: &Error) -> &'static str {
    if error.is_connect() {
        "connect"
    } else {
        "connection_lost"
    }
}

fn unknown(reason: &str) -> AttemptOutcome {
    let reason = reason.to_owned();
    AttemptOutcome::Unknown { reason }
}

fn build_request(
    node: SocketAddr,
    call: &CallSpecification,
    kind: &CallKind,
    timeout: Duration,
    content: Content,
) -> hyper::http::Result<Request<RequestBody>> {
    let mut builder = Request::post(format!("http://{node}{}", call.to_path()))
        .header(headers::SERVICE, &kind.service)
        .header(headers::DEADLINE_MS, timeout.as_millis().to_string())
        .header(headers::REQUEST, &call.name.request)
        .header(headers::ATTEMPT, call.name.attempt.to_string());
    for (name, value) in call.name_headers() {
        builder = builder.header(name, value);
    }
    if !kind.class.is_empty() {
        builder = builder.header(headers::CLASS, &kind.class);
    }
    if let Some(key) = &call.key {
        builder = builder.header(headers::IDEMPOTENCY_KEY, key);
    }
    builder.body(RequestBody::new(content))
}

async fn classify_response(response: Response<Incoming>, expected: Content) -> AttemptOutcome {
    let status = response.status();
    let fields = response.headers().clone();
    match header(&fields, headers::OUTCOME) {
        Some("not-run") => return not_run(&fields),
        Some("unknown") => return unknown(header(&fields, headers::REASON).unwrap_or("unnamed")),
        _ => {}
    }
    if header(&fields, headers::NOT_RUN) == Some("yes") {
        return not_run(&fields);
    }
    if !status.is_success() {
        return AttemptOutcome::Failed(status);
    }
    let Some(digest) = digest_body(response.into_body()).await else {
        return unknown("answer_cut");
    };
    let is_expected = digest.length() == expected.length() && digest.finish() == expected.digest();
    if is_expected {
        AttemptOutcome::Complete
    } else {
        AttemptOutcome::Corrupt
    }
}

fn not_run(fields: &HeaderMap) -> AttemptOutcome {
    AttemptOutcome::NotRun {
        reason: header(fields, headers::REASON)
            .unwrap_or("unnamed")
            .to_owned(),
        retry_after: parse_retry_after(fields),
    }
}

/// Returns the retry delay of a response. The header in milliseconds takes precedence over the
/// standard one in seconds, because it is more precise.
fn parse_retry_after(fields: &HeaderMap) -> Option<Duration> {
    let millis = header(fields, headers::RETRY_AFTER_MS).and_then(|text| text.parse().ok());
    let seconds = header(fields, headers::RETRY_AFTER).and_then(|text| text.parse().ok());
    millis
        .map(Duration::from_millis)
        .or(seconds.map(Duration::from_secs))
}

fn header<'a>(fields: &'a HeaderMap, name: &str) -> Option<&'a str> {
    fields.get(name)?.to_str().ok()
}

/// Reads a response body to its end in bounded memory and returns its digest, or `None` if the
/// body ends early.
async fn digest_body(mut body: Incoming) -> Option<BodyDigest> {
    let mut digest = BodyDigest::default();
    while let Some(frame) = body.frame().await {
        if let Some(piece) = frame.ok()?.data_ref() {
            digest.update(piece);
        }
    }
    Some(digest)
}

/// Request body of a call, generated while it is sent.
pub struct RequestBody {
    content: Content,
    remaining_bytes: u64,
}

impl RequestBody {
    fn new(content: Content) -> Self {
        let remaining_bytes = content.length();
        RequestBody {
            content,
            remaining_bytes,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        _context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.content.next();
        if let Some(block) = &block {
            self.remaining_bytes -= block.len() as u64;
        }
        std::task::Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes)
    }
}
