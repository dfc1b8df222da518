//! Processes that pause, end, vanish, leave as planned and come back.

use std::time::Duration;

use lifthollow_coordination::inbound::InboundEvent;
use lifthollow_coordination::outbound::CallId;
use lifthollow_coordination::{Node, NodeEvent};

use super::backend::{BackEnd, ColdStart, RESTART_COLD_FACTOR, RESTART_WARM_UP};
use super::event::{ClientAnswer, WorldEvent};
use super::ids::{FaultIndex, MachineIndex, WireId};
use super::machine::ProcessSettings;
use super::platform::{Listing, VANISHED_LIST_LAG};
use super::{ProcessState, TransportDefect, World};
use crate::observe::Observation;
use crate::scenario::{FaultKind, LeaveNotice};

/// How often a leaving machine sees whether it has finished.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A leaving machine serves at least this long, while the lists catch up.
const SHORTEST_LEAVE: Duration = Duration::from_millis(3_500);
/// After this long, the platform stops a leaving machine whatever it does.
const LONGEST_LEAVE: Duration = Duration::from_secs(30);

impl World {
    pub(super) fn pause(&mut self, index: MachineIndex) {
        let machine = self.machine_mut(index);
        if machine.state == ProcessState::Running {
            machine.state = ProcessState::Paused;
        }
    }

    /// The process goes on with what came meanwhile.
    pub(super) fn resume(&mut self, index: MachineIndex) {
        let machine = self.machine_mut(index);
        if machine.state != ProcessState::Paused {
            return;
        }
        machine.state = ProcessState::Running;
        for event in std::mem::take(&mut machine.held) {
            self.schedule(event, Duration::ZERO);
        }
    }

    /// The machine is gone; nobody is told.
    pub(super) fn vanish(&mut self, index: MachineIndex) {
        let now = self.now();
        self.stop_process(index, ProcessState::Vanished);
        let unlisted = now + VANISHED_LIST_LAG;
        self.platform.list(index, unlisted, Listing::Absent);
    }

    /// The process and its back end end at once.
    pub(super) fn stop_process(&mut self, index: MachineIndex, state: ProcessState) {
        let machine = self.machine_mut(index);
        if !machine.is_up() {
            return;
        }
        machine.state = state;
        machine.wake_at = None;
        machine.held.clear();
        let told = state == ProcessState::Stopped;
        self.drop_calls_of(index, told);
        self.drop_attempts_at(index, told);
        if let Some(back_end) = self.machine_mut(index).back_end.as_mut() {
            let fresh = BackEnd::new(back_end.slots, back_end.max_connections);
            let faults = std::mem::take(&mut back_end.faults);
            *back_end = BackEnd { faults, ..fresh };
        }
    }

