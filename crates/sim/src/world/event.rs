//! Everything that happens in the simulated world, as events of the queue.

use std::sync::Arc;

use lifthollow_coordination::fleet::{FetchFailed, Machine as ListedMachine};
use lifthollow_coordination::inbound::RunResult;
use lifthollow_coordination::outbound::{AttemptAnswer, CallId};
use lifthollow_protocol::ControlMessage;
use lifthollow_state::{NodeId, Table};
use serde::{Serialize, Serializer};

use super::ids::{FaultIndex, MachineIndex, RequestNumber, WireId};
use super::records::Operation;
use crate::mesh::KindIndex;

/// What a client learns about one of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    /// The whole answer, of this attempt at a back end.
    Complete {
        /// False if the service answered with an error.
        success: bool,
        /// What the received body is the answer to.
        body_of: Operation,
        /// False if bytes are missing although the answer ended in order.
        whole: bool,
    },
    /// Refused or given up; the mesh said when to come back.
    GivenUp {
        /// Milliseconds until the client should come back.
        retry_after_millis: u64,
    },
    /// The connection could not be opened or broke.
    Broken,
}

/// An event of the simulation.
#[derive(Clone, Debug)]
pub enum WorldEvent {
    /// A user asks for something.
    Arrival { kind: KindIndex },
    /// A client sends an attempt.
    ClientSends {
        request: RequestNumber,
        attempt: u32,
    },
    /// A client stops waiting for an attempt.
    ClientTimeout {
        request: RequestNumber,
        attempt: u32,
    },
    /// A client learns how an attempt ended.
    ClientAnswered {
        request: RequestNumber,
        attempt: u32,
        answer: ClientAnswer,
    },
    /// A call arrives at its node.
    CallArrives { call: CallId },
    /// The caller of a call hung up.
    CallCancelled { call: CallId },
    /// An attempt arrives at its server's node.
    AttemptArrives { wire: WireId },
    /// The head of an attempt's answer arrives at the caller's node.
    AttemptAnswered { wire: WireId, answer: AttemptAnswer },
    /// The end of an attempt's answer arrives at the caller's node.
    AttemptClosed { wire: WireId, complete: bool },
    /// The caller's node gave an attempt up; its server's node learns it.
    AttemptCancelled { wire: WireId },
    /// A run reaches its back end.
    RunArrives { wire: WireId },
    /// A back end has finished a piece of a run.
    RunAdvances { wire: WireId, epoch: u32 },
    /// The deadline of a run has passed.
    RunExpires { wire: WireId },
    /// A nested call of a run has ended.
    NestedEnds {
        wire: WireId,
        epoch: u32,
        call: CallId,
        success: bool,
    },
    /// A back end's answer reaches the node beside it.
    RunAnswered { wire: WireId, result: RunResult },
    /// A back end is free of a run.
    RunClosed { wire: WireId },
    /// A cancellation reaches the back end.
    RunCancelled { wire: WireId },
    /// A node asked to be woken.
    Wake {
        machine: MachineIndex,
        incarnation: u64,
    },
    /// The configuration service answers a node.
    TableFetched {
        machine: MachineIndex,
        result: Result<Arc<Table>, FetchFailed>,
    },
    /// The platform's list of machines reaches a node.
    MachinesFetched {
        machine: MachineIndex,
        result: Result<Vec<ListedMachine>, FetchFailed>,
    },
    /// A datagram of another node arrives.
    ControlArrives {
        machine: MachineIndex,
        from: NodeId,
        message: Box<ControlMessage>,
    },
    /// A node reads its back end's health endpoint.
    HealthCheck { machine: MachineIndex },
    /// A disturbance begins.
    FaultBegins { fault: FaultIndex },
    /// A disturbance ends.
    FaultEnds { fault: FaultIndex },
    /// A disturbance in steps takes the next one.
    FaultStep { fault: FaultIndex, step: u32 },
    /// A leaving machine sees whether it has finished.
    LeaveCheck {
        machine: MachineIndex,
        fault: FaultIndex,
    },
    /// A machine that was stopped starts again.
    MachineReturns { machine: MachineIndex },
    /// A second has passed.
    Second,
}

