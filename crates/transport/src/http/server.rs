//! HTTP server for callers on the same machine.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::http::AnyBody;

/// Time within which a caller must send the head of its request; otherwise it is
/// disconnected.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after accepting a connection failed, for example because the process has no free
/// file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Handles callers' requests. The future of a request is dropped when the caller disconnects.
pub trait CallHandler: Send + Sync + 'static {
    /// Answers `request`.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnyBody>> + Send;
}

/// Accepts connections of callers and passes their requests to a [`CallHandler`].
pub struct CallerServer<H> {
    handler: Arc<H>,
    max_header_bytes: usize,
    stop: watch::Receiver<bool>,
}

impl<H: CallHandler> CallerServer<H> {
    /// Creates a server that passes requests to `handler` until `stop` becomes true.
    pub fn new(handler: Arc<H>, max_header_bytes: usize, stop: watch::Receiver<bool>) -> Self {
        CallerServer {
            handler,
            max_header_bytes,
            stop,
        }
    }

    /// Accepts connections until `stop` becomes true, then waits until every request in
    /// progress has been answered.
    pub async fn run(&self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        let mut stop = self.stop.clone();
        loop {
            tokio::select! {
                () = wait_for_stop(&mut stop) => break,
                accepted = listener.accept() => match accepted {
                    Ok((socket, _)) => self.spawn(socket, &mut connections),
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                },
                Some(_) = connections.join_next() => {}
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    fn spawn(&self, socket: TcpStream, connections: &mut JoinSet<io::Result<()>>) {
        let handler = self.handler.clone();
        let stop = self.stop.clone();
        let max_header_bytes = self.max_header_bytes;
        connections.spawn(async move {
            socket.set_nodelay(true)?;
            serve(socket, handler, max_header_bytes, stop).await
        });
    }
}

async fn serve<H: CallHandler>(
    socket: TcpStream,
    handler: Arc<H>,
    max_header_bytes: usize,
    mut stop: watch::Receiver<bool>,
) -> io::Result<()> {
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(max_header_bytes)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return result.map_err(io::Error::other),
        () = wait_for_stop(&mut stop) => connection.as_mut().graceful_shutdown(),
    }
    connection.await.map_err(io::Error::other)
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // The sender is only dropped when the process stops, so an error also means to stop.
    let _ = stop.wait_for(|stopped| *stopped).await;
}
