//! A pool of keep-alive connections to servers and other nodes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use lifthollow_coordination::mesh::connection_history::{ConnectionHistory, RequestKey};
use lifthollow_state::Timestamp;
use lifthollow_transport::clock::Clock;
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::http::ProxyBody;
use crate::http::head_limit::{HeadAllowance, HeadLimited};
use crate::http::headers::keep_alive_seconds;
use crate::network::Network;

/// How long an idle connection is kept if the peer's answer has no `Keep-Alive` timeout.
const DEFAULT_KEEP: Duration = Duration::from_secs(5);
/// An idle connection is closed this long before the peer would close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1500);

/// A connection that was in use within this time is assumed to be still open at the peer.
const RECENT_USE: Duration = Duration::from_millis(100);
/// A reset within this time after sending means that the peer had dropped the idle connection.
const STALE_RESET_WITHIN: Duration = Duration::from_millis(20);
/// After such a reset, connections to the address may be idle for this fraction of the time
/// for which the dropped connection had been idle.
const IDLE_LIMIT_FACTOR: f64 = 0.6;
/// How long a learned limit on the idle time applies.
const IDLE_LIMIT_VALIDITY: Duration = Duration::from_secs(10);

/// Why a request got no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[error("request not sent: {0}")]
    NotSent(io::Error),
    /// The request was sent, at least in part.
    #[error("request sent, but no answer received: {error}")]
    Lost {
        /// Why there is no answer.
        error: hyper::Error,
        /// The connection that the request was sent on.
        sent_on: ConnectionUse,
    },
    /// The request was sent, and what came back is no final answer of the protocol.
    #[error("answer with status {status}, which is no final status")]
    NoFinalStatus {
        /// The status of the answer.
        status: StatusCode,
        /// The connection that the request was sent on.
        sent_on: ConnectionUse,
    },
}

/// The status codes of final answers (RFC 9110, section 15): a code below is that of an interim answer,
/// and those above are not valid.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Which connection of a pool carried a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Number of the connection, counted over those that the pool has opened.
    pub connection: u64,
    /// Position of the request on the connection; 1 for the first one.
    pub position: u64,
}

struct Connection {
    sender: SendRequest<ProxyBody>,
    driver: JoinHandle<()>,
    /// The last request that was sent on the connection; its position is 0 before the first one.
    last_use: ConnectionUse,
    history: ConnectionHistory,
    head_allowance: HeadAllowance,
}

struct IdleConnection {
    connection: Connection,
    since: Timestamp,
    until: Timestamp,
}

/// Which pooled connections a request may be sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any pooled connection. If the peer has dropped it, the request can be sent again.
    Any,
    /// Only a connection that was in use within the last 100 ms, which the peer has hardly
    /// dropped since.
    Recent,
    /// Only a new connection: pooled ones may be unresponsive although new ones work.
    New,
}

/// The learned idle time after which the peer at an address drops connections.
struct IdleLimit {
    limit: Duration,
    learned: Timestamp,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections by address. Clones share them.
#[derive(Clone)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>>,
    idle_limits: Rc<RefCell<HashMap<SocketAddrV4, IdleLimit>>>,
    opened: Rc<Cell<u64>>,
    resent: Rc<Cell<u64>>,
    network: Rc<dyn Network>,
    clock: Clock,
    connect_timeout: Duration,
}

/// A connection whose answer is being read. Dropping the lease closes the connection,
/// which tells the peer to cancel the request.
pub struct Lease {
    pool: Pool,
    address: SocketAddrV4,
    connection: Connection,
    keep: Duration,
}

impl Pool {
    /// Creates an empty pool that opens connections through `network` and abandons a
    /// connection attempt after `connect_timeout`. Idle times are measured with `clock`.
    pub fn new(network: Rc<dyn Network>, clock: Clock, connect_timeout: Duration) -> Self {
        Pool {
            idle: Rc::default(),
            idle_limits: Rc::default(),
            opened: Rc::default(),
            resent: Rc::default(),
            network,
            clock,
            connect_timeout,
        }
    }

    /// Number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Number of requests that were sent on another connection because the one chosen first had
    /// ended before any byte of them was sent.
    pub fn resent(&self) -> u64 {
        self.resent.get()
    }

    /// Closes idle connections whose keep-alive time is over, and drops learned idle limits
    /// that no longer apply.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        self.idle_limits
            .borrow_mut()
            .retain(|_, limit| now - limit.learned < IDLE_LIMIT_VALIDITY);
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to `address`. The fault that made one of them unresponsive may
    /// affect all, and each would use up the time of a request.
    pub fn close_idle(&self, address: SocketAddrV4) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Sends `request` to another node at `address`, on a pooled connection if `reuse` allows one,
    /// and waits for the head of its answer.
    pub async fn send(
        &self,
        address: SocketAddrV4,
        request: Request<ProxyBody>,
        reuse: Reuse,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        self.send_on(address, request, reuse, None).await
    }

    /// Sends `request`, which has the given key, to a server at `address`, on a pooled connection that
    /// has not carried it before if `reuse` allows one, and waits for the head of its answer.
    pub async fn send_to_server(
        &self,
        address: SocketAddrV4,
        request: Request<ProxyBody>,
        reuse: Reuse,
        key: RequestKey,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        self.send_on(address, request, reuse, Some(key)).await
    }

