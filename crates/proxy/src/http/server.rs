//! Takes connections and serves the requests on them.

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

/// Pause after the system refused to accept a connection (out of descriptors).
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The smallest buffer that hyper takes.
const MIN_BUFFER: usize = 8192;

/// Answers requests. The future is dropped when the caller hangs up.
pub trait Handler: 'static {
    /// Whether requests that wait behind others on their connection are looked for.
    const LOOKS_AHEAD: bool = false;
    /// Whether answers that name no date get one.
    const ADDS_DATE: bool = false;

    /// Answers `request`, whose body is given if one may follow.
    fn handle(
        self: Rc<Self>,
        request: Request<Option<Incoming>>,
    ) -> impl Future<Output = Response<ProxyBody>> + 'static;

    /// Whether a request may be answered while another that came before it on
    /// its connection is. If the connection ends early, it may be sent again.
    fn may_answer_early(&self, _request: &Request<()>) -> bool {
        false
    }

    /// What a caller may send and how long it may take.
    fn connection_limits(&self) -> ConnectionLimits;

    /// The system refused to accept a connection, for want of descriptors as a rule.
    fn accept_refused(&self, error: &io::Error);

    /// The system accepts connections again, after `refused` refusals.
    fn accept_resumed(&self, refused: u32);
}

/// Bounds of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Size of a head, bytes.
    pub max_header_bytes: usize,
    /// How long a connection may stay without a complete head.
    pub idle_timeout: Duration,
}

/// Requests that are being answered, and open connections.
#[derive(Clone, Default)]
pub struct InProgress {
    requests: Rc<Cell<usize>>,
    connections: Rc<Cell<usize>>,
}

impl InProgress {
    /// Requests that are being answered.
    pub fn requests(&self) -> usize {
        self.requests.get()
    }

    fn count_request(&self) -> Counted {
        Counted::new(&self.requests)
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }
}

/// Counts one up while it lives.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(counter: &Rc<Cell<usize>>) -> Self {
        counter.set(counter.get() + 1);
        Counted(counter.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves connections of `listener` until `closing` turns true; then connections
/// end after the request that is on them.
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
            _ = stop.wait_for(|closing| *closing) => break,
            accepted = listener.accept() => match accepted {
                Ok(stream) => {
                    if refused > 0 {
                        handler.accept_resumed(std::mem::take(&mut refused));
                    }
                    let connection = serve(stream, handler.clone(), in_progress.clone(), closing.clone());
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

async fn serve<H: Handler>(
    stream: Stream,
    handler: Rc<H>,
    in_progress: InProgress,
    mut closing: watch::Receiver<bool>,
) {
    let _open = Counted::new(&in_progress.connections);
    let limits = handler.connection_limits();
    let active = Rc::new(Cell::new(0));
    let pipeline = Pipeline::default();
    let mut scanner = HeadScanner::new(limits.max_header_bytes);
    let (stream, mut ahead) = caller_stream::split(stream);
    let service = service_fn({
        let (active, pipeline) = (active.clone(), pipeline.clone());
        let (handler, in_progress) = (handler.clone(), in_progress.clone());
        move |request: Request<Incoming>| {
            let early = pipeline.take(request.method(), request.uri(), request.headers());
            let handler = handler.clone();
            let counted = (Counted::new(&active), in_progress.count_request());
            // Each connection has room for the answer's future all the time: boxed,
            // that is a pointer while the connection rests.
            Box::pin(async move {
                let answer = match early {
                    Some(early) => early.finished().await,
                    None => handler.handle(request.map(Some)).await,
                };
                drop(counted);
                Ok::<_, Infallible>(answer)
            })
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .auto_date_header(H::ADDS_DATE)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER))
        .serve_connection(stream, service);
    let mut connection = pin!(connection);
    let mut asked_to_close = pin!(closing.wait_for(|closing| *closing));
    let mut is_asked_to_close = false;
    let mut is_closing = false;
    poll_fn(|context| {
        loop {
            ahead.poll(context, |bytes| {
                if !H::LOOKS_AHEAD {
                    return;
                }
                scanner.scan(bytes, |head| {
                    pipeline.found(head, active.get() > 0, |request| {
                        let may_start = !is_asked_to_close && handler.may_answer_early(request);
                        may_start.then(|| start_early(&handler, &in_progress, request.clone()))
                    });
                });
            });
            let is_left = ahead.is_closed();
            if is_left && active.get() > 0 {
                return Poll::Ready(());
            }
            if !is_asked_to_close {
                is_asked_to_close = asked_to_close.as_mut().poll(context).is_ready();
            }
            // What has been started is answered before the connection closes.
            if is_asked_to_close && !is_closing && !pipeline.is_waiting() {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            if connection.as_mut().poll(context).is_ready() {
                return Poll::Ready(());
            }
            if is_left {
                // What is still to be written of an answer is for nobody.
                return Poll::Ready(());
            }
            if !ahead.has_room_again() {
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
    let counted = in_progress.count_request();
    let answer = handler.clone().handle(request.map(|()| None));
    AbortOnDrop(tokio::task::spawn_local(async move {
        let answer = answer.await;
        drop(counted);
        answer
    }))
}
