//! What a server's node tells of its load.

use lifthollow_protocol::AdmissionLevel;

use crate::mesh::admission_queue::Occupancy;

/// What a server's node tells of its load with an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Requests there.
    pub occupancy: Occupancy,
    /// The lowest level that gets through there and further down.
    pub level: AdmissionLevel,
    /// Whether the level is that of nested calls.
    pub is_nested: bool,
    /// The share of requests from the asking node's zone that the server fails.
    pub failure_share: f64,
}
