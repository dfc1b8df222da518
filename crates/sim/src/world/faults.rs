//! Disturbances: what each kind changes when it begins and ends.

use lifthollow_state::{ServiceName, Side, TableRow, Timestamp};

use super::backend::ColdStart;
use super::clients::ClientBehaviour;
use super::event::WorldEvent;
use super::ids::{FaultIndex, MachineIndex};
use super::network::LinkFault;
use super::platform::{ConfigServiceState, set_cell};
use super::{ProcessState, World};
use crate::mesh::KindIndex;
use crate::scenario::{FaultKind, TableColumn, Target};

/// Weights that a migration starts from add up to this.
const WHOLE_WEIGHT: u32 = 100;

impl World {
    /// The machines that a target selects.
    pub(super) fn targeted(&self, target: &Target) -> Vec<MachineIndex> {
        let machines = self.machines.iter().enumerate();
        machines
            .filter(|(_, machine)| machine.spec.matches(target))
            .map(|(index, _)| MachineIndex(index))
            .collect()
    }

    fn targeted_mask(&self, target: &Target) -> Vec<bool> {
        let machines = self.machines.iter();
        machines
            .map(|machine| machine.spec.matches(target))
            .collect()
    }

    fn fault_kind(&self, fault: FaultIndex) -> FaultKind {
        self.scenario.faults[fault.0].kind.clone()
    }

    pub(super) fn fault_begins(&mut self, fault: FaultIndex) {
        let now = self.now();
        match self.fault_kind(fault) {
            FaultKind::Slow { .. } | FaultKind::Errors { .. } | FaultKind::Silent { .. } => {
                self.refresh_back_end_faults();
            }
            FaultKind::Surge { .. } => self.refresh_surges(),
            FaultKind::HardRetry { .. } => self.refresh_behaviour(),
            FaultKind::Cold {
                target,
                factor,
                warm_up,
            } => {
                let cold = ColdStart {
                    since: now,
                    factor,
                    warm_up,
                };
                self.cool(&target, cold);
            }
            FaultKind::Gone { target } => self.each(&target, |world, machine| {
                world.vanish(machine);
            }),
            FaultKind::Kill { target } => self.each(&target, |world, machine| {
                world.stop_process(machine, ProcessState::Stopped);
            }),
            FaultKind::Health { target, healthy } => self.each(&target, |world, machine| {
                world.machine_mut(machine).claimed_health = Some(healthy);
            }),
            FaultKind::Pause { target } => self.each(&target, World::pause),
            FaultKind::Loss { from, to, rate } => self.cut(fault, &from, &to, rate, false),
            FaultKind::Cut { from, to, one_way } => self.cut(fault, &from, &to, 1.0, one_way),
            FaultKind::ConfigDown => self.platform.set_state(fault, ConfigServiceState::Down),
            FaultKind::ConfigStale => self.platform.set_state(fault, ConfigServiceState::Stale),
            FaultKind::ConfigFlap { period } => {
                let since = now;
                let state = ConfigServiceState::Flapping { since, period };
                self.platform.set_state(fault, state);
            }
            FaultKind::Cell {
                target,
                column,
                value,
            } => self.set_cells(&target, column, value),
            FaultKind::Migrate { .. } | FaultKind::RollingStop { .. } => {
                self.fault_step(fault, 0);
            }
        }
    }

    pub(super) fn fault_ends(&mut self, fault: FaultIndex) {
        match self.fault_kind(fault) {
            FaultKind::Slow { .. } | FaultKind::Errors { .. } | FaultKind::Silent { .. } => {
                self.refresh_back_end_faults();
            }
            FaultKind::Surge { .. } => self.refresh_surges(),
            FaultKind::HardRetry { .. } => self.refresh_behaviour(),
            FaultKind::Gone { target } | FaultKind::Kill { target } => {
                self.each(&target, World::return_unless_out);
            }
            FaultKind::Health { target, .. } => self.each(&target, |world, machine| {
                world.machine_mut(machine).claimed_health = None;
            }),
            FaultKind::Pause { target } => self.each(&target, World::resume_unless_paused),
            FaultKind::Loss { .. } | FaultKind::Cut { .. } => self.network.remove_fault(fault),
            FaultKind::ConfigDown | FaultKind::ConfigStale | FaultKind::ConfigFlap { .. } => {
                self.platform.clear_state(fault);
            }
            FaultKind::Cell { target, column, .. } => self.undo_cells(&target, column),
            FaultKind::Cold { .. } | FaultKind::Migrate { .. } | FaultKind::RollingStop { .. } => {}
        }
    }

    pub(super) fn fault_step(&mut self, fault: FaultIndex, step: u32) {
        let time = self.now().saturating_since(Timestamp::ZERO);
        match self.fault_kind(fault) {
            FaultKind::Migrate { service, to, steps } => {
                let name = service.map(|index| self.mesh.service(index).name.clone());
                self.migrate_step(fault, name, to, step, steps);
            }
            FaultKind::RollingStop {
                target,
                interval,
                told,
                ..
            } => {
                let ended = !self.scenario.faults[fault.0].active_at(time);
                let machines = self.targeted(&target);
                let Some(machine) = machines.get(step as usize).copied().filter(|_| !ended) else {
                    return;
                };
                self.begin_planned_stop(machine, fault, told);
                let next = WorldEvent::FaultStep {
                    fault,
                    step: step + 1,
                };
                self.schedule(next, interval);
            }
            _ => {}
        }
    }

    fn each(&mut self, target: &Target, act: impl Fn(&mut World, MachineIndex)) {
        for machine in self.targeted(target) {
            act(self, machine);
        }
    }

