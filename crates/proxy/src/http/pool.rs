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
use lifthollow_state::Timestamp;
use lifthollow_transport::clock::Clock;
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::http::ProxyBody;
use crate::http::headers::keep_alive_seconds;
use crate::network::Network;

/// How long an unused connection is kept if the other side names no time.
const DEFAULT_KEEP: Duration = Duration::from_secs(5);
/// It is given up this much before the other side would close it.
const KEEP_MARGIN: Duration = Duration::from_millis(1500);

/// A connection that was in use so long ago is not taken to be forgotten.
const RECENT_USE: Duration = Duration::from_millis(100);
/// A reset that comes within this time means that the connection was forgotten.
const FORGOTTEN_WITHIN: Duration = Duration::from_millis(20);
/// Connections are then kept for this part of the time that one had rested.
const REST_LIMIT_FACTOR: f64 = 0.6;
/// How long that holds.
const REST_LIMIT_VALIDITY: Duration = Duration::from_secs(10);

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
    since: Timestamp,
    until: Timestamp,
}

/// Which kept connections a request may be sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any. If the other side has forgotten it, the request can be sent again.
    Any,
    /// One that was in use a moment ago, so that the other side hardly has
    /// forgotten it.
    Recent,
    /// None: kept connections may be silent although new ones work.
    New,
}

/// After so much rest the other side was found to have forgotten a connection.
struct RestLimit {
    limit: Duration,
    learned: Timestamp,
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
    rest_limits: Rc<RefCell<HashMap<SocketAddrV4, RestLimit>>>,
    opened: Rc<Cell<u64>>,
    network: Rc<dyn Network>,
    clock: Clock,
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
    /// A pool without connections, that opens them through `network` and waits for
    /// a new one for `connect_limit`. How long they rest is read from `clock`.
    pub fn new(network: Rc<dyn Network>, clock: Clock, connect_limit: Duration) -> Self {
        Pool {
            idle: Rc::default(),
            rest_limits: Rc::default(),
            opened: Rc::default(),
            network,
            clock,
            connect_limit,
        }
    }

    /// Connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Closes unused connections whose time is over.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        self.rest_limits
            .borrow_mut()
            .retain(|_, limit| now - limit.learned < REST_LIMIT_VALIDITY);
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Closes unused connections to `address`. What made one of them go silent may
    /// have struck all, and each would cost a request its time.
    pub fn close_idle(&self, address: SocketAddrV4) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Sends `request` to `address`, on a kept connection if `reuse` allows one,
    /// and waits for the head of its answer.
    pub async fn send(
        &self,
        address: SocketAddrV4,
        mut request: Request<ProxyBody>,
        reuse: Reuse,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        loop {
            let (mut connection, rested) = match self.take_idle(address, reuse).await {
                Some((connection, rested)) => (connection, Some(rested)),
                None => (self.open(address).await?, None),
            };
            let sent = self.clock.now();
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let lease = self.lease(address, connection, &response);
                    return Ok((response, lease));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if rested.is_some() => request = unsent,
                    Some(_) => {
                        let error = io::Error::other(error.into_error());
                        return Err(SendError::NotSent(error));
                    }
                    None => {
                        if self.clock.now() - sent <= FORGOTTEN_WITHIN {
                            self.note_forgotten(address, rested);
                        }
                        return Err(SendError::Lost(error.into_error()));
                    }
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

    /// The connection that was used last, with the time since. Those that have
    /// rested for too long are closed.
    async fn take_idle(
        &self,
        address: SocketAddrV4,
        reuse: Reuse,
    ) -> Option<(Connection, Duration)> {
        loop {
            let candidate = self.pop_idle(address, reuse)?;
            let now = self.clock.now();
            let rested = now - candidate.since;
            if candidate.until <= now || rested >= self.rest_limit(address) {
                continue;
            }
            let mut connection = candidate.connection;
            if connection.sender.ready().await.is_ok() {
                return Some((connection, rested));
            }
        }
    }

    fn pop_idle(&self, address: SocketAddrV4, reuse: Reuse) -> Option<IdleConnection> {
        let mut all = self.idle.borrow_mut();
        let connections = all.get_mut(&address)?;
        let is_recent = self.clock.now() - connections.last()?.since < RECENT_USE;
        let may_reuse = match reuse {
            Reuse::Any => true,
            Reuse::Recent => is_recent,
            Reuse::New => false,
        };
        may_reuse.then(|| connections.pop()).flatten()
    }

    fn rest_limit(&self, address: SocketAddrV4) -> Duration {
        let limits = self.rest_limits.borrow();
        limits
            .get(&address)
            .map_or(Duration::MAX, |known| known.limit)
    }

    /// A connection that had rested was reset as soon as it was used again.
    fn note_forgotten(&self, address: SocketAddrV4, rested: Option<Duration>) {
        let Some(rested) = rested.filter(|rested| *rested >= RECENT_USE) else {
            return;
        };
        let shorter = rested.mul_f64(REST_LIMIT_FACTOR).max(RECENT_USE);
        let limit = shorter.min(self.rest_limit(address));
        let learned = self.clock.now();
        let known = RestLimit { limit, learned };
        self.rest_limits.borrow_mut().insert(address, known);
    }

    async fn open(&self, address: SocketAddrV4) -> Result<Connection, SendError> {
        let opening = timeout(self.connect_limit, self.network.connect(address));
        let stream = opening
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
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
        let now = self.pool.clock.now();
        let idle = IdleConnection {
            connection: self.connection,
            since: now,
            until: now + self.keep,
        };
        let mut all = self.pool.idle.borrow_mut();
        all.entry(self.address).or_default().push(idle);
    }
}
