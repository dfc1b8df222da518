//! Numbers of things in the simulated world.

use lifthollow_coordination::inbound::InboundId;

/// Place of a machine in the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineIndex(pub usize);

/// Place of a fault in the scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FaultIndex(pub usize);

/// One whole request of one user.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// One attempt on the network between two nodes; unique in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WireId(pub u64);

impl WireId {
    /// The attempt's number at its server's node.
    pub fn inbound(self) -> InboundId {
        InboundId(self.0)
    }

    /// The attempt of a number at its server's node.
    pub fn from_inbound(id: InboundId) -> Self {
        WireId(id.0)
    }
}
