//! Kept connections to servers and other nodes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::http::headers::keep_alive_seconds;
use crate::http::{ProxyBody, socket};

/// How long an unused connection is kept if the other side names no time.
const DEFAULT_KEEP: Duration = Duration::from_secs(5);
/// It is given up this much before the other side would close it.
const KEEP_MARGIN: Duration = Duration::from_millis(1500);

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// Nothing of the request was sent.
    #[error("not sent: {0}")]
    NotSent(io::Error),
    /// It was sent, at least in part.
    #[error("answer lost: {0}")]
    Lost(hyper::Error),
}

struct Connection {
    sender: SendRequest<ProxyBody>,
    driver: JoinHandle<()>,
}

struct IdleConnection {
    connection: Connection,
    until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connections by address.
#[derive(Clone)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>>,
    opened: Rc<Cell<u64>>,
    connect_limit: Duration,
}

/// A connection whose answer is being read. Dropping it closes the connection,
/// which tells the other side to give up.
pub struct Lease {
    pool: Pool,
    address: SocketAddrV4,
    connection: Connection,
    keep: Duration,
}

impl Pool {
    /// A pool without connections, that waits for a new one for `connect_limit`.
    pub fn new(connect_limit: Duration) -> Self {
        Pool {
            idle: Rc::default(),
            opened: Rc::default(),
            connect_limit,
        }
    }

    /// Connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Closes unused connections whose time is over.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Sends `request` to `address` and waits for the head of its answer.
    pub async fn send(
        &self,
        address: SocketAddrV4,
        mut request: Request<ProxyBody>,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        loop {
            let (mut connection, is_kept) = match self.take_idle(address).await {
                Some(connection) => (connection, true),
                None => (self.open(address).await?, false),
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let lease = self.lease(address, connection, &response);
                    return Ok((response, lease));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if is_kept => request = unsent,
                    Some(_) => {
                        let error = io::Error::other(error.into_error());
                        return Err(SendError::NotSent(error));
                    }
                    None => return Err(SendError::Lost(error.into_error())),
                },
            }
        }
    }

    fn lease(
        &self,
        address: SocketAddrV4,
        connection: Connection,
        response: &Response<Incoming>,
    ) -> Lease {
        let named = keep_alive_seconds(response.headers()).map(Duration::from_secs);
        let keep = named.map_or(DEFAULT_KEEP, |named| named.saturating_sub(KEEP_MARGIN));
        Lease {
            pool: self.clone(),
            address,
            connection,
            keep,
        }
    }

    async fn take_idle(&self, address: SocketAddrV4) -> Option<Connection> {
        loop {
            let candidate = self.idle.borrow_mut().get_mut(&address)?.pop()?;
            if candidate.until <= Instant::now() {
                continue;
            }
            let mut connection = candidate.connection;
            if connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    async fn open(&self, address: SocketAddrV4) -> Result<Connection, SendError> {
        let stream = socket::connect(address, self.connect_limit)
            .await
            .map_err(SendError::NotSent)?;
        self.opened.set(self.opened.get() + 1);
        let (sender, driver) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::NotSent(io::Error::other(error)))?;
        let driver = tokio::task::spawn_local(async move {
            // How it ended is told to the request that was on it.
            let _ = driver.await;
        });
        Ok(Connection { sender, driver })
    }
}

impl Lease {
    /// Keeps the connection for the next request; its answer has been read.
    pub fn keep(self) {
        if self.connection.sender.is_closed() || self.keep.is_zero() {
            return;
        }
        let idle = IdleConnection {
            connection: self.connection,
            until: Instant::now() + self.keep,
        };
        let mut all = self.pool.idle.borrow_mut();
        all.entry(self.address).or_default().push(idle);
    }
}
