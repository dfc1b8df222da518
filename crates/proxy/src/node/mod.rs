//! The state of one process, shared by everything that runs on its thread.

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
use tokio::sync::oneshot;

use crate::http::pool::Pool;
use crate::http::server::ConnectionLimits;
use crate::inbound::crash_detector::CrashDetector;
use crate::inbound::in_progress::AttemptsInProgress;
use crate::inbound::server_notice::NoticeLog;
use crate::logging::LineLimit;
use crate::metrics::Metrics;
use crate::network::{Network, SystemNetwork};
use crate::settings::ProxySettings;
use crate::suspects::exchange::ReportExchange;
use crate::tenants::TenantState;
use crate::wire_names::WireNames;
use lifthollow_transport::clock::Clock;

/// How long a connection to another node may take.
const PEER_CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// How long a connection to the server beside this node may take.
const SERVER_CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Requests that are let to the server before its slots are known.
const UNKNOWN_SLOTS: u32 = 16;
/// Size of a head unless the configuration says otherwise, bytes.
const MAX_HEADER_BYTES: u64 = 16 * 1024;
/// How long a connection may stay unused unless the configuration says otherwise.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A node that nothing has reached for this long is idle.
const IDLE_AFTER: Duration = Duration::from_secs(2);

/// Decisions and what they know.
pub struct TrafficState {
    /// What was told from outside.
    pub snapshots: SnapshotStore,
    /// When that was last confirmed.
    pub view: ViewFreshness,
    /// The servers whose nodes watch the source for all, by address.
    pub watchers: Vec<SocketAddrV4>,
    /// Those of them that stand in this node's zone.
    pub zone_watchers: Vec<SocketAddrV4>,
    /// Servers that are new to this node, whose nodes it is to tell that there is a snapshot.
    pub newcomers: Vec<SocketAddrV4>,
    /// The routes in force; none before a configuration arrived.
    pub routes: Option<Arc<RouteTable>>,
    /// Splits of routes over services.
    pub split: WeightedSplit,
    /// The servers.
    pub servers: ServerPool,
    /// The server beside this node, as far as is known.
    pub own_server: Option<InstanceId>,
    /// Repeats that this node may send.
    pub budgets: RetryBudgets,
    /// Admission to the server beside this node.
    pub admission: ServerAdmission,
    /// What is at the server beside this node, in case that it crashes.
    pub server_runs: ServerRuns,
    /// What the server beside this node ran well lately.
    pub served_lately: RecentContents,
    /// Requests that may crash servers.
    pub suspects: Suspects,
    /// Tenants, and how many requests they may send.
    pub tenants: TenantState,
    /// Attempts that wait in the queue.
    pub waiters: HashMap<Ticket, oneshot::Sender<()>>,
    /// Random numbers.
    pub random: SmallRng,
}

/// What a process is given of the machine that it runs on.
pub struct Surroundings {
    /// Where connections come from and go to.
    pub network: Rc<dyn Network>,
    /// The source of everything random.
    pub random: SmallRng,
    /// The time.
    pub clock: Clock,
}

impl Surroundings {
    /// The machine's own network, and random numbers that nobody can foresee.
    pub fn of_system() -> Self {
        Surroundings {
            network: Rc::new(SystemNetwork),
            random: SmallRng::from_rng(&mut rand::rng()),
            clock: Clock::start(),
        }
    }
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// There is none.
    Serving,
    /// The platform is told, and everything is served as before.
    Announced,
    /// Nothing new is sent to the server beside this node.
    Draining,
}

/// One process.
pub struct Node {
    /// What it was told at its start.
    pub settings: ProxySettings,
    /// What callers and servers call their headers.
    pub names: WireNames,
    /// The time.
    pub clock: Clock,
    /// Where connections come from and go to.
    pub network: Rc<dyn Network>,
    /// Decisions.
    pub state: RefCell<TrafficState>,
    /// Connections to the server beside this node.
    pub server_connections: Pool,
    /// Connections to other nodes.
    pub peer_connections: Pool,
    /// Attempts of other nodes that are worked on here.
    pub attempts_in_progress: AttemptsInProgress,
    /// Whether the server beside this node has crashed.
    pub crash_detector: CrashDetector,
    /// What was logged of what the server beside this node says of itself.
    pub notice_log: NoticeLog,
    /// How far this node is with learning which requests crash servers.
    pub report_exchange: ReportExchange,
    /// Counters.
    pub metrics: Rc<Metrics>,
    /// The log.
    pub log: Logger,
    /// Bound on lines about requests.
    pub line_limit: LineLimit,
    /// How far a planned stop has come.
    pub phase: Cell<Phase>,
    /// Whether the server beside this node was last found to fail its requests.
    pub is_server_failing: Cell<bool>,
    /// Where this node takes messages of other nodes, as a header value.
    pub own_address: HeaderValue,
    /// The snapshot as other nodes are sent it, with what is said of it.
    pub encoded_snapshot: RefCell<Option<(SnapshotVersion, Bytes)>>,
    /// Whether attempts that wait for the server's limit are being started.
    pub is_starting_waiting: Cell<bool>,
    /// Whether an update is being fetched from another node.
    pub is_catching_up: Cell<bool>,
    /// When a caller or another node last asked for something, if ever.
    pub last_request: Cell<Option<Timestamp>>,
}

