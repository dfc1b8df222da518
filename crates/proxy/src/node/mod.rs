//! The state of one process, shared by all tasks of its thread.

mod own_server;
mod refresh;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use lifthollow_coordination::mesh::admission_queue::Ticket;
use lifthollow_coordination::mesh::poison::recent_contents::RecentContents;
use lifthollow_coordination::mesh::poison::server_runs::ServerRuns;
use lifthollow_coordination::mesh::poison::suspects::Suspects;
use lifthollow_coordination::mesh::retry_budget::RetryBudgets;
use lifthollow_coordination::mesh::route_table::RouteTable;
use lifthollow_coordination::mesh::server_admission::ServerAdmission;
use lifthollow_coordination::mesh::server_selection::ServerPool;
use lifthollow_coordination::mesh::snapshot_store::SnapshotStore;
use lifthollow_coordination::mesh::view_freshness::{self, ViewFreshness};
use lifthollow_coordination::mesh::weighted_split::WeightedSplit;
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{InstanceId, Revision, SnapshotVersion};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, oneshot};

use crate::http::pool::Pool;
use crate::http::server::ConnectionLimits;
use crate::inbound::crash_detector::CrashDetector;
use crate::inbound::in_progress::AttemptsInProgress;
use crate::inbound::server_notice::NoticeLog;
use crate::logging::LogRateLimit;
use crate::metrics::Metrics;
use crate::network::{Network, SystemNetwork};
use crate::settings::ProxySettings;
use crate::suspects::exchange::ReportExchange;
use crate::tenants::TenantState;
use crate::wire_names::WireNames;
use lifthollow_transport::clock::Clock;

/// Timeout for opening a connection to another node.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for opening a connection to the local server.
const SERVER_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of requests that may run at the server at the same time before its slots are known.
const DEFAULT_SERVER_SLOTS: u32 = 16;
/// The largest request head that is accepted, in bytes, unless the configuration sets a limit.
const DEFAULT_MAX_HEADER_BYTES: u64 = 16 * 1024;
/// How long an accepted connection may stay unused, unless the configuration sets a time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A node that no caller and no other node has sent a request for this long is idle.
const IDLE_AFTER: Duration = Duration::from_secs(2);

/// The traffic decisions of a node, with the state that they depend on.
pub struct TrafficState {
    /// The configuration and the servers, as received from the source or other nodes.
    pub snapshots: SnapshotStore,
    /// When the snapshot was last confirmed to be the source's newest.
    pub view: ViewFreshness,
    /// The addresses of the servers whose nodes watch the source for all nodes.
    pub watchers: Vec<SocketAddrV4>,
    /// The addresses in `watchers` that belong to servers in this node's zone.
    pub zone_watchers: Vec<SocketAddrV4>,
    /// Servers that are new to this node, whose nodes are still to be notified of the snapshot.
    pub newcomers: Vec<SocketAddrV4>,
    /// The current routes; none before the first configuration has arrived.
    pub routes: Option<Arc<RouteTable>>,
    /// Chooses a service for each request on a route that is split over several services.
    pub split: WeightedSplit,
    /// The servers that requests may be sent to, with what is known of their load and failures.
    pub servers: ServerPool,
    /// The local server; none if the snapshot contains none.
    pub own_server: Option<InstanceId>,
    /// The budgets of retried and hedged attempts that this node may send.
    pub budgets: RetryBudgets,
    /// Admission of attempts to the local server.
    pub admission: ServerAdmission,
    /// The requests that run at the local server, to be reported if it crashes.
    pub server_runs: ServerRuns,
    /// Contents of requests that the local server recently ran successfully.
    pub recent_successful_runs: RecentContents,
    /// Reports about requests that may crash servers.
    pub suspects: Suspects,
    /// Tenants' keys and rate limits.
    pub tenants: TenantState,
    /// Attempts that wait in the queue, each with the channel that starts it.
    pub waiters: HashMap<Ticket, oneshot::Sender<()>>,
    /// Random number generator.
    pub random: SmallRng,
}

/// What a process uses of its environment, so that a simulation can replace it.
pub struct Environment {
    /// Opens and accepts connections.
    pub network: Rc<dyn Network>,
    /// Random number generator for all random choices of the process.
    pub random: SmallRng,
    /// The clock that all times are read from.
    pub clock: Clock,
}

