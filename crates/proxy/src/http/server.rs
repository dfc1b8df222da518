//! Accepts connections and serves the requests on them.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioTimer;
use tokio::sync::watch;

use crate::http::ProxyBody;
use crate::http::caller_stream;
use crate::http::pipeline::{AbortOnDrop, HeadScanner, Pipeline};
use crate::network::{Listener, Stream};

/// Pause after the system failed to accept a connection, for example because no file
/// descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The smallest buffer size that hyper accepts, in bytes.
const MIN_BUFFER: usize = 8192;

/// Answers requests. The future of an answer is dropped when the caller closes its connection.
pub trait Handler: 'static {
    /// Whether pipelined requests are recognized, so that they can be answered early.
    const LOOKS_AHEAD: bool = false;
    /// Whether answers without a `Date` header get one.
    const ADDS_DATE: bool = false;
    /// Whether connections are still accepted while the process closes, each for one request, which
    /// has the extension [`SentWhileClosing`].
    const SERVES_WHILE_CLOSING: bool = false;

    /// Answers `request`. Its body is none if the request was answered early, for then it has
    /// no body.
    fn handle(
        self: Rc<Self>,
        request: Request<Option<Incoming>>,
    ) -> impl Future<Output = Response<ProxyBody>> + 'static;

    /// Whether a request may be processed while an earlier one on its connection is being
    /// processed. If the connection ends early, it may be sent again.
    fn may_answer_early(&self, _request: &Request<()>) -> bool {
        false
    }

    /// The limits on the size of a request head and on the time for which a connection may be
    /// idle.
    fn connection_limits(&self) -> ConnectionLimits;

    /// Called when the system fails to accept a connection, usually because no file descriptors
    /// are left.
    fn accept_refused(&self, error: &io::Error);

    /// Called when the system accepts connections again, after `refused` failures.
    fn accept_resumed(&self, refused: u32);
}

/// Extension of a request whose connection was accepted while the process closes.
#[derive(Clone, Copy, Debug)]
pub struct SentWhileClosing;

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Largest size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// How long a connection may wait for a complete request head.
    pub idle_timeout: Duration,
}

/// Counts the requests that are being processed, and the open connections.
#[derive(Clone, Default)]
pub struct InProgress {
    requests: Rc<Cell<usize>>,
    connections: Rc<Cell<usize>>,
}

impl InProgress {
    /// Number of requests that are being processed.
    pub fn requests(&self) -> usize {
        self.requests.get()
    }

    fn count_request(&self) -> CounterGuard {
        CounterGuard::new(&self.requests)
    }

    /// Number of open connections that were accepted before the process began to close.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }
}

/// Increments a counter while it exists.
struct CounterGuard(Rc<Cell<usize>>);

impl CounterGuard {
    fn new(counter: &Rc<Cell<usize>>) -> Self {
        counter.set(counter.get() + 1);
        CounterGuard(counter.clone())
    }
}

impl Drop for CounterGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves connections of `listener` until `closing` turns true; then each connection is
/// closed after the requests that are being processed on it. Accepts no connections after that, unless
/// the handler serves while the process closes.
pub async fn run<H: Handler>(
    listener: Box<dyn Listener>,
    handler: Rc<H>,
    in_progress: InProgress,
    closing: watch::Receiver<bool>,
) {
    let mut stop = closing.clone();
    let mut refused = 0;
    loop {
        tokio::select! {
            _ = stop.wait_for(|closing| *closing), if !H::SERVES_WHILE_CLOSING => break,
            accepted = listener.accept() => match accepted {
                Ok(stream) => {
                    if refused > 0 {
                        handler.accept_resumed(std::mem::take(&mut refused));
                    }
                    let connection = serve_requests(stream, handler.clone(), in_progress.clone(), closing.clone());
                    tokio::task::spawn_local(connection);
                }
                Err(error) => {
                    if refused == 0 {
                        handler.accept_refused(&error);
                    }
                    refused += 1;
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
}

async fn serve_requests<H: Handler>(
    stream: Stream,
    handler: Rc<H>,
    in_progress: InProgress,
    mut closing: watch::Receiver<bool>,
) {
    let is_late = *closing.borrow();
    let _open = (!is_late).then(|| CounterGuard::new(&in_progress.connections));
    let limits = handler.connection_limits();
    let active = Rc::new(Cell::new(0));
    let pipeline = Pipeline::default();
    let mut scanner = HeadScanner::new(limits.max_header_bytes);
    let (stream, mut read_ahead) = caller_stream::split(stream);
    let service = service_fn({
        let (active, pipeline) = (active.clone(), pipeline.clone());
        let (handler, in_progress) = (handler.clone(), in_progress.clone());
        move |mut request: Request<Incoming>| {
            if is_late {
                request.extensions_mut().insert(SentWhileClosing);
            }
            let early =
                pipeline.take_early_answer(request.method(), request.uri(), request.headers());
            let handler = handler.clone();
            let guard = (CounterGuard::new(&active), in_progress.count_request());
            // A connection reserves space for the future of its answer for its whole life.
            // Boxed, this is only a pointer while the connection is idle.
            Box::pin(async move {
                let answer = match early {
                    Some(early) => early.wait_for_answer().await,
                    None => handler.handle(request.map(Some)).await,
                };
                drop(guard);
                Ok::<_, Infallible>(answer)
            })
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .auto_date_header(H::ADDS_DATE)
        .keep_alive(!is_late)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER))
        .serve_connection(stream, service);
    let mut connection = pin!(connection);
    let mut asked_to_close = pin!(closing.wait_for(|closing| *closing));
    let mut is_asked_to_close = false;
    // A late connection closes by itself after its only request.
    let mut is_closing = is_late;
    poll_fn(|context| {
        loop {
            read_ahead.poll(context, |bytes| {
                if !H::LOOKS_AHEAD {
                    return;
                }
                scanner.scan(bytes, |head| {
                    pipeline.record_request(head, active.get() > 0, |request| {
                        let may_start = !is_asked_to_close && handler.may_answer_early(request);
                        may_start.then(|| start_early(&handler, &in_progress, request.clone()))
                    });
                });
            });
            let has_caller_left = read_ahead.is_closed();
            if has_caller_left && active.get() > 0 {
                return Poll::Ready(());
            }
            if !is_asked_to_close {
                is_asked_to_close = asked_to_close.as_mut().poll(context).is_ready();
            }
            // Answers that are in progress are sent before the connection closes.
            if is_asked_to_close && !is_closing && !pipeline.has_early_answers() {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            if connection.as_mut().poll(context).is_ready() {
                return Poll::Ready(());
            }
            if has_caller_left {
                // Nobody reads the part of an answer that is still to be written.
                return Poll::Ready(());
            }
            if !read_ahead.has_room_again() {
                return Poll::Pending;
            }
        }
    })
    .await;
}

fn start_early<H: Handler>(
    handler: &Rc<H>,
    in_progress: &InProgress,
    request: Request<()>,
) -> AbortOnDrop {
    let guard = in_progress.count_request();
    let answer = handler.clone().handle(request.map(|()| None));
    AbortOnDrop(tokio::task::spawn_local(async move {
        let answer = answer.await;
        drop(guard);
        answer
    }))
}