impl Node {
    /// A process that knows only its settings.
    pub fn new(
        settings: ProxySettings,
        names: WireNames,
        surroundings: Surroundings,
        metrics: Rc<Metrics>,
        log: Logger,
    ) -> Rc<Self> {
        let network = surroundings.network;
        let clock = surroundings.clock;
        let random = surroundings.random;
        let state = TrafficState {
            snapshots: SnapshotStore::new(settings.entry_lifetime),
            view: ViewFreshness::default(),
            watchers: Vec::new(),
            zone_watchers: Vec::new(),
            newcomers: Vec::new(),
            routes: None,
            split: WeightedSplit::default(),
            servers: ServerPool::new(&settings.zone),
            own_server: None,
            budgets: RetryBudgets::new(settings.retry_bound),
            admission: ServerAdmission::new(&settings.service, UNKNOWN_SLOTS),
            server_runs: ServerRuns::default(),
            served_lately: RecentContents::default(),
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
            server_connections: Pool::new(network.clone(), clock, SERVER_CONNECT_LIMIT),
            peer_connections: Pool::new(network.clone(), clock, PEER_CONNECT_LIMIT),
            attempts_in_progress: AttemptsInProgress::default(),
            crash_detector: CrashDetector::default(),
            notice_log: NoticeLog::default(),
            report_exchange: ReportExchange::default(),
            metrics,
            log,
            line_limit: LineLimit::default(),
            phase: Cell::new(Phase::Serving),
            encoded_snapshot: RefCell::default(),
            is_starting_waiting: Cell::new(false),
            is_catching_up: Cell::new(false),
            last_request: Cell::new(None),
            is_server_failing: Cell::new(false),
            network,
        })
    }

    /// The time now.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Whether callers can be served.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving && self.state.borrow().routes.is_some()
    }

    /// Whether new attempts for the server beside this node are taken.
    pub fn takes_attempts(&self) -> bool {
        self.phase.get() != Phase::Draining
    }

    /// Revision of the snapshot.
    pub fn revision(&self) -> Revision {
        self.snapshot_version().revision
    }

    /// What this node says of its snapshot to others.
    pub fn snapshot_version(&self) -> SnapshotVersion {
        self.state.borrow().snapshots.version()
    }

    /// Whether this node was told anything yet.
    pub fn has_snapshot(&self) -> bool {
        !self.revision().is_none()
    }

    /// Whether this node watches the source itself. One that knows of no other
    /// node does.
    pub fn is_watcher(&self) -> bool {
        let state = self.state.borrow();
        state.watchers.is_empty() || state.watchers.contains(&self.settings.server_address)
    }

    /// Whether the node that takes messages at `address` watches the source.
    pub fn is_other_watcher(&self, address: SocketAddrV4) -> bool {
        let state = self.state.borrow();
        let mut watchers = state.watchers.iter();
        watchers.any(|server| self.beside(*server) == address)
    }

    /// Whether this node knows of others that watch the source.
    pub fn knows_watchers(&self) -> bool {
        let state = self.state.borrow();
        let own = self.settings.server_address;
        state.watchers.iter().any(|address| *address != own)
    }

    /// Whether a caller or another node has asked for something lately.
    pub fn is_busy(&self) -> bool {
        let now = self.now();
        let last = self.last_request.get();
        last.is_some_and(|last| now.saturating_since(last) < IDLE_AFTER)
    }

    /// Whether the view is so fresh that the source need not be asked.
    pub fn is_view_fresh(&self) -> bool {
        let age = self.view_age();
        age.is_some_and(|age| age <= view_freshness::ACCEPTED_AGE)
    }

    /// The time since the view was confirmed; none if it never was.
    pub fn view_age(&self) -> Option<Duration> {
        self.state.borrow().view.age(self.now())
    }

    /// The source had nothing newer at `at`, or later, than this node has.
    pub fn confirm_view(&self, at: Timestamp) {
        let now = self.now();
        self.state.borrow_mut().view.confirm(now, at);
    }

    /// Version of the configuration in force; none before the first.
    pub fn configuration_version(&self) -> Option<u64> {
        let state = self.state.borrow();
        state.routes.as_ref().map(|routes| routes.version())
    }

    /// The system refused to accept a connection, for want of descriptors as a rule. Callers
    /// wait until one is free.
    pub fn note_accept_refused(&self, port: &str, error: &io::Error) {
        warn!(self.log, "connections not accepted"; "port" => port, "error" => %error);
    }

    /// The system accepts connections again, after `refused` refusals.
    pub fn note_accept_resumed(&self, port: &str, refused: u32) {
        info!(self.log, "connections accepted again"; "port" => port, "refused" => refused);
    }

    /// Whether a line about a request may be written now.
    pub fn may_log(&self) -> bool {
        self.line_limit.allows(self.now())
    }

    /// What callers may send and how long they may take.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let state = self.state.borrow();
        let snapshot = state.snapshots.snapshot();
        let limits = snapshot.configuration.as_ref().map(|known| known.limits);
        let limits = limits.unwrap_or_default();
        ConnectionLimits {
            max_header_bytes: limits.max_header_bytes.unwrap_or(MAX_HEADER_BYTES) as usize,
            idle_timeout: limits.idle_timeout.unwrap_or(IDLE_TIMEOUT),
        }
    }
}
