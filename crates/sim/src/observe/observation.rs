//! What observers are told.

use lifthollow_coordination::outbound::{CallAnswer, CallId};
use lifthollow_protocol::RefusalReason;
use lifthollow_state::{PriorityClass, TableVersion, Timestamp};

use crate::mesh::ServiceIndex;
use crate::world::{MachineIndex, Operation};

/// What the maker of a call was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Here is the answer.
    Complete,
    /// It did not run.
    NotRun(RefusalReason),
    /// It may have run.
    Unknown,
}

impl From<&CallAnswer> for Told {
    fn from(answer: &CallAnswer) -> Self {
        match answer {
            CallAnswer::Deliver { .. } => Told::Complete,
            CallAnswer::NotRun { reason, .. } => Told::NotRun(*reason),
            CallAnswer::Unknown { .. } => Told::Unknown,
        }
    }
}

/// Something that really happened.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A node was given a call.
    CallMade {
        /// The call.
        call: CallId,
        /// The piece of the whole request.
        operation: Operation,
    },
    /// A node sent an attempt.
    AttemptSent {
        /// The node's machine.
        machine: MachineIndex,
        /// The service wanted.
        service: ServiceIndex,
        /// Importance of the call.
        class: PriorityClass,
        /// The piece of the whole request.
        operation: Operation,
        /// Whether it is the call's first.
        first: bool,
    },
    /// A node refused an attempt that it had received.
    AttemptRefused {
        /// The node's machine.
        machine: MachineIndex,
        /// The service wanted.
        service: ServiceIndex,
        /// Importance of the call.
        class: PriorityClass,
        /// Why.
        reason: RefusalReason,
    },
    /// A node let an attempt run at its back end.
    RunAdmitted {
        /// The node's machine.
        machine: MachineIndex,
        /// The service.
        service: ServiceIndex,
        /// Importance of the call.
        class: PriorityClass,
    },
    /// A back end began to execute a run.
    RunStarted {
        /// Its machine.
        machine: MachineIndex,
        /// The call that the run is for.
        call: CallId,
        /// The piece of the whole request.
        operation: Operation,
        /// Whether it may run only once.
        once: bool,
    },
    /// A node told its back end to give a run up.
    RunCancelled {
        /// The node's machine.
        machine: MachineIndex,
        /// Whether the caller's node still waited and the deadline had not passed.
        wanted: bool,
    },
    /// A node answered a call.
    CallAnswered {
        /// The call.
        call: CallId,
        /// The node's machine.
        machine: MachineIndex,
        /// The service wanted.
        service: ServiceIndex,
        /// Importance of the call.
        class: PriorityClass,
        /// Attempts that were sent for it.
        attempts: u32,
        /// What its maker was told.
        told: Told,
    },
    /// The maker of a call received an answer that ended in order.
    AnswerReceived {
        /// What was asked.
        asked: Operation,
        /// What the received body is the answer to.
        body_of: Operation,
        /// Whether all bytes came.
        whole: bool,
    },
    /// A machine's back end is to leave.
    LeavingTold {
        /// The machine.
        machine: MachineIndex,
        /// When its node, or readers of the platform's list, can know.
        at: Timestamp,
    },
    /// A machine was stopped as planned.
    PlannedStop {
        /// The machine.
        machine: MachineIndex,
        /// Calls and runs that it still had.
        cut: u64,
    },
    /// A new process started on a machine.
    ProcessStarted {
        /// The machine.
        machine: MachineIndex,
    },
    /// Another table came into force on a node.
    TableInForce {
        /// The node's machine.
        machine: MachineIndex,
        /// The table's version.
        version: TableVersion,
    },
    /// Once a second for each running node: whether a running node that it can
    /// exchange packets with has a newer table in force.
    TableSample {
        /// The node's machine.
        machine: MachineIndex,
        /// Whether it is behind.
        behind: bool,
    },
}