impl Environment {
    /// The system's network and clock, and a randomly seeded random number generator.
    pub fn of_system() -> Self {
        let clock = Clock::start();
        Environment {
            network: Rc::new(SystemNetwork::new(clock)),
            random: SmallRng::from_rng(&mut rand::rng()),
            clock,
        }
    }
}

/// The progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No stop has begun.
    Serving,
    /// The node reports that it is not ready, but still serves everything as before.
    Announced,
    /// No new attempts are accepted for the local server.
    Draining,
}

/// The state of one traffic process.
pub struct Node {
    /// The settings that the process was started with.
    pub settings: ProxySettings,
    /// Names of the headers and paths used with callers, servers and the platform.
    pub names: WireNames,
    /// The clock that all times are read from.
    pub clock: Clock,
    /// Opens and accepts connections.
    pub network: Rc<dyn Network>,
    /// The traffic decisions, with the state that they depend on.
    pub state: RefCell<TrafficState>,
    /// Connections to the local server.
    pub server_connections: Pool,
    /// Connections to other nodes.
    pub peer_connections: Pool,
    /// Attempts of other nodes that are in progress here.
    pub attempts_in_progress: AttemptsInProgress,
    /// Detects crashes of the local server.
    pub crash_detector: CrashDetector,
    /// Log state for the notices of the local server.
    pub notice_log: NoticeLog,
    /// The state of the exchange of reports about requests that crash servers.
    pub report_exchange: ReportExchange,
    /// The metrics of the process.
    pub metrics: Rc<Metrics>,
    /// The logger of the process.
    pub log: Logger,
    /// Rate limit of log lines about requests.
    pub log_rate_limit: LogRateLimit,
    /// The progress of a planned stop.
    pub phase: Cell<Phase>,
    /// Whether the local server was last found to fail its requests.
    pub is_server_failing: Cell<bool>,
    /// The address at which this node receives messages from other nodes, as a header value.
    pub own_address: HeaderValue,
    /// The encoded snapshot that is sent to other nodes, with its version; none before the first use.
    pub encoded_snapshot: RefCell<Option<(SnapshotVersion, Bytes)>>,
    /// Notified when attempts wait for the server's rate limit and the next may start at another time.
    pub next_start_changed: Notify,
    /// Notified when servers have vanished, which are to be forgotten in time.
    pub servers_vanished: Notify,
    /// Whether an update is being fetched from another node.
    pub is_catching_up: Cell<bool>,
    /// When a caller or another node last sent a request that needs a fresh view; none if that never
    /// happened.
    last_request: Cell<Option<Timestamp>>,
}

impl Node {
    /// Creates the state of a process that has no snapshot yet.
    pub fn new(
        settings: ProxySettings,
        names: WireNames,
        environment: Environment,
        metrics: Rc<Metrics>,
        log: Logger,
    ) -> Rc<Self> {
        let network = environment.network;
        let clock = environment.clock;
        let random = environment.random;
        let state = TrafficState {
            snapshots: SnapshotStore::new(settings.entry_times),
            view: ViewFreshness::default(),
            watchers: Vec::new(),
            zone_watchers: Vec::new(),
            newcomers: Vec::new(),
            routes: None,
            split: WeightedSplit::default(),
            servers: ServerPool::new(&settings.zone),
            own_server: None,
            budgets: RetryBudgets::new(settings.retry_bound),
            admission: ServerAdmission::new(&settings.service, DEFAULT_SERVER_SLOTS),
            server_runs: ServerRuns::default(),
            recent_successful_runs: RecentContents::default(),
            suspects: Suspects::default(),
            tenants: TenantState::default(),
            waiters: HashMap::new(),
            random,
        };
        let own_address = HeaderValue::try_from(settings.inbound.to_string());
        Rc::new(Node {
            own_address: own_address.expect("an address is plain text"),
            settings,
            names,
            clock,
            state: RefCell::new(state),
            server_connections: Pool::new(network.clone(), clock, SERVER_CONNECT_TIMEOUT),
            peer_connections: Pool::new(network.clone(), clock, PEER_CONNECT_TIMEOUT),
            attempts_in_progress: AttemptsInProgress::default(),
            crash_detector: CrashDetector::default(),
            notice_log: NoticeLog::default(),
            report_exchange: ReportExchange::default(),
            metrics,
            log,
            log_rate_limit: LogRateLimit::default(),
            phase: Cell::new(Phase::Serving),
            encoded_snapshot: RefCell::default(),
            next_start_changed: Notify::new(),
            servers_vanished: Notify::new(),
            is_catching_up: Cell::new(false),
            last_request: Cell::new(None),
            is_server_failing: Cell::new(false),
            network,
        })
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Whether the node can serve callers: it has routes, and no stop has begun.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving && self.state.borrow().routes.is_some()
    }

