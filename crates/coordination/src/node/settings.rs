//! Settings of a node, and the policies and fleet settings derived from them.

use lifthollow_state::{Incarnation, NodeId, ServiceName, Side, Zone};

use crate::baseline::{FixedInbound, FixedOutbound};
use crate::fleet::FleetSettings;
use crate::inbound::{AdmissionControl, InboundPolicy};
use crate::outbound::{OutboundPolicy, Routing};
use crate::policy::PolicyKind;

/// Identity, place and policy of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The node's identity: the address that other nodes reach it at.
    pub node: NodeId,
    /// Incarnation of the node's process, larger than that of any process that ran at
    /// the address before. The daemon uses the wall-clock time in microseconds.
    pub incarnation: Incarnation,
    /// The node's data centre.
    pub side: Side,
    /// The node's failure domain.
    pub zone: Zone,
    /// The services whose back ends are local to the node.
    pub services: Vec<ServiceName>,
    /// Nodes to contact first when the platform's list of machines is not available.
    pub seeds: Vec<NodeId>,
    /// The set of policies that the node runs.
    pub policy: PolicyKind,
    /// Seed of every random choice the node makes.
    pub seed: u64,
}

impl NodeSettings {
    /// The settings of the node's [`crate::fleet::Fleet`].
    pub(super) fn fleet_settings(&self) -> FleetSettings {
        FleetSettings {
            node: self.node,
            incarnation: self.incarnation,
            side: self.side,
            zone: self.zone,
            services: self.services.clone(),
            seeds: self.seeds.clone(),
            seed: self.seed,
        }
    }

    /// Creates the outbound and inbound policies that these settings name.
    pub(super) fn create_policies(&self) -> (Box<dyn OutboundPolicy>, Box<dyn InboundPolicy>) {
        let side = self.side;
        match self.policy {
            PolicyKind::Passthrough => (
                Box::new(FixedOutbound::passthrough()),
                Box::new(FixedInbound::passthrough(side)),
            ),
            PolicyKind::StaticLimits => (
                Box::new(FixedOutbound::static_limits()),
                Box::new(FixedInbound::static_limits(side)),
            ),
            PolicyKind::Lifthollow => (
                Box::new(Routing::new(self.zone, self.seed)),
                Box::new(AdmissionControl::new(side, self.seed)),
            ),
        }
    }
}
