//! Starting a node, and its planned stop.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::time::timeout;

use lifthollow_coordination::claims::ClaimSettings;
use lifthollow_coordination::{Node, NodeSettings, PolicyKind};
use lifthollow_state::{Incarnation, NodeId, ServiceName};
use lifthollow_transport::datagram::{DatagramReceiver, DatagramSender};
use lifthollow_transport::http::{BackendPool, CallerServer};
use lifthollow_transport::mux::{BufferedBytes, MuxServer, PeerPool};

use crate::control::{ControlHandle, ControlInput, ControlParts, ControlThread, SharedState};
use crate::datagrams::receive_datagrams;
use crate::node_sockets::NodeSockets;
use crate::operators::{Metrics, OperatorsServer, OperatorsState, RefusalLog};
use crate::platform::PlatformReader;
use crate::settings::Settings;
use crate::traffic::attempt::serve_attempts;
use crate::traffic::{Traffic, TrafficParts};
use lifthollow_transport::clock::Clock;

/// Longest wait of a leaving node for other nodes to close their connections
/// after the last call has ended.
const CONNECTION_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the handover of claims at a planned stop.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a planned stop checks whether connections are closed and
/// claims handed over.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of connections to a local back end until a table sets it.
const INITIAL_CONNECTIONS: usize = 1;

/// The addresses at which a running node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for other nodes, over TCP and UDP.
    pub node: NodeId,
    /// Address for callers, over HTTP.
    pub callers: SocketAddr,
    /// Address for operators, over HTTP.
    pub operators: SocketAddr,
}

impl Addresses {
    /// Logs the `listening` record, which scripts wait for. It is the first record
    /// that a running node logs.
    fn log(&self, log: &Logger) {
        info!(log, "listening";
            "node" => %self.node,
            "callers" => %self.callers,
            "operators" => %self.operators);
    }
}

/// A running node.
pub struct Daemon {
    addresses: Addresses,
    settings: Settings,
    log: Logger,
    runtime: Runtime,
    traffic: Arc<Traffic>,
    mux: Arc<MuxServer>,
    stop_callers: watch::Sender<bool>,
    callers_ended: tokio::task::JoinHandle<()>,
    control_thread: JoinHandle<()>,
    operators: OperatorsServer,
    buffered: BufferedBytes,
}

impl Daemon {
    /// Binds all ports and starts all threads.
    pub fn start(settings: Settings, log: Logger) -> Result<Daemon> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.call_threads)
            .thread_name("traffic")
            .enable_all()
            .build()
            .context("failed to start the traffic threads")?;
        let sockets = runtime
            .block_on(NodeSockets::bind(settings.node))
            .with_context(|| format!("failed to bind the node's port {}", settings.node))?;
        let callers = runtime
            .block_on(TcpListener::bind(settings.callers))
            .with_context(|| format!("failed to bind the callers' port {}", settings.callers))?;
        NodeParts::new(settings, log, runtime, sockets.node)?.run(sockets, callers)
    }

    /// The addresses at which the node listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The count of body bytes received from other nodes and not yet passed on.
    pub fn buffered(&self) -> &BufferedBytes {
        &self.buffered
    }

    /// Performs the planned stop: the node accepts no new work and finishes all
    /// calls and attempts in progress, for at most the setting
    /// `stop_timeout_seconds`. Returns whether all of them finished in time.
    pub fn stop(self) -> bool {
        info!(self.log, "stop_begun"; "in_progress" => self.traffic.in_progress.count());
        self.traffic.leave();
        self.traffic.control.send(ControlInput::Leave);
        let nothing_cut = self.runtime.block_on(self.finish_calls());
        if !nothing_cut {
            warn!(self.log, "stop_cut"; "in_progress" => self.traffic.in_progress.count());
        }
        self.runtime.block_on(self.finish_handover());
        self.traffic.control.send(ControlInput::Stop);
        let _ = self.control_thread.join();
        self.operators.stop();
        self.runtime.shutdown_background();
        info!(self.log, "stopped"; "nothing_cut" => nothing_cut);
        nothing_cut
    }

    /// Waits until this node's claims are handed over to another node, for at most
    /// [`HANDOVER_TIMEOUT`].
    async fn finish_handover(&self) {
        let handed_over = timeout(HANDOVER_TIMEOUT, async {
            while self.traffic.control.is_handing_over().await {
                tokio::time::sleep(STOP_POLL_INTERVAL).await;
            }
        });
        if handed_over.await.is_err() {
            warn!(self.log, "claims_not_handed_over");
        }
    }

    async fn finish_calls(&self) -> bool {
        let finished = timeout(self.settings.stop_timeout, async {
            self.traffic.in_progress.wait_until_zero().await;
            let _ = self.stop_callers.send(true);
            while !self.callers_ended.is_finished() {
                tokio::time::sleep(STOP_POLL_INTERVAL).await;
            }
        })
        .await;
        self.mux.leave();
        let _ = timeout(CONNECTION_CLOSE_TIMEOUT, async {
            while self.mux.open_connections() > 0 {
                tokio::time::sleep(STOP_POLL_INTERVAL).await;
            }
        })
        .await;
        finished.is_ok()
    }
}

