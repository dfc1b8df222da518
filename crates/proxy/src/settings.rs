//! Settings of a traffic process, read at its start.

use std::net::SocketAddrV4;
use std::time::Duration;

use lifthollow_coordination::mesh::retry_budget::FleetRetryBound;
use lifthollow_coordination::mesh::snapshot_store::EntryTimes;
use lifthollow_coordination::mesh::tenants::authentication::MaxViewAge;
use lifthollow_coordination::mesh::tenants::fleet_quota::QuotaTolerance;

/// Settings of one process.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Name of the node, used in its logs.
    pub node_name: String,
    /// Zone that the node belongs to.
    pub zone: String,
    /// Service of the server beside the node.
    pub service: String,
    /// Address of the server beside the node.
    pub server_address: SocketAddrV4,
    /// Address at which local callers send their requests.
    pub outbound: SocketAddrV4,
    /// Address at which other nodes send attempts. The port is the same on all nodes.
    pub inbound: SocketAddrV4,
    /// Address at which the platform checks whether the node is ready.
    pub readiness: SocketAddrV4,
    /// Address at which metrics are served; if none, they are not served.
    pub metrics: Option<SocketAddrV4>,
    /// Times that hold for servers' entries at the source.
    pub entry_times: EntryTimes,
    /// Bound on the repeated attempts of all nodes together.
    pub retry_bound: FleetRetryBound,
    /// How old the view may be for tenants' keys to be accepted; if none, at any age.
    pub max_view_age_for_keys: Option<MaxViewAge>,
    /// How far all nodes together may exceed a tenant's rate limit.
    pub quota_tolerance: QuotaTolerance,
    /// Maximum duration of a planned stop.
    pub stop_grace: Duration,
}
