//! Pipelined requests: those that a caller sends while an earlier one is being processed.
//!
//! hyper processes the requests of a connection one after the other. A pipelined request
//! would spend its deadline waiting for the earlier ones, so it is parsed from the bytes that
//! were read ahead and processed at once; when hyper reaches the request, it takes the answer
//! that is already in progress. Only requests without a body are recognized; any other is
//! left to hyper, and so are all requests that follow it.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::{Buf, BytesMut};
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use tokio::task::JoinHandle;

use crate::http::ProxyBody;

/// The most headers of a request that is parsed ahead; one with more is left to hyper.
const MAX_HEADERS: usize = 64;
/// The most answers of one connection that are in progress before hyper reaches their requests.
const MAX_EARLY_ANSWERS: usize = 32;

/// Parses the heads of the requests on one connection, in the order of their arrival.
pub struct HeadScanner {
    unread: BytesMut,
    max_header_bytes: usize,
    /// Whether scanning ended for good, at a request that may have a body or can't be parsed.
    stopped: bool,
}

impl HeadScanner {
    /// Creates a scanner for request heads of at most `max_header_bytes`.
    pub fn new(max_header_bytes: usize) -> Self {
        HeadScanner {
            unread: BytesMut::new(),
            max_header_bytes,
            stopped: false,
        }
    }

    /// Scans `arrived`, the next bytes of the connection, and calls `on_head` for each head that
    /// is complete with them.
    pub fn scan(&mut self, arrived: &[u8], mut on_head: impl FnMut(&Head<'_, '_>)) {
        if self.stopped {
            return;
        }
        self.unread.extend_from_slice(arrived);
        while !self.stopped && !self.unread.is_empty() {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Request::new(&mut headers);
            match head.parse(&self.unread) {
                Ok(httparse::Status::Complete(length)) if is_request_without_body(&head) => {
                    on_head(&Head(head));
                    self.unread.advance(length);
                }
                Ok(httparse::Status::Partial) if self.unread.len() < self.max_header_bytes => break,
                _ => self.stop(),
            }
        }
        if self.unread.is_empty() {
            // Releases the memory, so that an idle connection holds none.
            self.unread = BytesMut::new();
        }
    }

    fn stop(&mut self) {
        self.stopped = true;
        self.unread = BytesMut::new();
    }
}

/// The parsed head of a request.
pub struct Head<'headers, 'bytes>(httparse::Request<'headers, 'bytes>);

impl Head<'_, '_> {
    /// Converts the head to a request; none if its method, path or a header is not valid.
    fn request(&self) -> Option<Request<()>> {
        let Head(head) = self;
        let mut headers = HeaderMap::with_capacity(head.headers.len());
        for header in head.headers.iter() {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_bytes(header.value).ok()?);
        }
        let mut request = Request::new(());
        *request.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
        *request.uri_mut() = Uri::try_from(head.path?).ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// Whether the head is the whole request, so that the next request follows it immediately:
/// it is of HTTP/1.1, and announces neither a body nor an upgrade.
fn is_request_without_body(head: &httparse::Request<'_, '_>) -> bool {
    let announces_body_or_upgrade = |name: &str| {
        [CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE]
            .iter()
            .any(|known| name.eq_ignore_ascii_case(known.as_str()))
    };
    let has_body_or_upgrade = head
        .headers
        .iter()
        .any(|header| announces_body_or_upgrade(header.name));
    head.version == Some(1) && !has_body_or_upgrade
}

/// An answer that is in progress before hyper has reached its request.
struct EarlyAnswer {
    request: Request<()>,
    answer: AbortOnDrop,
}

/// A handle of a task that computes an answer; dropping the handle aborts the task.
pub struct AbortOnDrop(pub JoinHandle<Response<ProxyBody>>);

impl AbortOnDrop {
    /// Waits for the task to end and returns its answer, or 502 if it panicked.
    pub async fn wait_for_answer(mut self) -> Response<ProxyBody> {
        match (&mut self.0).await {
            Ok(answer) => answer,
            Err(_) => {
                // The task panicked: it is unknown whether the request was executed.
                let mut unknown = Response::new(ProxyBody::empty());
                *unknown.status_mut() = StatusCode::BAD_GATEWAY;
                unknown
            }
        }
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Counts the requests of a connection and holds the answers that are in progress for those
/// that hyper has not reached yet.
#[derive(Clone, Default)]
pub struct Pipeline(Rc<RefCell<State>>);

#[derive(Default)]
struct State {
    /// Number of requests found in the bytes that were read ahead.
    found: u64,
    /// Number of requests that hyper has reached.
    reached: u64,
    /// Answers in progress, with the position of their request on the connection.
    early: VecDeque<(u64, EarlyAnswer)>,
}

impl Pipeline {
    /// Records a request found in the bytes that were read ahead. If hyper would process it
    /// only after another request, `start` may begin its answer at once. `is_busy` tells
    /// whether hyper is processing a request.
    pub fn record_request(
        &self,
        head: &Head<'_, '_>,
        is_busy: bool,
        start: impl FnOnce(&Request<()>) -> Option<AbortOnDrop>,
    ) {
        let mut state = self.0.borrow_mut();
        let position = state.found;
        state.found += 1;
        let has_to_wait = position > state.reached || (is_busy && position == state.reached);
        if !has_to_wait || state.early.len() >= MAX_EARLY_ANSWERS {
            return;
        }
        let Some(request) = head.request() else {
            return;
        };
        if let Some(answer) = start(&request) {
            let early = EarlyAnswer { request, answer };
            state.early.push_back((position, early));
        }
    }

    /// Records that hyper has reached a request, and returns the answer that is in progress
    /// for it, if there is one.
    pub fn take_early_answer(
        &self,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
    ) -> Option<AbortOnDrop> {
        let mut state = self.0.borrow_mut();
        let position = state.reached;
        state.reached += 1;
        while state.early.front().is_some_and(|(at, _)| *at < position) {
            state.early.pop_front();
        }
        if state.early.front()?.0 != position {
            return None;
        }
        let (_, early) = state.early.pop_front()?;
        let is_same = early.request.method() == method
            && early.request.uri() == uri
            && early.request.headers() == headers;
        is_same.then_some(early.answer)
    }

    /// Whether answers are in progress for requests that hyper has not reached.
    pub fn has_early_answers(&self) -> bool {
        !self.0.borrow().early.is_empty()
    }
}
