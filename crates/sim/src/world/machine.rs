//! A machine: the lifthollow process on it and the back end beside that.

use std::time::Duration;

use lifthollow_coordination::claims::ClaimSettings;
use lifthollow_coordination::{Node, NodeSettings, PolicyKind};
use lifthollow_protocol::Roster;
use lifthollow_state::{Incarnation, NodeId, ServiceName, Side, Timestamp, Zone};

use super::backend::BackEnd;
use super::event::WorldEvent;
use crate::mesh::{Mesh, ServiceIndex};
use crate::scenario::Target;

/// The first process on a machine.
pub const FIRST_INCARNATION: u64 = 1;

/// Whether a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It handles events.
    Running,
    /// It will handle what came meanwhile when it wakes.
    Paused,
    /// It has ended; its machine resets connections.
    Stopped,
    /// Its machine has vanished; packets to it are lost.
    Vanished,
}

/// What the settings of a process say besides the machine's own place.
#[derive(Clone, Copy)]
pub struct ProcessSettings<'a> {
    /// The mesh.
    pub mesh: &'a Mesh,
    /// The policy.
    pub policy: PolicyKind,
    /// Counts the processes on the machine, from 1.
    pub incarnation: u64,
    /// Nodes to ask first.
    pub seeds: &'a [NodeId],
    /// Replicas of idempotency keys.
    pub roster: &'a Roster,
    /// Seed of the process's random choices.
    pub seed: u64,
}

/// What does not change while a machine exists.
#[derive(Clone, Debug)]
pub struct MachineSpec {
    /// The node's address.
    pub node: NodeId,
    /// The service whose back end it runs; none for entry nodes.
    pub service: Option<ServiceIndex>,
    /// The service's name.
    pub service_name: Option<ServiceName>,
    /// Its data centre.
    pub side: Side,
    /// Its failure domain inside the side.
    pub zone: u16,
    /// Its number among the servers of its service and side.
    pub server: u16,
}

/// One machine.
pub struct Machine {
    /// What does not change.
    pub spec: MachineSpec,
    /// The decisions of the process.
    pub node: Node,
    /// Whether the process runs.
    pub state: ProcessState,
    /// Counts the processes started on the machine.
    pub incarnation: u64,
    /// What the process's clock shows at the simulation's start.
    pub clock_offset: Duration,
    /// When the process is to be woken, on the simulation's clock.
    pub wake_at: Option<Timestamp>,
    /// Events that came while the process was paused.
    pub held: Vec<WorldEvent>,
    /// The back end; none on entry nodes.
    pub back_end: Option<BackEnd>,
    /// When the process was told to leave.
    pub leaving_since: Option<Timestamp>,
    /// What the health endpoint claims, if it does not say the truth.
    pub claimed_health: Option<bool>,
}

impl MachineSpec {
    /// The zone's number in the whole mesh.
    pub fn global_zone(&self, zones_per_side: u16) -> Zone {
        Zone(self.side as u16 * zones_per_side + self.zone)
    }

    /// Whether a target selects this machine.
    pub fn matches(&self, target: &Target) -> bool {
        let service_fits = target
            .service
            .is_none_or(|service| self.service == Some(service));
        let side_fits = target.side.is_none_or(|side| self.side == side);
        let zone_fits = target.zone.is_none_or(|zone| self.zone == zone);
        let server_fits = target.server.is_none_or(|server| self.server == server);
        let entry_fits = !target.entry || self.service.is_none();
        service_fits && side_fits && zone_fits && server_fits && entry_fits
    }

    /// Settings of a process on the machine, the given as the incarnation.
    pub fn settings(&self, process: ProcessSettings<'_>) -> NodeSettings {
        let zones_per_side = process.mesh.zones_per_side;
        NodeSettings {
            node: self.node,
            incarnation: Incarnation(process.incarnation),
            seeds: process.seeds.to_vec(),
            side: self.side,
            zone: self.global_zone(zones_per_side),
            services: self.service_name.iter().cloned().collect(),
            policy: process.policy,
            seed: process.seed,
        }
    }
}

impl ProcessSettings<'_> {
    /// Lets a node of the product claim idempotency keys. The fleet is taken to
    /// be older than a claim when the simulation starts.
    pub fn claim_keys(&self, spec: &MachineSpec, node: Node) -> Node {
        if self.policy != PolicyKind::Lifthollow {
            return node;
        }
        let incarnation = Incarnation(self.incarnation);
        let settings = ClaimSettings::new(spec.node, incarnation, self.roster.clone(), self.seed);
        node.with_claims(ClaimSettings {
            bootstrap: self.incarnation == FIRST_INCARNATION,
            ..settings
        })
    }
}

impl Machine {
    /// The process's own clock at a time of the simulation.
    pub fn local(&self, now: Timestamp) -> Timestamp {
        now + self.clock_offset
    }

    /// The simulation's time at a time of the process's own clock.
    pub fn global(&self, local: Timestamp) -> Timestamp {
        local.saturating_sub(self.clock_offset)
    }

    /// Whether the process handles events, now or when it wakes.
    pub fn is_up(&self) -> bool {
        matches!(self.state, ProcessState::Running | ProcessState::Paused)
    }
}
