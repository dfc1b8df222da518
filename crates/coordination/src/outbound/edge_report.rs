//! Report for operators on the calls from one node to one service.

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::{ServiceName, Side};

/// Counts of attempts for one side of a service since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SideCounts {
    /// First attempts that the table's weights assigned to the side.
    pub assigned: u64,
    /// First attempts assigned to the side that were sent to the other side.
    pub spilled: u64,
    /// Further attempts of calls that the weights assigned to the side.
    pub retries: u64,
}

/// State of one side of a service as observed by the calling node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SideReport {
    /// The side that the report describes.
    pub side: Side,
    /// Counts of attempts since the node started.
    pub counts: SideCounts,
    /// Number of the side's servers in normal use.
    pub servers_in_use: usize,
    /// Number of the side's servers that are ejected or half-open because they
    /// failed.
    pub servers_ejected: usize,
    /// Mean of the lowest priorities that the side's servers admit.
    pub level: AdmissionLevel,
}

/// Report on the calls from one node to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeReport {
    /// The service called.
    pub service: ServiceName,
    /// The sides of the service, the old one first.
    pub sides: Vec<SideReport>,
}
