//! What the fleet part is told and what it wants done.

use std::sync::Arc;

use lifthollow_protocol::ControlMessage;
use lifthollow_state::{Incarnation, NodeId, ServiceName, Side, Table, Zone};

use super::report::FleetReport;

/// What the fleet part knows of its own node.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The address other nodes reach it at.
    pub node: NodeId,
    /// This life of the node: larger than that of any process that ran at the
    /// address before.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub side: Side,
    /// Its failure domain.
    pub zone: Zone,
    /// The services whose back ends stand beside it.
    pub services: Vec<ServiceName>,
    /// Nodes to ask first when the platform's list is not at hand.
    pub seeds: Vec<NodeId>,
    /// Seed of every random choice.
    pub seed: u64,
}

/// A machine as the platform's list shows it; the list lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// The node on it.
    pub node: NodeId,
    /// The service whose back end it runs.
    pub service: ServiceName,
    /// Its data centre.
    pub side: Side,
    /// Its failure domain.
    pub zone: Zone,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

/// The platform's service could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchFailed;

/// What the fleet part is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// The answer to [`FleetEffect::FetchTable`].
    TableFetched(Result<Arc<Table>, FetchFailed>),
    /// The answer to [`FleetEffect::FetchMachines`].
    MachinesFetched(Result<Vec<Machine>, FetchFailed>),
    /// A datagram came in.
    Message {
        /// The node it came from.
        from: NodeId,
        /// What it says.
        message: ControlMessage,
    },
    /// A planned stop of this node has begun.
    Leave,
    /// The time asked for with `next_wake` has come.
    Wake,
}

/// What the fleet part wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEffect {
    /// Read the table from the platform's configuration service.
    FetchTable,
    /// Read the platform's list of machines.
    FetchMachines,
    /// Send a datagram. It may be lost.
    Send {
        /// Where it goes.
        to: NodeId,
        /// What it says.
        message: ControlMessage,
    },
    /// Something operators should see in the log.
    Report(FleetReport),
}
