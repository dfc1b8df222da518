//! Feeding nodes their events and carrying out their effects.

use std::sync::Arc;
use std::time::Duration;

use lifthollow_coordination::fleet::{
    FetchFailed, FleetEffect, FleetEvent, Machine as ListedMachine,
};
use lifthollow_coordination::inbound::InboundEvent;
use lifthollow_coordination::{NodeEffect, NodeEvent};
use lifthollow_protocol::ControlMessage;
use lifthollow_state::{NodeId, Table};

use super::event::WorldEvent;
use super::ids::MachineIndex;
use super::{ProcessState, TransportDefect, World};
use crate::observe::Observation;

/// Round trip to the platform's services, their own time included.
const PLATFORM_ROUND_TRIP: Duration = Duration::from_millis(3);
/// How often a node reads its back end's health endpoint.
const HEALTH_INTERVAL: Duration = Duration::from_secs(1);

impl World {
    /// Hands one event to the node of a machine and carries out what it wants.
    pub(super) fn feed_node(&mut self, index: MachineIndex, event: NodeEvent) {
        let now = self.now();
        let mut effects = std::mem::take(&mut self.spare_effects);
        let machine = self.machine_mut(index);
        if machine.state != ProcessState::Running {
            self.spare_effects = effects;
            return;
        }
        let local = machine.local(now);
        let version_before = machine.node.view().table.version();
        machine.node.handle(local, event, &mut effects);
        let version = machine.node.view().table.version();
        if version != version_before {
            self.observe(Observation::TableInForce {
                machine: index,
                version,
            });
        }
        for effect in effects.drain(..) {
            self.apply(index, effect);
        }
        self.spare_effects = effects;
        self.arrange_wake(index);
    }

    fn apply(&mut self, index: MachineIndex, effect: NodeEffect) {
        match effect {
            NodeEffect::Outbound(effect) => self.apply_outbound(index, effect),
            NodeEffect::Inbound(effect) => self.apply_inbound(index, effect),
            NodeEffect::Fleet(effect) => self.apply_fleet(index, effect),
        }
    }

    fn arrange_wake(&mut self, index: MachineIndex) {
        let now = self.now();
        let machine = self.machine_mut(index);
        let next = machine.global(machine.node.next_wake(machine.local(now)));
        let next = next.max(now);
        if machine.wake_at.is_some_and(|planned| planned <= next) {
            return;
        }
        machine.wake_at = Some(next);
        let incarnation = machine.incarnation;
        let machine = index;
        self.schedule_at(
            WorldEvent::Wake {
                machine,
                incarnation,
            },
            next,
        );
    }

    pub(super) fn wake(&mut self, index: MachineIndex, incarnation: u64) {
        let now = self.now();
        let machine = self.machine_mut(index);
        let due = machine.wake_at.is_some_and(|planned| planned <= now);
        if machine.incarnation != incarnation || !due {
            return;
        }
        machine.wake_at = None;
        self.feed_node(index, NodeEvent::Wake);
    }

    fn apply_fleet(&mut self, index: MachineIndex, effect: FleetEffect) {
        let now = self.now();
        let machine = index;
        let event = match effect {
            FleetEffect::Send { to, message } => return self.send_control(index, to, message),
            FleetEffect::Report(_) => return,
            FleetEffect::FetchTable => {
                let result = self.platform.fetch_table(now);
                WorldEvent::TableFetched { machine, result }
            }
            FleetEffect::FetchMachines => {
                let result = self.platform.fetch_machines(now);
                WorldEvent::MachinesFetched { machine, result }
            }
        };
        let delay = self.service_times.around(PLATFORM_ROUND_TRIP);
        self.schedule(event, delay);
    }

    /// Tells the observers which running nodes are behind others that they can
    /// exchange packets with.
    pub(super) fn sample_tables(&mut self) {
        for index in 0..self.machines.len() {
            let machine = MachineIndex(index);
            if self.machine(machine).state != ProcessState::Running {
                continue;
            }
            let behind = self.is_behind(machine);
            self.observe(Observation::TableSample { machine, behind });
        }
    }

    fn is_behind(&self, index: MachineIndex) -> bool {
        let version = self.machine(index).node.view().table.version();
        let others = self.machines.iter().enumerate();
        others
            .filter(|(_, other)| other.state == ProcessState::Running)
            .filter(|(_, other)| other.node.view().table.version() > version)
            .any(|(other, _)| self.network.is_connected(index, MachineIndex(other)))
    }

    /// Sends a datagram, which may be lost.
    fn send_control(&mut self, index: MachineIndex, to: NodeId, message: ControlMessage) {
        let Some(machine) = self.by_address.get(&to).copied() else {
            return;
        };
        if self.settings.defect == Some(TransportDefect::DropsDatagrams) {
            return;
        }
        if let Some(delay) = self.network.datagram_delay(index, machine) {
            let event = WorldEvent::ControlArrives {
                machine,
                from: self.machine(index).spec.node,
                message: Box::new(message),
            };
            self.schedule(event, delay);
        }
    }

    pub(super) fn control_arrives(
        &mut self,
        machine: MachineIndex,
        from: NodeId,
        message: ControlMessage,
    ) {
        let event = FleetEvent::Message { from, message };
        self.feed_node(machine, NodeEvent::Fleet(event));
    }

    pub(super) fn table_fetched(
        &mut self,
        machine: MachineIndex,
        result: Result<Arc<Table>, FetchFailed>,
    ) {
        let event = FleetEvent::TableFetched(result);
        self.feed_node(machine, NodeEvent::Fleet(event));
    }

    pub(super) fn machines_fetched(
        &mut self,
        machine: MachineIndex,
        result: Result<Vec<ListedMachine>, FetchFailed>,
    ) {
        let event = FleetEvent::MachinesFetched(result);
        self.feed_node(machine, NodeEvent::Fleet(event));
    }

    pub(super) fn health_check(&mut self, index: MachineIndex) {
        let machine = self.machine(index);
        let silent = machine
            .back_end
            .as_ref()
            .is_some_and(|back_end| back_end.faults.silent > 0);
        let healthy = machine.claimed_health.unwrap_or(!silent);
        if let Some(service) = machine.spec.service_name.clone() {
            let event = InboundEvent::HealthReported { service, healthy };
            self.feed_node(index, NodeEvent::Inbound(event));
        }
        self.schedule(WorldEvent::HealthCheck { machine: index }, HEALTH_INTERVAL);
    }
}
