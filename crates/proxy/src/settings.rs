//! What a traffic process is told at its start.

use std::net::SocketAddrV4;
use std::time::Duration;

use lifthollow_coordination::mesh::retry_budget::FleetRetryBound;
use lifthollow_coordination::mesh::tenants::authentication::OldestView;
use lifthollow_coordination::mesh::tenants::fleet_quota::QuotaTolerance;

/// Settings of one process.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Name of the node, for logs.
    pub node_name: String,
    /// The zone it stands in.
    pub zone: String,
    /// The service of the server beside it.
    pub service: String,
    /// Address of the server beside it.
    pub server_address: SocketAddrV4,
    /// Where local callers send their requests.
    pub outbound: SocketAddrV4,
    /// Where other nodes send attempts. Its port is the same at all nodes.
    pub inbound: SocketAddrV4,
    /// Where the platform asks whether the node is ready.
    pub readiness: SocketAddrV4,
    /// Where metrics are served; nowhere if not given.
    pub metrics: Option<SocketAddrV4>,
    /// How long a server's entry at the source lasts that the server does not renew.
    pub entry_lifetime: Duration,
    /// Repeats that all nodes together may send.
    pub retry_bound: FleetRetryBound,
    /// How old the view may be by which keys are taken; none if any will do.
    pub oldest_view_for_keys: Option<OldestView>,
    /// How exactly tenants' limits are to be kept.
    pub quota_tolerance: QuotaTolerance,
    /// How long a planned stop may take.
    pub stop_grace: Duration,
}
