//! Pool with one connection to each node that this node calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use lifthollow_state::NodeId;

use crate::mux::buffered::BufferedBytes;
use crate::mux::client::{ClientConnection, ConnectError};

/// Back-off after the first failure to connect; doubled with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum back-off between two attempts to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Why there is no connection to a node. Nothing was sent to the node.
#[derive(Debug, thiserror::Error)]
pub enum PeerUnavailable {
    /// Connecting to the node has just failed.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// An earlier attempt to connect failed, and the back-off is not over yet.
    #[error("not connecting to the node: backing off after a failed connection")]
    BackingOff,
}

/// Connections to other nodes, established when first needed and kept open.
pub struct PeerPool {
    own: NodeId,
    buffered: BufferedBytes,
    peers: Mutex<HashMap<NodeId, Arc<Peer>>>,
}

#[derive(Default)]
struct Peer {
    current: Mutex<Option<Arc<ClientConnection>>>,
    connecting: tokio::sync::Mutex<Backoff>,
}

#[derive(Default)]
struct Backoff {
    failures: u32,
    retry_at: Option<Instant>,
}

impl PeerPool {
    /// Creates the connection pool of the node `own`.
    pub fn new(own: NodeId, buffered: BufferedBytes) -> Self {
        PeerPool {
            own,
            buffered,
            peers: Mutex::default(),
        }
    }

    /// Returns the connection to `node`, which is established now if there is none.
    pub async fn connection(&self, node: NodeId) -> Result<Arc<ClientConnection>, PeerUnavailable> {
        let peer = lock(&self.peers).entry(node).or_default().clone();
        if let Some(connection) = peer.usable_connection() {
            return Ok(connection);
        }
        let mut backoff = peer.connecting.lock().await;
        if let Some(connection) = peer.usable_connection() {
            return Ok(connection);
        }
        if backoff.is_running() {
            return Err(PeerUnavailable::BackingOff);
        }
        let connected = ClientConnection::connect(self.own, node, self.buffered.clone()).await;
        backoff.record_result(connected.is_ok());
        let connection = Arc::new(connected?);
        *lock(&peer.current) = Some(connection.clone());
        Ok(connection)
    }

    /// Returns the number of nodes to which a usable connection exists.
    pub fn connected(&self) -> usize {
        let peers = lock(&self.peers);
        peers
            .values()
            .filter(|peer| peer.usable_connection().is_some())
            .count()
    }
}

impl Peer {
    fn usable_connection(&self) -> Option<Arc<ClientConnection>> {
        let current = lock(&self.current).clone();
        current.filter(|connection| connection.is_usable())
    }
}

impl Backoff {
    fn is_running(&self) -> bool {
        self.retry_at.is_some_and(|at| Instant::now() < at)
    }

    fn record_result(&mut self, connected: bool) {
        if connected {
            *self = Backoff::default();
            return;
        }
        let doubled = MIN_BACKOFF.saturating_mul(1 << self.failures.min(u32::BITS - 1));
        self.failures += 1;
        self.retry_at = Some(Instant::now() + doubled.min(MAX_BACKOFF));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
