//! Inputs and outputs of the fleet state machine.

use std::sync::Arc;

use lifthollow_protocol::ControlMessage;
use lifthollow_state::{Incarnation, NodeId, ServiceName, Side, Table, Zone};

use super::report::FleetReport;

/// Settings of the fleet state machine, which describe its own node.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The address at which other nodes reach this node.
    pub node: NodeId,
    /// Incarnation of this process: larger than that of any process that ran at the
    /// address before.
    pub incarnation: Incarnation,
    /// The data centre of this node.
    pub side: Side,
    /// The failure domain of this node.
    pub zone: Zone,
    /// The services whose back ends are local to this node.
    pub services: Vec<ServiceName>,
    /// Nodes to ask first when the platform's list is not available.
    pub seeds: Vec<NodeId>,
    /// Seed of the random generators of the fleet state machine.
    pub seed: u64,
}

/// A machine as the platform's list shows it. The list may lag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// The node that runs on the machine.
    pub node: NodeId,
    /// The service whose back end the machine runs.
    pub service: ServiceName,
    /// The data centre of the machine.
    pub side: Side,
    /// The failure domain of the machine.
    pub zone: Zone,
    /// Whether the platform lists the machine as leaving.
    pub leaving: bool,
}

/// Error: the platform's service could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchFailed;

/// Events that the fleet state machine handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// The answer to [`FleetEffect::FetchTable`].
    TableFetched(Result<Arc<Table>, FetchFailed>),
    /// The answer to [`FleetEffect::FetchMachines`].
    MachinesFetched(Result<Vec<Machine>, FetchFailed>),
    /// A datagram was received.
    Message {
        /// The node that sent the datagram.
        from: NodeId,
        /// The message in the datagram.
        message: ControlMessage,
    },
    /// A planned stop of this node has begun.
    Leave,
    /// The time returned by `next_wake` has come.
    Wake,
}

/// Actions that the caller must carry out for the fleet state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEffect {
    /// Read the table from the platform's configuration service.
    FetchTable,
    /// Read the platform's list of machines.
    FetchMachines,
    /// Send a datagram. It may be lost.
    Send {
        /// The node that receives the datagram.
        to: NodeId,
        /// The message in the datagram.
        message: ControlMessage,
    },
    /// Write a report for operators to the log.
    Report(FleetReport),
}
