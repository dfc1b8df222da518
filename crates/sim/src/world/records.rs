//! Calls and attempts in progress, as the transport between nodes knows them.

use std::time::Duration;

use lifthollow_coordination::inbound::Attempt;
use lifthollow_coordination::outbound::{AttemptId, Call, CallId};
use lifthollow_protocol::AttemptResult;
use lifthollow_state::Timestamp;

use super::ids::{MachineIndex, RequestNumber, WireId};
use crate::mesh::{KindIndex, ServiceIndex, VisitIndex};

/// One piece of a whole request: what must run at most once, if its visit says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Operation {
    /// The whole request.
    pub request: RequestNumber,
    /// The visit in the request's call tree.
    pub visit: VisitIndex,
}

/// Who made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOrigin {
    /// A client, with its attempt's number.
    Client {
        /// 1 for the first.
        attempt: u32,
    },
    /// A run at the back end beside the node.
    Run {
        /// The attempt that is being run.
        wire: WireId,
        /// The run's epoch when it made the call.
        epoch: u32,
    },
}

/// A call that its node has not answered yet, or whose answer is streaming.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The node it was made on.
    pub machine: MachineIndex,
    /// Who made it.
    pub origin: CallOrigin,
    /// What it is for.
    pub operation: Operation,
    /// The kind of the whole request.
    pub kind: KindIndex,
    /// The client's attempt in whose call tree it stands.
    pub client_attempt: u32,
    /// The service wanted.
    pub service: ServiceIndex,
    /// The call as the node is told of it; the deadline is on the simulation's clock.
    pub call: Call,
    /// Its attempts so far.
    pub attempts: Vec<WireId>,
    /// Whether its node has answered it.
    pub answered: bool,
    /// Attempts that its node still waits for.
    pub open_attempts: u32,
    /// When its node last stopped waiting for an attempt.
    pub idle_since: Timestamp,
}

impl CallRecord {
    /// How long its node has had nothing to wait for.
    pub fn idle_for(&self, now: Timestamp) -> Duration {
        if self.open_attempts > 0 || self.answered {
            return Duration::ZERO;
        }
        now.saturating_since(self.idle_since)
    }
}

/// An attempt between two nodes.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The node that sent it.
    pub caller: MachineIndex,
    /// Its number there.
    pub attempt_id: AttemptId,
    /// The call it belongs to.
    pub call: CallId,
    /// The node it was sent to.
    pub server: MachineIndex,
    /// What it is for.
    pub operation: Operation,
    /// The kind of the whole request.
    pub kind: KindIndex,
    /// The client's attempt in whose call tree it stands.
    pub client_attempt: u32,
    /// The attempt as the server's node is told of it; the deadline is on the
    /// simulation's clock.
    pub attempt: Attempt,
    /// The call that its answer is passed on to.
    pub delivers_to: Option<CallId>,
    /// Whether its answer has ended, and in order, before it was passed on.
    pub ended: Option<bool>,
    /// Whether the caller's node still waits for it.
    pub caller_open: bool,
    /// Whether the server's node may still act on it.
    pub server_open: bool,
    /// What the server's node answered.
    pub answered: Option<AttemptResult>,
    /// When the answer's head reaches the caller's node.
    pub head_arrives: Timestamp,
    /// Its run at the back end.
    pub run: Option<Run>,
}

/// Where a run at a back end stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// On the way to the back end.
    Connecting,
    /// Waiting for a slot.
    Queued,
    /// Working before its nested calls.
    WorkBefore,
    /// Waiting for the nested calls of a stage.
    Nested {
        /// The stage.
        stage: usize,
    },
    /// Working after its nested calls.
    WorkAfter,
    /// Sending the answer's body.
    Streaming,
    /// Over.
    Ended,
}

/// A run at a back end.
#[derive(Clone, Debug)]
pub struct Run {
    /// Where it stands.
    pub phase: RunPhase,
    /// Raised with each phase, so that late timers are told apart.
    pub epoch: u32,
    /// When the back end should give up, on the simulation's clock.
    pub deadline: Timestamp,
    /// Nested calls that have not ended.
    pub open_calls: Vec<CallId>,
    /// Whether it took a connection that must be given back.
    pub connected: bool,
    /// When the present piece of work began.
    pub work_since: Timestamp,
}
