//! Copies of the control thread's state, posted for other threads to read.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use lifthollow_coordination::fleet::{Listing, Member};
use lifthollow_coordination::{Node, View};
use lifthollow_protocol::operators::{EdgeStatus, KnownMember, NodeStatus, ServiceLoad};
use lifthollow_state::{ServerState, ServiceName, TableVersion, Timestamp};

/// State posted by the control thread and by the reader of the platform's
/// service. Readers hold the locks only to copy, so they don't delay these threads.
#[derive(Debug, Default)]
pub struct SharedState {
    view: RwLock<View>,
    status: RwLock<Arc<NodeStatus>>,
    table_fault: RwLock<Option<String>>,
}

impl SharedState {
    /// The table in force and the known servers.
    pub fn view(&self) -> View {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    }

    /// The last posted status, with the fault of the last table fetch, if any.
    pub fn status(&self) -> NodeStatus {
        let status = self.status.read();
        let status = status.unwrap_or_else(PoisonError::into_inner).clone();
        NodeStatus {
            table_fault: self.table_fault(),
            ..status.as_ref().clone()
        }
    }

    /// Why the last fetch of the platform's table failed or its table was refused;
    /// `None` if it was accepted.
    pub fn table_fault(&self) -> Option<String> {
        let fault = self.table_fault.read();
        fault.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Posts the result of a fetch of the platform's table: the fault, or `None` if
    /// the table was accepted.
    pub fn post_table_fault(&self, fault: Option<String>) {
        let posted = self.table_fault.write();
        *posted.unwrap_or_else(PoisonError::into_inner) = fault;
    }

    pub(super) fn post_view(&self, view: View) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }

    pub(super) fn post_status(&self, status: NodeStatus) {
        let mut posted = self.status.write().unwrap_or_else(PoisonError::into_inner);
        *posted = Arc::new(status);
    }
}

/// Summarizes the node's state. The cost does not depend on the number of members.
pub(super) fn status(node: &Node, now: Timestamp, calls: usize, leaving: bool) -> NodeStatus {
    let settings = node.settings();
    let version = node.view().table.version();
    NodeStatus {
        node: settings.node.to_string(),
        incarnation: settings.incarnation.0,
        side: settings.side.to_string(),
        zone: settings.zone.0,
        policy: settings.policy.to_string(),
        uptime_seconds: now.as_secs_f64(),
        leaving,
        table_number: version.number,
        table_digest: digest(version),
        table_fault: None,
        calls_in_progress: calls,
        attempts_in_progress: node.in_progress(),
        services: local_services(node, now),
        members_known: members_known(node),
        edges: edges(node, now),
    }
}

fn local_services(node: &Node, now: Timestamp) -> Vec<ServiceLoad> {
    let services = node.settings().services.iter();
    services
        .map(|service| local_service(node, now, service))
        .collect()
}

fn local_service(node: &Node, now: Timestamp, service: &ServiceName) -> ServiceLoad {
    let load = node.load(now, service);
    ServiceLoad {
        service: service.to_string(),
        in_flight: load.in_flight,
        queued: load.queued,
        limit: load.limit,
        admission_level: load.admission_level.0,
    }
}

fn members_known(node: &Node) -> usize {
    let services = node.view().directory.services();
    services.map(|(_, servers)| servers.len()).sum()
}

/// Lists all members with their known state. The cost grows with the number of
/// members, so the list is built only when an operator asks for it.
pub(super) fn members(node: &Node, now: Timestamp) -> Vec<KnownMember> {
    let members = node.fleet().members();
    members
        .map(|member| describe_member(node, member, now))
        .collect()
}

fn describe_member(node: &Node, member: &Member, now: Timestamp) -> KnownMember {
    let record = &member.record;
    let seconds_since = |then: Timestamp| now.saturating_since(then).as_secs_f64();
    let is_self = record.node == node.settings().node;
    let version = match is_self {
        true => node.view().table.version(),
        false => member.table,
    };
    KnownMember {
        node: record.node.to_string(),
        incarnation: record.incarnation.0,
        side: record.side.to_string(),
        zone: record.zone.0,
        services: record.services.iter().map(ServiceName::to_string).collect(),
        status: record.status.as_str().to_owned(),
        listing: listing_name(member.listing).to_owned(),
        use_as: use_as(node.view(), member),
        heard_seconds_ago: match is_self {
            true => Some(Duration::ZERO.as_secs_f64()),
            false => member.heard.map(seconds_since),
        },
        not_alive_seconds: member.not_alive_since.map(seconds_since),
        table_number: version.number,
        table_digest: digest(version),
    }
}

/// The state in which decisions treat a member, by the first of its services.
fn use_as(view: &View, member: &Member) -> Option<String> {
    let service = member.record.services.first()?;
    let server = view.directory.server(service, member.record.node)?;
    let word = match server.state {
        ServerState::Serving => "serving",
        ServerState::Suspected => "suspected",
        ServerState::Leaving => "leaving",
    };
    Some(word.to_owned())
}

fn edges(node: &Node, now: Timestamp) -> Vec<EdgeStatus> {
    let edges = node.edges(now);
    let sides = edges
        .iter()
        .flat_map(|edge| edge.sides.iter().map(move |side| (edge, side)));
    sides
        .map(|(edge, side)| EdgeStatus {
            service: edge.service.to_string(),
            side: side.side.to_string(),
            given: side.counts.assigned,
            spilled: side.counts.spilled,
            retries: side.counts.retries,
            servers_in_use: side.servers_in_use,
            servers_left_out: side.servers_ejected,
            admission_level: side.level.0,
        })
        .collect()
}

fn listing_name(listing: Listing) -> &'static str {
    match listing {
        Listing::Never => "never",
        Listing::Listed => "live",
        Listing::Leaving => "leaving",
        Listing::Dropped => "dropped",
    }
}

fn digest(version: TableVersion) -> String {
    format!("{:016x}", version.digest)
}