    /// Whether new attempts for the local server are accepted.
    pub fn takes_attempts(&self) -> bool {
        self.phase.get() != Phase::Draining
    }

    /// The revision of this node's snapshot.
    pub fn revision(&self) -> Revision {
        self.snapshot_version().revision
    }

    /// The version of this node's snapshot.
    pub fn snapshot_version(&self) -> SnapshotVersion {
        self.state.borrow().snapshots.version()
    }

    /// Whether this node has a snapshot.
    pub fn has_snapshot(&self) -> bool {
        !self.revision().is_none()
    }

    /// Whether this node watches the source itself. A node that knows no watchers does.
    pub fn is_watcher(&self) -> bool {
        let state = self.state.borrow();
        state.watchers.is_empty() || state.watchers.contains(&self.settings.server_address)
    }

    /// Whether the node that receives messages at `address` watches the source.
    pub fn is_other_watcher(&self, address: SocketAddrV4) -> bool {
        let state = self.state.borrow();
        let mut watchers = state.watchers.iter();
        watchers.any(|server| self.beside(*server) == address)
    }

    /// Whether this node knows other nodes that watch the source.
    pub fn knows_watchers(&self) -> bool {
        let state = self.state.borrow();
        let own = self.settings.server_address;
        state.watchers.iter().any(|address| *address != own)
    }

    /// Whether a caller or another node has recently sent a request.
    pub fn is_busy(&self) -> bool {
        let now = self.now();
        let last = self.last_request.get();
        last.is_some_and(|last| now.saturating_since(last) < IDLE_AFTER)
    }

    /// Records a request that depends on how fresh this node's view is. `kind` says which one, in the log
    /// line that is written if there was none recently.
    pub fn record_use(&self, now: Timestamp, kind: &str, sender: Option<SocketAddrV4>) {
        if !self.is_busy() {
            info!(self.log, "in use"; "kind" => kind, "from" => sender.map(|sender| sender.to_string()),
                "revision" => %self.revision());
        }
        self.last_request.set(Some(now));
    }

    /// Whether the view is so fresh that the source need not be queried.
    pub fn is_view_fresh(&self) -> bool {
        let age = self.view_age();
        age.is_some_and(|age| age <= view_freshness::MAX_ACCEPTED_AGE)
    }

    /// The time since the view was last confirmed; none if it never was.
    pub fn view_age(&self) -> Option<Duration> {
        self.state.borrow().view.age(self.now())
    }

    /// Confirms the view: at `at` or later, the source had nothing newer than this node's snapshot.
    pub fn confirm_view(&self, at: Timestamp) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.view.confirm(now, at);
        state.snapshots.confirm(at);
    }

    /// The version of the configuration in force; none before the first configuration.
    pub fn configuration_version(&self) -> Option<u64> {
        let state = self.state.borrow();
        state.routes.as_ref().map(|routes| routes.version())
    }

    /// Logs that the system refused to accept a connection, usually for lack of file descriptors.
    /// Callers wait until a descriptor is free.
    pub fn log_accept_refused(&self, port: &str, error: &io::Error) {
        warn!(self.log, "connections not accepted"; "port" => port, "error" => %error);
    }

    /// Logs that the system accepts connections again, after `refused` refusals.
    pub fn log_accept_resumed(&self, port: &str, refused: u32) {
        info!(self.log, "connections accepted again"; "port" => port, "refused" => refused);
    }

    /// Whether a log line about a request may be written now.
    pub fn may_log(&self) -> bool {
        self.log_rate_limit.allows(self.now())
    }

    /// The limits of a connection: the size of a request head and the idle time.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let state = self.state.borrow();
        let snapshot = state.snapshots.snapshot();
        let limits = snapshot.configuration.as_ref().map(|known| known.limits);
        let limits = limits.unwrap_or_default();
        ConnectionLimits {
            max_header_bytes: limits.max_header_bytes.unwrap_or(DEFAULT_MAX_HEADER_BYTES) as usize,
            idle_timeout: limits.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT),
        }
    }
}
