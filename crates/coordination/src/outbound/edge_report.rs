//! What operators are told of the calls from one node to one service.

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::{ServiceName, Side};

/// Counts of one side since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SideCounts {
    /// First attempts that the weights gave to the side.
    pub given: u64,
    /// Those of them that the other side had to carry.
    pub spilled: u64,
    /// Further attempts of such calls.
    pub retries: u64,
}

/// One side of a service, as its callers' node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SideReport {
    /// The side.
    pub side: Side,
    /// Counts since the node started.
    pub counts: SideCounts,
    /// Servers in normal use.
    pub servers_in_use: usize,
    /// Servers left out or on trial because they fail.
    pub servers_left_out: usize,
    /// Lowest priority that the side's servers admit.
    pub level: AdmissionLevel,
}

/// Calls from one node to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeReport {
    /// The service.
    pub service: ServiceName,
    /// Its sides, the old one first.
    pub sides: Vec<SideReport>,
}