    /// Sends `request` on a pooled or a new connection; not on one that has carried a request with
    /// this key.
    async fn send_on(
        &self,
        address: SocketAddrV4,
        mut request: Request<ProxyBody>,
        reuse: Reuse,
        key: Option<RequestKey>,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        loop {
            let (mut connection, idle_time) = match self.take_idle(address, reuse, key).await {
                Some((connection, idle_time)) => (connection, Some(idle_time)),
                None => (self.open(address).await?, None),
            };
            let sent = self.clock.now();
            connection.last_use.position += 1;
            let sent_on = connection.last_use;
            connection.head_allowance.begin();
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.head_allowance.end();
                    let status = response.status();
                    if !FINAL_STATUSES.contains(&status.as_u16()) {
                        return Err(SendError::NoFinalStatus { status, sent_on });
                    }
                    let lease = self.lease(address, connection, &response);
                    return Ok((response, lease));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if idle_time.is_some() => {
                        self.resent.set(self.resent.get() + 1);
                        request = unsent;
                    }
                    Some(_) => {
                        let error = io::Error::other(error.into_error());
                        return Err(SendError::NotSent(error));
                    }
                    None => {
                        if self.clock.now() - sent <= STALE_RESET_WITHIN {
                            self.lower_idle_limit(address, idle_time);
                        }
                        let error = error.into_error();
                        return Err(SendError::Lost { error, sent_on });
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
        let hint = keep_alive_seconds(response.headers()).map(Duration::from_secs);
        let keep = hint.map_or(DEFAULT_KEEP, |hint| hint.saturating_sub(KEEP_ALIVE_MARGIN));
        Lease {
            pool: self.clone(),
            address,
            connection,
            keep,
        }
    }

    /// Takes the most recently used connection that has not carried a request with this key from the
    /// pool, with the time for which it was idle. Connections that were idle for too long are closed.
    async fn take_idle(
        &self,
        address: SocketAddrV4,
        reuse: Reuse,
        key: Option<RequestKey>,
    ) -> Option<(Connection, Duration)> {
        loop {
            let candidate = self.pop_idle(address, reuse, key)?;
            let now = self.clock.now();
            let idle_time = now - candidate.since;
            if candidate.until <= now || idle_time >= self.idle_limit(address) {
                continue;
            }
            let mut connection = candidate.connection;
            if connection.sender.ready().await.is_ok() {
                return Some((connection, idle_time));
            }
        }
    }

    fn pop_idle(
        &self,
        address: SocketAddrV4,
        reuse: Reuse,
        key: Option<RequestKey>,
    ) -> Option<IdleConnection> {
        let mut all = self.idle.borrow_mut();
        let connections = all.get_mut(&address)?;
        let index = connections.iter().rposition(|idle| {
            let history = &idle.connection.history;
            key.is_none_or(|key| history.may_carry(key))
        })?;
        let may_reuse = match reuse {
            Reuse::Any => true,
            Reuse::Recent => self.clock.now() - connections[index].since < RECENT_USE,
            Reuse::New => false,
        };
        may_reuse.then(|| connections.remove(index))
    }

    fn idle_limit(&self, address: SocketAddrV4) -> Duration {
        let limits = self.idle_limits.borrow();
        limits
            .get(&address)
            .map_or(Duration::MAX, |known| known.limit)
    }

    /// Lowers the idle limit of `address`, after a connection that had been idle was reset as
    /// soon as it was used again.
    fn lower_idle_limit(&self, address: SocketAddrV4, idle_time: Option<Duration>) {
        let Some(idle_time) = idle_time.filter(|idle_time| *idle_time >= RECENT_USE) else {
            return;
        };
        let shorter = idle_time.mul_f64(IDLE_LIMIT_FACTOR).max(RECENT_USE);
        let limit = shorter.min(self.idle_limit(address));
        let learned = self.clock.now();
        let known = IdleLimit { limit, learned };
        self.idle_limits.borrow_mut().insert(address, known);
    }

    async fn open(&self, address: SocketAddrV4) -> Result<Connection, SendError> {
        let opening = timeout(self.connect_timeout, self.network.connect(address));
        let stream = opening
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(SendError::NotSent)?;
        let number = self.opened.get() + 1;
        self.opened.set(number);
        let head_allowance = HeadAllowance::default();
        let (sender, driver) = http1::Builder::new()
            .handshake(TokioIo::new(HeadLimited::new(
                stream,
                head_allowance.clone(),
            )))
            .await
            .map_err(|error| SendError::NotSent(io::Error::other(error)))?;
        let driver = tokio::task::spawn_local(async move {
            // The request on the connection gets the error.
            let _ = driver.await;
        });
        let last_use = ConnectionUse {
            connection: number,
            position: 0,
        };
        Ok(Connection {
            sender,
            driver,
            last_use,
            history: ConnectionHistory::default(),
            head_allowance,
        })
    }
}

impl Lease {
    /// The connection that carried the request.
    pub fn connection_use(&self) -> ConnectionUse {
        self.connection.last_use
    }

    /// Returns the connection to the pool, once the server's refusal of `request` has been read. The
    /// connection will not carry that request again.
    pub fn keep_after_refusal(mut self, request: RequestKey) {
        self.connection.history.record_refusal(request);
        if self.connection.history.has_room() {
            self.keep();
        }
    }

    /// Returns the connection to the pool for the next request, once its answer has been read.
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
