//! One connection to each node that this node calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use lifthollow_state::NodeId;

use crate::mux::buffered::BufferedBytes;
use crate::mux::client::{ClientConnection, ConnectError};

/// Wait after the first failure to connect; doubled with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait between two tries to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Why a node can't be reached now. Nothing was sent to it.
#[derive(Debug, thiserror::Error)]
pub enum PeerUnavailable {
    /// A connection was tried just now.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The last try failed a moment ago; the next one is not due yet.
    #[error("backing off after a failed connection")]
    BackingOff,
}

/// Connections to other nodes, made when first needed and kept.
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
    /// A pool of node `own`.
    pub fn new(own: NodeId, buffered: BufferedBytes) -> Self {
        PeerPool {
            own,
            buffered,
            peers: Mutex::default(),
        }
    }

    /// The connection to `node`, made now if there is none.
    pub async fn connection(&self, node: NodeId) -> Result<Arc<ClientConnection>, PeerUnavailable> {
        let peer = lock(&self.peers).entry(node).or_default().clone();
        if let Some(connection) = peer.usable() {
            return Ok(connection);
        }
        let mut backoff = peer.connecting.lock().await;
        if let Some(connection) = peer.usable() {
            return Ok(connection);
        }
        if backoff.is_running() {
            return Err(PeerUnavailable::BackingOff);
        }
        let connected = ClientConnection::connect(self.own, node, self.buffered.clone()).await;
        backoff.record(connected.is_ok());
        let connection = Arc::new(connected?);
        *lock(&peer.current) = Some(connection.clone());
        Ok(connection)
    }

    /// Nodes to which a usable connection stands.
    pub fn connected(&self) -> usize {
        let peers = lock(&self.peers);
        peers
            .values()
            .filter(|peer| peer.usable().is_some())
            .count()
    }
}

impl Peer {
    fn usable(&self) -> Option<Arc<ClientConnection>> {
        let current = lock(&self.current).clone();
        current.filter(|connection| connection.is_usable())
    }
}

impl Backoff {
    fn is_running(&self) -> bool {
        self.retry_at.is_some_and(|at| Instant::now() < at)
    }

    fn record(&mut self, connected: bool) {
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