/// The parts of a node that are created before it starts to run.
struct NodeParts {
    settings: Settings,
    log: Logger,
    runtime: Runtime,
    node: NodeId,
    clock: Clock,
    control: ControlHandle,
    inputs: flume::Receiver<ControlInput>,
    shared: Arc<SharedState>,
    refusals: Arc<RefusalLog>,
    metrics: Arc<Metrics>,
    buffered: BufferedBytes,
}

impl NodeParts {
    fn new(settings: Settings, log: Logger, runtime: Runtime, node: NodeId) -> Result<Self> {
        let (control, inputs) = ControlHandle::channel();
        Ok(NodeParts {
            settings,
            log,
            runtime,
            node,
            clock: Clock::start(),
            control,
            inputs,
            shared: Arc::default(),
            refusals: Arc::default(),
            metrics: Arc::new(Metrics::new()?),
            buffered: BufferedBytes::default(),
        })
    }

    fn run(self, sockets: NodeSockets, callers: TcpListener) -> Result<Daemon> {
        let operators = self.start_operators()?;
        let addresses = Addresses {
            node: self.node,
            callers: callers.local_addr()?,
            operators: operators.address(),
        };
        let traffic = Arc::new(self.create_traffic());
        let mux = self.start_mux(&traffic, sockets.listener);
        self.start_datagrams(sockets.receiver);
        let (stop_callers, stop) = watch::channel(false);
        let server = CallerServer::new(traffic.clone(), self.settings.max_header_bytes, stop);
        let callers_ended = self.runtime.spawn(async move { server.run(callers).await });
        addresses.log(&self.log);
        let node = self.create_decisions();
        let control_thread = self.start_control(node, sockets.sender)?;
        Ok(Daemon {
            addresses,
            settings: self.settings,
            log: self.log,
            runtime: self.runtime,
            traffic,
            mux,
            stop_callers,
            callers_ended,
            control_thread,
            operators,
            buffered: self.buffered,
        })
    }

    /// Creates the decision logic. Without a roster the policy `lifthollow` refuses
    /// calls with an idempotency key, because nothing would keep them from running
    /// twice. The baseline policies without a roster have no claims.
    fn create_decisions(&self) -> Node {
        let settings = self.node_settings();
        let (incarnation, seed) = (settings.incarnation, settings.seed);
        let node = Node::new(settings);
        let is_product = self.settings.policy == PolicyKind::Lifthollow;
        if self.settings.claim_roster.is_none() && !is_product {
            return node;
        }
        if self.settings.claim_roster.is_none() {
            warn!(self.log, "no_claim_roster"; "detail" => "calls with an idempotency key are refused");
        }
        let roster = self.settings.claim_roster.clone().unwrap_or_default();
        let claims = ClaimSettings::new(self.node, incarnation, roster, seed);
        node.with_claims(ClaimSettings {
            bootstrap: self.settings.claim_bootstrap,
            ..claims
        })
    }

