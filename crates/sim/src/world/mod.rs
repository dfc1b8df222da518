//! The simulated world: machines with real nodes, back ends, clients, the
//! network and the platform, driven by one event queue.

mod back_end_runs;
mod backend;
mod calls;
mod clients;
mod event;
mod faults;
mod ids;
mod inbound_effects;
mod lifecycle;
mod machine;
mod network;
mod nodes;
mod outbound_effects;
mod platform;
mod records;
mod setup;
mod trace;

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_coordination::NodeEffect;
use lifthollow_coordination::outbound::{AttemptId, CallId};
use lifthollow_protocol::Roster;
use lifthollow_state::{NodeId, Timestamp};
use simcore::{Event, EventHandler, SimulationContext};

use crate::measure::Recorder;
use crate::mesh::Mesh;
use crate::observe::{Observation, Observers};
use crate::random::RandomStream;
use crate::scenario::Scenario;

use event::WorldEvent;
pub use ids::{MachineIndex, RequestNumber, WireId};
use machine::{Machine, ProcessState};
use network::Network;
use platform::Platform;
pub use records::Operation;
use records::{AttemptRecord, CallRecord};
pub use setup::{NodeFactory, TransportDefect, WorldSettings, run_world};

use clients::Clients;
use trace::TraceHash;

/// Between a node and the back end or the caller beside it.
const LOOPBACK_DELAY: Duration = Duration::from_micros(50);

/// The clock's resolution. Events that must follow one another are this far
/// apart at least, because the queue's library keeps time as a binary fraction.
const CLOCK_TICK: Duration = Duration::from_micros(1);
const MICROS_PER_SECOND: f64 = 1e6;

/// Everything that is simulated.
pub struct World {
    context: SimulationContext,
    settings: WorldSettings,
    mesh: Mesh,
    scenario: Scenario,
    machines: Vec<Machine>,
    seeds: Vec<NodeId>,
    roster: Roster,
    by_address: BTreeMap<NodeId, MachineIndex>,
    network: Network,
    platform: Platform,
    clients: Clients,
    calls: BTreeMap<CallId, CallRecord>,
    attempts: BTreeMap<WireId, AttemptRecord>,
    attempts_by_caller: BTreeMap<(MachineIndex, AttemptId), WireId>,
    next_call: u64,
    next_wire: u64,
    service_times: RandomStream,
    process_seeds: RandomStream,
    observers: Observers,
    recorder: Recorder,
    trace: TraceHash,
    spare_effects: Vec<NodeEffect>,
}

impl World {
    /// The simulation's time.
    fn now(&self) -> Timestamp {
        Timestamp::from_micros((self.context.time() * MICROS_PER_SECOND).round() as u64)
    }

    fn schedule(&self, event: WorldEvent, delay: Duration) {
        let micros = delay.as_micros() as f64;
        self.context.emit_self(event, micros / MICROS_PER_SECOND);
    }

    fn schedule_at(&self, event: WorldEvent, at: Timestamp) {
        let delay = at.saturating_since(self.now());
        self.schedule(event, delay);
    }

    fn machine(&self, index: MachineIndex) -> &Machine {
        &self.machines[index.0]
    }

    fn machine_mut(&mut self, index: MachineIndex) -> &mut Machine {
        &mut self.machines[index.0]
    }

    fn observe(&mut self, observation: Observation) {
        let now = self.now();
        self.observers.observe(now, &observation);
    }

    /// Handles one event, or keeps it until the paused process that it is for
    /// wakes up.
    fn deliver(&mut self, event: WorldEvent) {
        if let Some(machine) = self.process_of(&event) {
            match self.machine(machine).state {
                ProcessState::Running => {}
                ProcessState::Paused => return self.machine_mut(machine).held.push(event),
                ProcessState::Stopped | ProcessState::Vanished => {
                    return self.deliver_to_dead(machine, event);
                }
            }
        }
        self.dispatch_event(event);
    }

    /// The machine whose process must run for an event to be handled.
    fn process_of(&self, event: &WorldEvent) -> Option<MachineIndex> {
        match event {
            WorldEvent::CallArrives { call } | WorldEvent::CallCancelled { call } => {
                self.calls.get(call).map(|record| record.machine)
            }
            WorldEvent::AttemptArrives { wire }
            | WorldEvent::AttemptCancelled { wire }
            | WorldEvent::RunAnswered { wire, .. }
            | WorldEvent::RunClosed { wire } => self.attempts.get(wire).map(|record| record.server),
            WorldEvent::AttemptAnswered { wire, .. } | WorldEvent::AttemptClosed { wire, .. } => {
                self.attempts.get(wire).map(|record| record.caller)
            }
            other => other.process(),
        }
    }

    fn dispatch_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrival { kind } => self.user_arrives(kind),
            WorldEvent::ClientSends { request, attempt } => self.client_sends(request, attempt),
            WorldEvent::ClientTimeout { request, attempt } => {
                self.client_times_out(request, attempt);
            }
            WorldEvent::ClientAnswered {
                request,
                attempt,
                answer,
            } => self.client_answered(request, attempt, answer),
            WorldEvent::CallArrives { call } => self.call_arrives(call),
            WorldEvent::CallCancelled { call } => self.call_cancelled(call),
            WorldEvent::AttemptArrives { wire } => self.attempt_arrives(wire),
            WorldEvent::AttemptAnswered { wire, answer } => self.attempt_answered(wire, answer),
            WorldEvent::AttemptClosed { wire, complete } => self.attempt_closed(wire, complete),
            WorldEvent::AttemptCancelled { wire } => self.attempt_cancelled(wire),
            WorldEvent::RunArrives { wire } => self.run_arrives(wire),
            WorldEvent::RunAdvances { wire, epoch } => self.run_advances(wire, epoch),
            WorldEvent::RunExpires { wire } => self.run_expires(wire),
            WorldEvent::NestedEnds {
                wire,
                epoch,
                call,
                success,
            } => self.nested_ends(wire, epoch, call, success),
            WorldEvent::RunAnswered { wire, result } => self.run_answered(wire, result),
            WorldEvent::RunClosed { wire } => self.run_closed(wire),
            WorldEvent::RunCancelled { wire } => self.run_cancelled(wire),
            WorldEvent::Wake {
                machine,
                incarnation,
            } => self.wake(machine, incarnation),
            WorldEvent::TableFetched { machine, result } => self.table_fetched(machine, result),
            WorldEvent::MachinesFetched { machine, result } => {
                self.machines_fetched(machine, result);
            }
            WorldEvent::ControlArrives {
                machine,
                from,
                message,
            } => self.control_arrives(machine, from, *message),
            WorldEvent::HealthCheck { machine } => self.health_check(machine),
            WorldEvent::FaultBegins { fault } => self.fault_begins(fault),
            WorldEvent::FaultEnds { fault } => self.fault_ends(fault),
            WorldEvent::FaultStep { fault, step } => self.fault_step(fault, step),
            WorldEvent::LeaveCheck { machine, fault } => self.leave_check(machine, fault),
            WorldEvent::MachineReturns { machine } => self.machine_returns(machine),
            WorldEvent::Second => self.second_passed(),
        }
    }
}

impl EventHandler for World {
    fn on(&mut self, event: Event) {
        let Ok(event) = event.data.downcast::<WorldEvent>() else {
            return;
        };
        let now = self.now();
        self.trace.add(now, &event);
        self.deliver(*event);
    }
}
