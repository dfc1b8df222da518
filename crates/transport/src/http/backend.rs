//! HTTP client for the back end on this node's machine, with a pool of keep-alive connections.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http::AnyBody;
use crate::http::connection::{Connection, Connections, Slot};

/// Time within which a back end on the same machine must accept a connection; otherwise it is
/// considered down.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why there is no answer from the back end.
#[derive(Debug, thiserror::Error)]
pub enum BackendError {
    /// The request was not sent, so it did not run.
    #[error("request not sent to the back end: {0}")]
    NotSent(String),
    /// The request may have been received, so it may have run.
    #[error("no answer from the back end: {0}")]
    Lost(hyper::Error),
}

/// Pool of connections to one back end.
pub struct BackendPool {
    address: SocketAddr,
    max_header_bytes: usize,
    ceiling: AtomicUsize,
    connections: Arc<Connections>,
}

impl BackendPool {
    /// Creates a pool of at most `ceiling` connections to the back end at `address`.
    pub fn new(address: SocketAddr, ceiling: usize, max_header_bytes: usize) -> Self {
        BackendPool {
            address,
            max_header_bytes,
            ceiling: AtomicUsize::new(ceiling),
            connections: Arc::default(),
        }
    }

    /// Changes the maximum number of connections. Surplus connections are closed when their
    /// exchanges end.
    pub fn set_ceiling(&self, ceiling: usize) {
        self.ceiling.store(ceiling, Ordering::Release);
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.open()
    }

    /// Sends a request and waits for the head of the answer. Dropping the future, or
    /// the answer's body before its end, closes the connection.
    pub async fn send(
        &self,
        request: Request<AnyBody>,
    ) -> Result<Response<BackendBody>, BackendError> {
        let mut request = request;
        loop {
            let mut connection = self.connection().await?;
            if connection.sender.ready().await.is_err() {
                continue;
            }
            let sent = connection.sender.try_send_request(request).await;
            let mut error = match sent {
                Ok(response) => return Ok(self.attach_connection(response, connection)),
                Err(error) => error,
            };
            // The back end has just closed the idle connection, so the request was not sent.
            request = match error.take_message() {
                Some(unsent) => unsent,
                None => return Err(BackendError::Lost(error.into_error())),
            };
        }
    }

    fn attach_connection(
        &self,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Response<BackendBody> {
        response.map(|incoming| {
            let mut body = BackendBody {
                incoming,
                connection: Some(connection),
                pool: self.connections.clone(),
                ceiling: self.ceiling.load(Ordering::Acquire),
            };
            if body.incoming.is_end_stream() {
                body.release();
            }
            body
        })
    }

    async fn connection(&self) -> Result<Connection, BackendError> {
        loop {
            if let Some(connection) = self.connections.take_idle() {
                return Ok(connection);
            }
            let ceiling = self.ceiling.load(Ordering::Acquire).max(1);
            if let Some(slot) = self.connections.reserve(ceiling) {
                return self.connect(slot).await;
            }
            self.connections.freed().await;
        }
    }

    async fn connect(&self, slot: Slot) -> Result<Connection, BackendError> {
        let connecting = TcpStream::connect(self.address);
        let socket = timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| not_sent("connecting to the back end timed out"))?
            .map_err(not_sent)?;
        socket.set_nodelay(true).map_err(not_sent)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(self.max_header_bytes)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(not_sent)?;
        let driver = tokio::spawn(async move {
            let _slot = slot;
            let _ = driver.await;
        });
        Ok(Connection::new(sender, driver))
    }
}

fn not_sent(error: impl std::fmt::Display) -> BackendError {
    BackendError::NotSent(error.to_string())
}

/// The body of a back end's answer. Its connection is returned to the pool at the
/// end of the body, and is closed if the body is dropped earlier.
pub struct BackendBody {
    incoming: Incoming,
    connection: Option<Connection>,
    pool: Arc<Connections>,
    ceiling: usize,
}

impl BackendBody {
    fn release(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if self.pool.open() <= self.ceiling {
            self.pool.put_idle(connection);
        }
    }
}

impl Body for BackendBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        let ended = frame.is_none() || self.incoming.is_end_stream();
        match &frame {
            Some(Err(_)) => self.connection = None,
            _ if ended => self.release(),
            _ => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
