//! What a run prints.

use serde::Serialize;

/// The figures of one run. "p99" of what a node spends is taken over all
/// seconds of all nodes after the warm-up; bytes include IPv4 and UDP headers
/// and count what is sent and what is received.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleResult {
    /// How many nodes.
    pub nodes: u32,
    /// How many regions.
    pub regions: u32,
    /// How many zones.
    pub zones: u32,
    /// How many services.
    pub services: u32,
    /// Seed of every random choice.
    pub seed: u64,
    /// The faults.
    pub fault: String,
    /// Simulated time.
    pub seconds: u32,
    /// Longest time from a version's first acceptance to its being in force on a
    /// node that runs and can be reached.
    pub config_convergence_seconds_max: f64,
    /// The part of it that is due to nodes that start with nothing.
    pub config_fresh_start_seconds_max: f64,
    /// How often a node went to an older version.
    pub config_reversions: u64,
    /// Bytes a second.
    pub control_bytes_per_second_p99: u64,
    /// Bytes a second.
    pub control_bytes_per_second_mean: f64,
    /// Bytes in the busiest second of any node.
    pub control_bytes_per_second_max: u64,
    /// Datagrams a second.
    pub control_messages_per_second_p99: u64,
    /// Share of a core, from the processor time of the code that ran.
    pub control_cpu_core_fraction_p99: f64,
    /// Share of a core.
    pub control_cpu_core_fraction_mean: f64,
    /// Bytes of the structures of a node's fleet part.
    pub state_bytes_per_node_p99: usize,
    /// Time until others stopped choosing a server that had failed.
    pub failure_detection_seconds_p99: f64,
    /// Members that were removed while they ran, counted at each node.
    pub false_removals: u64,
    /// Lives of members that were suspected while they ran and were not paused.
    pub false_suspicions: usize,
    /// Time until the last node that can reach a leaving server stopped choosing it.
    pub leaving_last_new_work_seconds_max: f64,
    /// Time from the start of the whole fleet with nothing until all had a table.
    pub start_seconds: Option<f64>,
    /// Hash of every datagram that was delivered, with its time.
    pub trace_hash: String,
}