    fn start_operators(&self) -> Result<OperatorsServer> {
        let state = OperatorsState {
            shared: self.shared.clone(),
            control: self.control.clone(),
            clock: self.clock,
            refusals: self.refusals.clone(),
            metrics: self.metrics.clone(),
            buffered: self.buffered.clone(),
        };
        OperatorsServer::start(self.settings.operators, state)
    }

    fn create_traffic(&self) -> Traffic {
        Traffic::new(TrafficParts {
            clock: self.clock,
            control: self.control.clone(),
            shared: self.shared.clone(),
            peers: PeerPool::new(self.node, self.buffered.clone()),
            backends: self.create_backend_pools(),
            metrics: self.metrics.clone(),
            buffered_body_bytes: self.settings.buffered_body_bytes,
            side: self.settings.side,
            process_nonce: rand::random(),
        })
    }

    fn create_backend_pools(&self) -> BTreeMap<ServiceName, BackendPool> {
        let max_header_bytes = self.settings.max_header_bytes;
        let pool = |address| BackendPool::new(address, INITIAL_CONNECTIONS, max_header_bytes);
        let backends = self.settings.backends.iter();
        backends
            .map(|backend| (backend.service.clone(), pool(backend.address)))
            .collect()
    }

    fn start_mux(&self, traffic: &Arc<Traffic>, listener: TcpListener) -> Arc<MuxServer> {
        let (sender, attempts) = flume::unbounded();
        let mux = Arc::new(MuxServer::new(self.node, sender, self.buffered.clone()));
        let server = mux.clone();
        let log = self.log.clone();
        self.runtime.spawn(async move {
            if let Err(error) = server.run(listener).await {
                warn!(log, "node_port_failed"; "error" => %error);
            }
        });
        self.runtime
            .spawn(serve_attempts(traffic.clone(), attempts));
        mux
    }

    fn start_datagrams(&self, receiver: DatagramReceiver) {
        let control = self.control.clone();
        let metrics = self.metrics.clone();
        self.runtime
            .spawn(receive_datagrams(receiver, control, metrics));
    }

    fn start_control(&self, node: Node, socket: DatagramSender) -> Result<JoinHandle<()>> {
        let (platform, requests) = flume::unbounded();
        let reader = PlatformReader {
            table: self.settings.platform_table,
            machines: self.settings.platform_machines,
            shared: self.shared.clone(),
            control: self.control.clone(),
            metrics: self.metrics.clone(),
            log: self.log.clone(),
        };
        std::thread::Builder::new()
            .name("platform".to_owned())
            .spawn(move || reader.run(requests))?;
        let control = ControlThread::new(ControlParts {
            node,
            clock: self.clock,
            inputs: self.inputs.clone(),
            socket,
            platform,
            shared: self.shared.clone(),
            refusals: self.refusals.clone(),
            metrics: self.metrics.clone(),
            log: self.log.clone(),
        });
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control.run())?;
        Ok(thread)
    }

    fn node_settings(&self) -> NodeSettings {
        let settings = &self.settings;
        let backends = settings.backends.iter();
        let seeds = settings.seed_nodes.iter().copied();
        NodeSettings {
            node: self.node,
            incarnation: Incarnation(wall_clock_microseconds()),
            side: settings.side,
            zone: settings.zone,
            services: backends.map(|backend| backend.service.clone()).collect(),
            seeds: seeds.map(NodeId::from_address).collect(),
            policy: settings.policy,
            seed: settings.random_seed.unwrap_or_else(rand::random),
        }
    }
}

/// Reads the wall clock, in microseconds since the Unix epoch. It is read once, at
/// the start, and only orders the incarnations of a node.
fn wall_clock_microseconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |passed| passed.as_micros() as u64)
}