/// The queue's library wants its payloads serializable for its debug log; the
/// kind and the numbers are enough.
impl Serialize for WorldEvent {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.fingerprint())
    }
}

impl WorldEvent {
    /// The machine whose lifthollow process must run for the event to be
    /// handled, where the event itself names it.
    pub fn process(&self) -> Option<MachineIndex> {
        match self {
            WorldEvent::Wake { machine, .. }
            | WorldEvent::TableFetched { machine, .. }
            | WorldEvent::MachinesFetched { machine, .. }
            | WorldEvent::ControlArrives { machine, .. }
            | WorldEvent::HealthCheck { machine } => Some(*machine),
            _ => None,
        }
    }

    /// Kind and identifying numbers, for the trace hash.
    pub fn fingerprint(&self) -> [u64; 3] {
        match self {
            WorldEvent::Arrival { kind } => [1, kind.0 as u64, 0],
            WorldEvent::ClientSends { request, attempt } => [2, request.0, u64::from(*attempt)],
            WorldEvent::ClientTimeout { request, attempt } => [3, request.0, u64::from(*attempt)],
            WorldEvent::ClientAnswered {
                request, answer, ..
            } => [4, request.0, client_answer_number(answer)],
            WorldEvent::CallArrives { call } => [5, call.0, 0],
            WorldEvent::CallCancelled { call } => [6, call.0, 0],
            WorldEvent::AttemptArrives { wire } => [7, wire.0, 0],
            WorldEvent::AttemptAnswered { wire, answer } => {
                [8, wire.0, u64::from(answer.unspent.0)]
            }
            WorldEvent::AttemptClosed { wire, complete } => [9, wire.0, u64::from(*complete)],
            WorldEvent::AttemptCancelled { wire } => [10, wire.0, 0],
            WorldEvent::RunArrives { wire } => [11, wire.0, 0],
            WorldEvent::RunAdvances { wire, epoch } => [12, wire.0, u64::from(*epoch)],
            WorldEvent::RunExpires { wire } => [28, wire.0, 0],
            WorldEvent::NestedEnds { wire, call, .. } => [13, wire.0, call.0],
            WorldEvent::RunAnswered { wire, .. } => [14, wire.0, 0],
            WorldEvent::RunClosed { wire } => [15, wire.0, 0],
            WorldEvent::RunCancelled { wire } => [16, wire.0, 0],
            WorldEvent::Wake {
                machine,
                incarnation,
            } => [17, machine.0 as u64, *incarnation],
            WorldEvent::TableFetched { machine, result } => {
                [18, machine.0 as u64, u64::from(result.is_ok())]
            }
            WorldEvent::MachinesFetched { machine, result } => {
                [19, machine.0 as u64, u64::from(result.is_ok())]
            }
            WorldEvent::ControlArrives { machine, from, .. } => {
                [27, machine.0 as u64, from.as_u64()]
            }
            WorldEvent::HealthCheck { machine } => [20, machine.0 as u64, 0],
            WorldEvent::FaultBegins { fault } => [21, fault.0 as u64, 0],
            WorldEvent::FaultEnds { fault } => [22, fault.0 as u64, 0],
            WorldEvent::FaultStep { fault, step } => [23, fault.0 as u64, u64::from(*step)],
            WorldEvent::LeaveCheck { machine, .. } => [24, machine.0 as u64, 0],
            WorldEvent::MachineReturns { machine } => [25, machine.0 as u64, 0],
            WorldEvent::Second => [26, 0, 0],
        }
    }
}

fn client_answer_number(answer: &ClientAnswer) -> u64 {
    match answer {
        ClientAnswer::Complete { success, .. } => u64::from(*success),
        ClientAnswer::GivenUp { retry_after_millis } => 2 + retry_after_millis,
        ClientAnswer::Broken => u64::MAX,
    }
}