    /// The faults in force now.
    fn active_faults(&self) -> Vec<FaultKind> {
        let time = self.now().saturating_since(Timestamp::ZERO);
        let faults = self.scenario.faults.iter();
        let active = faults.filter(|fault| fault.active_at(time));
        active.map(|fault| fault.kind.clone()).collect()
    }

    /// A machine comes back when the last fault that took it away has ended.
    fn return_unless_out(&mut self, index: MachineIndex) {
        let spec = &self.machine(index).spec;
        let out = self.active_faults().iter().any(|kind| match kind {
            FaultKind::Gone { target } | FaultKind::Kill { target } => spec.matches(target),
            _ => false,
        });
        if !out {
            self.machine_returns(index);
        }
    }

    fn resume_unless_paused(&mut self, index: MachineIndex) {
        let spec = &self.machine(index).spec;
        let paused = self.active_faults().iter().any(|kind| match kind {
            FaultKind::Pause { target } => spec.matches(target),
            _ => false,
        });
        if !paused {
            self.resume(index);
        }
    }

    /// Clients behave as the last fault about them says, or as on other days.
    fn refresh_behaviour(&mut self) {
        let active = self.active_faults();
        let mut behaviours = active.iter().filter_map(|kind| match kind {
            FaultKind::HardRetry {
                repeats,
                timeout_factor,
            } => Some(ClientBehaviour {
                attempts: repeats + 1,
                timeout_factor: *timeout_factor,
                regards_retry_after: false,
            }),
            _ => None,
        });
        self.clients.behaviour = behaviours.next_back().unwrap_or(ClientBehaviour::ORDINARY);
    }

    /// Recomputes what disturbs each back end from the faults in force.
    fn refresh_back_end_faults(&mut self) {
        let active = self.active_faults();
        for index in 0..self.machines.len() {
            self.refresh_back_end(MachineIndex(index), &active);
        }
    }

    fn refresh_back_end(&mut self, index: MachineIndex, active: &[FaultKind]) {
        let machine = &mut self.machines[index.0];
        let Some(back_end) = machine.back_end.as_mut() else {
            return;
        };
        let was_silent = back_end.faults.silent > 0;
        back_end.faults = Default::default();
        for kind in active {
            match kind {
                FaultKind::Slow { target, factor } if machine.spec.matches(target) => {
                    back_end.faults.slow.push(*factor);
                }
                FaultKind::Errors { target, rate } if machine.spec.matches(target) => {
                    back_end.faults.errors.push(*rate);
                }
                FaultKind::Silent { target } if machine.spec.matches(target) => {
                    back_end.faults.silent += 1;
                }
                _ => {}
            }
        }
        if was_silent && back_end.faults.silent == 0 {
            self.resume_stuck_runs(index);
        }
    }

    fn refresh_surges(&mut self) {
        let time = self.now().saturating_since(Timestamp::ZERO);
        for (index, surges) in self.clients.surges.iter_mut().enumerate() {
            let kind = KindIndex(index);
            surges.clear();
            surges.extend(self.scenario.surge_factors(kind, time));
        }
    }

    fn cool(&mut self, target: &Target, cold: ColdStart) {
        for machine in self.targeted(target) {
            if let Some(back_end) = self.machine_mut(machine).back_end.as_mut() {
                back_end.cold = Some(cold);
            }
        }
    }

    fn cut(&mut self, fault: FaultIndex, from: &Target, to: &Target, rate: f64, one_way: bool) {
        let link = LinkFault {
            fault,
            from: self.targeted_mask(from),
            to: self.targeted_mask(to),
            rate,
            one_way,
        };
        self.network.add_fault(link);
    }

    fn set_cells(&mut self, target: &Target, column: TableColumn, value: u32) {
        let service = target
            .service
            .map(|index| self.mesh.service(index).name.clone());
        let side = target.side;
        self.platform.publish(|row| {
            if row_matches(row, service.as_ref(), side) {
                set_cell(row, column, value);
            }
        });
    }

    /// The operator writes back what the first table had.
    fn undo_cells(&mut self, target: &Target, column: TableColumn) {
        let service = target
            .service
            .map(|index| self.mesh.service(index).name.clone());
        let side = target.side;
        let first = self.platform.first_table();
        self.platform.publish(|row| {
            let Some(old) = first.row(&row.service, row.side) else {
                return;
            };
            if row_matches(row, service.as_ref(), side) {
                match column {
                    TableColumn::Weight => row.weight = old.weight,
                    TableColumn::MaxInFlight => row.max_in_flight = old.max_in_flight,
                    TableColumn::MaxQueue => row.max_queue = old.max_queue,
                }
            }
        });
    }

    fn migrate_step(
        &mut self,
        fault: FaultIndex,
        service: Option<ServiceName>,
        to: Side,
        step: u32,
        steps: u32,
    ) {
        let moved = WHOLE_WEIGHT * (step + 1) / steps;
        self.platform.publish(|row| {
            if row_matches(row, service.as_ref(), None) {
                let there = row.side == to;
                row.weight = if there { moved } else { WHOLE_WEIGHT - moved };
            }
        });
        if step + 1 < steps {
            let lasts = self.scenario.faults[fault.0].lasts.unwrap_or_default();
            let next = WorldEvent::FaultStep {
                fault,
                step: step + 1,
            };
            self.schedule(next, lasts / steps);
        }
    }
}

fn row_matches(row: &TableRow, service: Option<&ServiceName>, side: Option<Side>) -> bool {
    service.is_none_or(|name| row.service == *name) && side.is_none_or(|side| row.side == side)
}
