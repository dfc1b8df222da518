//! One attempt: an HTTP call to a node, its answer checked to the last byte.

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

/// How one attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer to this very call.
    Complete,
    /// The service answered with an error.
    Failed(StatusCode),
    /// The call did not run.
    NotRun {
        /// Why.
        reason: String,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// The call may have run.
    Unknown {
        /// Why that is not known.
        reason: String,
    },
    /// The answer was given as complete and is not the right one.
    Corrupt,
}

/// The nodes that clients call, in turn.
pub struct Entries {
    addresses: Vec<SocketAddr>,
    next: AtomicUsize,
    client: Client<HttpConnector, CallBody>,
}

impl Entries {
    /// Clients of the nodes at `addresses`.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Entries {
            addresses,
            next: AtomicUsize::new(0),
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Makes one attempt and waits for its end, at most `timeout`. A client
    /// that stops waiting closes its connection.
    pub async fn attempt(
        &self,
        name: &CallName,
        key: Option<&str>,
        kind: &CallKind,
        timeout: Duration,
    ) -> AttemptOutcome {
        let call = self.send(name, key, kind, timeout);
        match tokio::time::timeout(timeout, call).await {
            Ok(outcome) => outcome,
            Err(_) => unknown("client_timeout"),
        }
    }

    async fn send(
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
        let Ok(request) = build(self.addresses[index], &call, kind, timeout, content) else {
            return unknown("malformed_request");
        };
        match self.client.request(request).await {
            Ok(response) => {
                let expected = Content::of_answer(&call, body_digest);
                judge(response, expected).await
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

fn build(
    entry: SocketAddr,
    call: &CallSpecification,
    kind: &CallKind,
    timeout: Duration,
    content: Content,
) -> hyper::http::Result<Request<CallBody>> {
    let mut builder = Request::post(format!("http://{entry}{}", call.to_path()))
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
    builder.body(CallBody::new(content))
}

async fn judge(response: Response<Incoming>, expected: Content) -> AttemptOutcome {
    let status = response.status();
    let fields = response.headers().clone();
    match text(&fields, headers::OUTCOME) {
        Some("not-run") => return not_run(&fields),
        Some("unknown") => return unknown(text(&fields, headers::REASON).unwrap_or("unnamed")),
        _ => {}
    }
    if text(&fields, headers::NOT_RUN) == Some("yes") {
        return not_run(&fields);
    }
    if !status.is_success() {
        return AttemptOutcome::Failed(status);
    }
    let Some(digest) = read(response.into_body()).await else {
        return unknown("answer_cut");
    };
    let complete = digest.length() == expected.length() && digest.finish() == expected.digest();
    if complete {
        AttemptOutcome::Complete
    } else {
        AttemptOutcome::Corrupt
    }
}

fn not_run(fields: &HeaderMap) -> AttemptOutcome {
    AttemptOutcome::NotRun {
        reason: text(fields, headers::REASON)
            .unwrap_or("unnamed")
            .to_owned(),
        retry_after: retry_after(fields),
    }
}

/// The more exact of the two headers that say when to come back.
fn retry_after(fields: &HeaderMap) -> Option<Duration> {
    let millis = text(fields, headers::RETRY_AFTER_MS).and_then(|text| text.parse().ok());
    let seconds = text(fields, headers::RETRY_AFTER).and_then(|text| text.parse().ok());
    millis
        .map(Duration::from_millis)
        .or(seconds.map(Duration::from_secs))
}

fn text<'a>(fields: &'a HeaderMap, name: &str) -> Option<&'a str> {
    fields.get(name)?.to_str().ok()
}

/// Reads a body in bounded memory; `None` if it breaks off.
async fn read(mut body: Incoming) -> Option<BodyDigest> {
    let mut digest = BodyDigest::default();
    while let Some(frame) = body.frame().await {
        if let Some(piece) = frame.ok()?.data_ref() {
            digest.update(piece);
        }
    }
    Some(digest)
}

/// Body of a call, generated while it is sent.
pub struct CallBody {
    content: Content,
    left: u64,
}

impl CallBody {
    fn new(content: Content) -> Self {
        let left = content.length();
        CallBody { content, left }
    }
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        _context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.content.next();
        if let Some(block) = &block {
            self.left -= block.len() as u64;
        }
        std::task::Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
