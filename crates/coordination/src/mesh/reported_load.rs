//! The load that a server's node reports to the nodes of callers.

use lifthollow_protocol::AdmissionLevel;

use crate::mesh::admission_queue::Occupancy;

/// The load of a server, as its node reports it with an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Numbers of running and waiting requests at the server's node, and their limit.
    pub occupancy: Occupancy,
    /// The lowest level that the server and the downstream services it needs admit.
    pub level: AdmissionLevel,
    /// Whether `level` applies to nested calls; otherwise it applies to callers' requests.
    pub is_nested: bool,
    /// The share of requests from the receiving node's zone that the server fails, from 0 to 1.
    pub failure_share: f64,
}