    /// Calls made on the machine end; their callers see the connection break.
    fn drop_calls_of(&mut self, index: MachineIndex, told: bool) {
        let calls: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, record)| record.machine == index)
            .map(|(call, _)| *call)
            .collect();
        for call in calls {
            if let Some(record) = self.calls.get(&call).cloned().filter(|_| told) {
                self.tell_origin(&record, call, ClientAnswer::Broken);
            }
            self.forget_call(call);
        }
    }

    /// Attempts at the machine end; their callers' nodes see the connection break.
    fn drop_attempts_at(&mut self, index: MachineIndex, told: bool) {
        let wires: Vec<WireId> = self
            .attempts
            .iter()
            .filter(|(_, record)| record.server == index)
            .map(|(wire, _)| *wire)
            .collect();
        for wire in wires {
            if let Some(record) = self.attempts.get_mut(&wire) {
                record.run = None;
            }
            if told {
                self.reset_attempt(wire, true);
            }
            self.close_server(wire);
        }
    }

    /// What comes for a process that has ended.
    pub(super) fn deliver_to_dead(&mut self, index: MachineIndex, event: WorldEvent) {
        let resets = self.machine(index).state == ProcessState::Stopped;
        match event {
            WorldEvent::AttemptArrives { wire } => {
                if resets {
                    self.reset_attempt(wire, false);
                }
                self.close_server(wire);
            }
            WorldEvent::CallArrives { call } => {
                if let Some(record) = self.calls.get(&call).cloned().filter(|_| resets) {
                    self.tell_origin(&record, call, ClientAnswer::Broken);
                }
                self.forget_call(call);
            }
            WorldEvent::AttemptCancelled { wire }
            | WorldEvent::RunAnswered { wire, .. }
            | WorldEvent::RunClosed { wire } => self.close_server(wire),
            WorldEvent::AttemptAnswered { wire, .. } | WorldEvent::AttemptClosed { wire, .. } => {
                self.close_caller(wire);
            }
            WorldEvent::HealthCheck { machine } => {
                let event = WorldEvent::HealthCheck { machine };
                self.schedule(event, Duration::from_secs(1));
            }
            _ => {}
        }
    }

    /// A new process with a cold back end starts on the machine.
    pub(super) fn machine_returns(&mut self, index: MachineIndex) {
        let now = self.now();
        if self.machine(index).is_up() {
            return;
        }
        let seed = self.process_seeds.seed();
        self.machine_mut(index).incarnation += 1;
        let node = self.new_node(index, seed);
        let machine = self.machine_mut(index);
        machine.node = node;
        machine.state = ProcessState::Running;
        machine.leaving_since = None;
        machine.wake_at = None;
        if let Some(back_end) = machine.back_end.as_mut() {
            back_end.cold = Some(ColdStart {
                since: now,
                factor: RESTART_COLD_FACTOR,
                warm_up: RESTART_WARM_UP,
            });
        }
        self.platform.list(index, now, Listing::Listed);
        self.observe(Observation::ProcessStarted { machine: index });
        self.feed_node(index, NodeEvent::Wake);
    }

    fn new_node(&self, index: MachineIndex, seed: u64) -> Node {
        let machine = self.machine(index);
        let process = ProcessSettings {
            mesh: &self.mesh,
            policy: self.settings.policy,
            incarnation: machine.incarnation,
            seeds: &self.seeds,
            roster: &self.roster,
            seed,
        };
        let node = (self.settings.node_factory)(machine.spec.settings(process));
        process.claim_keys(&machine.spec, node)
    }

    /// The machine is to be stopped: it is told, and serves what it has.
    pub(super) fn begin_planned_stop(
        &mut self,
        index: MachineIndex,
        fault: FaultIndex,
        told: LeaveNotice,
    ) {
        let now = self.now();
        if !self.machine(index).is_up() {
            return;
        }
        self.platform.list(index, now, Listing::Leaving);
        let told_at = match told {
            LeaveNotice::Node => now,
            LeaveNotice::List => now + super::platform::MACHINE_LIST_LAG,
        };
        self.machine_mut(index).leaving_since = Some(told_at);
        self.observe(Observation::LeavingTold {
            machine: index,
            at: told_at,
        });
        let heard = self.settings.defect != Some(TransportDefect::LosesLeaveSignal);
        if told == LeaveNotice::Node && heard {
            self.feed_node(index, NodeEvent::Inbound(InboundEvent::Leave));
        }
        let check = WorldEvent::LeaveCheck {
            machine: index,
            fault,
        };
        self.schedule(check, SHORTEST_LEAVE);
    }

    pub(super) fn leave_check(&mut self, index: MachineIndex, fault: FaultIndex) {
        let now = self.now();
        let machine = self.machine(index);
        let Some(since) = machine.leaving_since.filter(|_| machine.is_up()) else {
            return;
        };
        let cut = self.work_in_progress(index);
        let forced = now >= since + LONGEST_LEAVE;
        if cut > 0 && !forced {
            let check = WorldEvent::LeaveCheck {
                machine: index,
                fault,
            };
            return self.schedule(check, LEAVE_CHECK_INTERVAL);
        }
        self.observe(Observation::PlannedStop {
            machine: index,
            cut: cut as u64,
        });
        self.stop_process(index, ProcessState::Stopped);
        self.platform.list(index, now, Listing::Absent);
        if let FaultKind::RollingStop { down, .. } = &self.scenario.faults[fault.0].kind {
            self.schedule(WorldEvent::MachineReturns { machine: index }, *down);
        }
    }

    /// Calls made on the machine and attempts at it that have not ended.
    fn work_in_progress(&self, index: MachineIndex) -> usize {
        let calls = self.calls.values();
        let open_calls = calls.filter(|record| record.machine == index).count();
        let attempts = self.attempts.values();
        let open_attempts = attempts
            .filter(|record| record.server == index && record.server_open)
            .count();
        open_calls + open_attempts
    }
}
