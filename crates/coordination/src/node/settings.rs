//! What a node knows of itself, and the decisions that follow from it.

use lifthollow_state::{Incarnation, NodeId, ServiceName, Side, Zone};

use crate::baseline::{FixedInbound, FixedOutbound};
use crate::fleet::FleetSettings;
use crate::inbound::{AdmissionControl, InboundPolicy};
use crate::outbound::{OutboundPolicy, Routing};
use crate::policy::PolicyKind;

/// What a node knows of itself from its settings.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The address other nodes reach it at.
    pub node: NodeId,
    /// This life of the node: larger than that of any process that ran at the
    /// address before. The daemon takes microseconds of wall-clock time.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub side: Side,
    /// Its failure domain.
    pub zone: Zone,
    /// The services whose back ends stand beside it.
    pub services: Vec<ServiceName>,
    /// Nodes to ask first when the platform's list is not at hand.
    pub seeds: Vec<NodeId>,
    /// The decisions it runs.
    pub policy: PolicyKind,
    /// Seed of every random choice the node makes.
    pub seed: u64,
}

impl NodeSettings {
    /// What the fleet part needs of them.
    pub(super) fn for_fleet(&self) -> FleetSettings {
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

    /// The decisions of the policy they name.
    pub(super) fn decisions(&self) -> (Box<dyn OutboundPolicy>, Box<dyn InboundPolicy>) {
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
