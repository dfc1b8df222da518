//! Calls and attempts that pass through the node.
//!
//! - [`call`]: one call of a local caller, from its request to its answer;
//! - [`attempt`]: one attempt from another node, from its arrival to the last byte
//!   of the back end's answer.
//!
//! Each call and attempt has a task that reports events to the control thread,
//! receives the effects decided for it, and transfers the request and answer.

pub mod answer;
pub mod attempt;
pub mod call;
pub mod caller_headers;
pub mod delivery;
pub mod describe;
pub mod dispatch;
pub mod in_progress;
pub mod parents;
pub mod record_answer;
pub mod request_body;
pub mod run;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use lifthollow_coordination::inbound::InboundId;
use lifthollow_coordination::outbound::CallId;
use lifthollow_state::{RequestId, ServiceName, Side};
use lifthollow_transport::http::BackendPool;
use lifthollow_transport::mux::PeerPool;

use crate::control::{ControlHandle, SharedState};
use crate::operators::Metrics;
use in_progress::InProgress;
use lifthollow_transport::clock::Clock;
use parents::Parents;

/// State shared by all calls and attempts of a node.
pub struct Traffic {
    /// The process's clock.
    pub clock: Clock,
    /// Sends messages to the control thread.
    pub control: ControlHandle,
    /// State posted by the control thread.
    pub shared: Arc<SharedState>,
    /// Connections to other nodes.
    pub peers: PeerPool,
    /// Connections to the local back ends.
    pub backends: BTreeMap<ServiceName, BackendPool>,
    /// Attempts whose back ends may make nested calls.
    pub parents: Parents,
    /// Count of calls and attempts in progress.
    pub in_progress: InProgress,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Largest body that is buffered so that a retry can send it again, bytes.
    pub buffered_body_bytes: usize,
    /// The node's data centre.
    pub side: Side,
    /// A random number that identifies the process; it makes request IDs and context
    /// tokens unique.
    pub process_nonce: u64,
    numbers: Numbers,
    leaving: AtomicBool,
}

/// The last IDs given to calls and attempts.
#[derive(Debug, Default)]
struct Numbers {
    call: AtomicU64,
    inbound: AtomicU64,
}

/// The parts from which the daemon creates [`Traffic`].
pub struct TrafficParts {
    /// See [`Traffic::clock`].
    pub clock: Clock,
    /// See [`Traffic::control`].
    pub control: ControlHandle,
    /// See [`Traffic::shared`].
    pub shared: Arc<SharedState>,
    /// See [`Traffic::peers`].
    pub peers: PeerPool,
    /// See [`Traffic::backends`].
    pub backends: BTreeMap<ServiceName, BackendPool>,
    /// See [`Traffic::metrics`].
    pub metrics: Arc<Metrics>,
    /// See [`Traffic::buffered_body_bytes`].
    pub buffered_body_bytes: usize,
    /// See [`Traffic::side`].
    pub side: Side,
    /// See [`Traffic::process_nonce`].
    pub process_nonce: u64,
}

impl Traffic {
    /// Creates the state with no call or attempt in progress.
    pub fn new(parts: TrafficParts) -> Self {
        Traffic {
            clock: parts.clock,
            control: parts.control,
            shared: parts.shared,
            peers: parts.peers,
            backends: parts.backends,
            parents: Parents::new(parts.process_nonce),
            in_progress: InProgress::default(),
            metrics: parts.metrics,
            buffered_body_bytes: parts.buffered_body_bytes,
            side: parts.side,
            process_nonce: parts.process_nonce,
            numbers: Numbers::default(),
            leaving: AtomicBool::new(false),
        }
    }

    /// Marks the node as leaving: from now on calls that belong to no attempt in
    /// progress are refused.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// The connection pool of a local service, limited to the number of connections
    /// that the table sets.
    fn backend(&self, service: &ServiceName) -> Option<&BackendPool> {
        let pool = self.backends.get(service)?;
        if let Some(row) = self.shared.view().table.row(service, self.side) {
            pool.set_ceiling(row.max_connections as usize);
        }
        Some(pool)
    }

    fn next_call(&self) -> CallId {
        CallId(self.numbers.call.fetch_add(1, Ordering::Relaxed) + 1)
    }

    fn next_inbound(&self) -> InboundId {
        InboundId(self.numbers.inbound.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// The request ID of a request that has no name given by its client.
    fn unnamed_request(&self, call: CallId) -> RequestId {
        RequestId::from_name(&format!("{:016x}-{}", self.process_nonce, call.0))
    }
}
