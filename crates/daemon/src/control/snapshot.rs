//! What other threads may read of the control thread's state.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};

use lifthollow_coordination::{Node, View};
use lifthollow_state::{Server, ServerState, ServiceName, Timestamp};
use serde::Serialize;

/// State posted by the control thread. Readers never make it wait.
#[derive(Debug, Default)]
pub struct SharedState {
    view: RwLock<View>,
    snapshot: RwLock<Arc<ControlSnapshot>>,
}

impl SharedState {
    /// The table in force and the servers known.
    pub fn view(&self) -> View {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    }

    /// The last posted snapshot.
    pub fn snapshot(&self) -> Arc<ControlSnapshot> {
        let snapshot = self.snapshot.read();
        snapshot.unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn post_view(&self, view: View) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }

    pub(super) fn post_snapshot(&self, snapshot: ControlSnapshot) {
        let mut posted = self
            .snapshot
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *posted = Arc::new(snapshot);
    }
}

/// The control thread's state at one moment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlSnapshot {
    /// The node's address.
    pub node: String,
    /// This life of the node.
    pub incarnation: u64,
    /// Its data centre.
    pub side: String,
    /// Its failure domain.
    pub zone: u16,
    /// The decisions it runs.
    pub policy: String,
    /// Seconds since the process started.
    pub uptime_seconds: f64,
    /// Whether a planned stop has begun.
    pub leaving: bool,
    /// Number of the table in force; 0 if there is none yet.
    pub table_number: u64,
    /// Digest of the table in force, in hexadecimal.
    pub table_digest: String,
    /// Calls of local callers that are not answered yet.
    pub calls_in_progress: usize,
    /// Attempts of other nodes that are queued or running.
    pub attempts_in_progress: usize,
    /// The services whose back ends stand beside the node.
    pub services: BTreeMap<String, ServiceSnapshot>,
    /// The servers known, by service.
    pub members: BTreeMap<String, Vec<MemberSnapshot>>,
}

/// Load of one local service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceSnapshot {
    /// Calls running at the back end.
    pub in_flight: u32,
    /// Calls waiting in the queue.
    pub queued: u32,
    /// Calls that may run at once now.
    pub limit: u32,
    /// Lowest priority admitted; 0 admits everything.
    pub admission_level: u16,
}

/// One server as this node knows it.
#[derive(Clone, Debug, Serialize)]
pub struct MemberSnapshot {
    /// The node's address.
    pub node: String,
    /// Its data centre.
    pub side: String,
    /// Its failure domain.
    pub zone: u16,
    /// `serving`, `suspected` or `leaving`.
    pub state: String,
}

impl ControlSnapshot {
    pub(super) fn of(node: &Node, now: Timestamp, calls: usize, leaving: bool) -> Self {
        let settings = node.settings();
        let version = node.view().table.version();
        ControlSnapshot {
            node: settings.node.to_string(),
            incarnation: settings.incarnation.0,
            side: settings.side.to_string(),
            zone: settings.zone.0,
            policy: settings.policy.to_string(),
            uptime_seconds: now.as_secs_f64(),
            leaving,
            table_number: version.number,
            table_digest: format!("{:016x}", version.digest),
            calls_in_progress: calls,
            attempts_in_progress: node.in_progress(),
            services: local_services(node, now),
            members: members(node),
        }
    }
}

fn local_services(node: &Node, now: Timestamp) -> BTreeMap<String, ServiceSnapshot> {
    let services = node.settings().services.iter();
    services
        .map(|service| (service.to_string(), local_service(node, now, service)))
        .collect()
}

fn local_service(node: &Node, now: Timestamp, service: &ServiceName) -> ServiceSnapshot {
    let load = node.load(now, service);
    ServiceSnapshot {
        in_flight: load.in_flight,
        queued: load.queued,
        limit: load.limit,
        admission_level: load.admission_level.0,
    }
}

fn members(node: &Node) -> BTreeMap<String, Vec<MemberSnapshot>> {
    let services = node.view().directory.services();
    services
        .map(|(service, servers)| {
            let members = servers.iter().map(member).collect();
            (service.to_string(), members)
        })
        .collect()
}

fn member(server: &Server) -> MemberSnapshot {
    let state = match server.state {
        ServerState::Serving => "serving",
        ServerState::Suspected => "suspected",
        ServerState::Leaving => "leaving",
    };
    MemberSnapshot {
        node: server.node.to_string(),
        side: server.side.to_string(),
        zone: server.zone.0,
        state: state.to_owned(),
    }
}
