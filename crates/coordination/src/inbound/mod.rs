//! The server's side of an attempt: admitted to the back end, queued or refused.
//!
//! [`admission_control`] is the product's policy; [`service_admission`] shows
//! the order of its decisions: [`admission_threshold`], [`concurrency_limit`],
//! [`queue`].

pub mod admission_control;
pub mod admission_threshold;
pub mod concurrency_limit;
pub mod queue;
pub mod service_admission;

pub use admission_control::AdmissionControl;

use std::time::Duration;

use lifthollow_protocol::{
    AdmissionLevel, AttemptResult, LoadReport, RecordedAnswer, RecordedOutcome, RefusalReason,
};
use lifthollow_state::{NodeId, RequestContext, ServiceName, Timestamp};

use crate::View;

/// An attempt that arrived at this node, numbered by whoever feeds the node
/// events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InboundId(pub u64);

/// An attempt as it arrives from another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The service wanted; its back end stands beside this node.
    pub service: ServiceName,
    /// What the attempt carries across hops.
    pub context: RequestContext,
    /// The node it came from.
    pub from: NodeId,
    /// Digest of method, path and body of a call with an idempotency key.
    pub body_digest: u64,
}

/// How the back end treated a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// It ran the call and answered.
    Completed {
        /// False if the answer says that the back end failed (HTTP 5xx).
        success: bool,
    },
    /// It shed the call before running it (HTTP 503 with `Retry-After`, or the
    /// connection could not be opened).
    Refused {
        /// When the back end asks to be called again.
        retry_after: Duration,
    },
    /// The answer was lost after the call may have started.
    Lost,
}

/// What the inbound side is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InboundEvent {
    /// An attempt arrived from another node.
    AttemptArrived {
        /// Its number.
        id: InboundId,
        /// The attempt.
        attempt: Attempt,
    },
    /// The head of the back end's answer arrived, or the run failed.
    RunAnswered {
        /// The attempt.
        id: InboundId,
        /// How the back end treated it.
        result: RunResult,
    },
    /// How a run under a claim ended, to be given to repeats of the call. It is
    /// reported when the answer's last byte has passed, before
    /// [`InboundEvent::RunClosed`]; without it the answer counts as lost.
    AnswerRecorded {
        /// The attempt.
        id: InboundId,
        /// The answer, if it is not too large.
        outcome: RecordedOutcome,
    },
    /// The back end is free of the run: the answer's last byte has passed, or
    /// the connection was closed.
    RunClosed {
        /// The attempt.
        id: InboundId,
    },
    /// The caller's node gave the attempt up, or its connection broke.
    AttemptCancelled {
        /// The attempt.
        id: InboundId,
    },
    /// What the back end's own health endpoint says. It may lag or mislead.
    HealthReported {
        /// The service.
        service: ServiceName,
        /// Whether it calls itself healthy.
        healthy: bool,
    },
    /// The time asked for with `next_wake` has come.
    Wake,
    /// The process was paused; whatever was decided before may be stale.
    Resumed {
        /// How long it was paused.
        paused_for: Duration,
    },
    /// A planned stop has begun: no new work.
    Leave,
}

/// What the inbound side wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InboundEffect {
    /// Run the attempt on the back end.
    Run {
        /// The attempt.
        id: InboundId,
        /// When the back end should give up.
        deadline: Timestamp,
    },
    /// Run the attempt, whose idempotency key was claimed. If the run cannot start
    /// in time, it must not start: [`RunResult::Refused`] is to be reported.
    RunClaimed {
        /// The attempt.
        id: InboundId,
        /// When the back end should give up.
        deadline: Timestamp,
        /// From here on the run must not start any more.
        start_before: Timestamp,
    },
    /// Answer the caller's node with the answer recorded when the call ran.
    Replay {
        /// The attempt.
        id: InboundId,
        /// The complete answer.
        answer: RecordedAnswer,
    },
    /// Answer the caller's node: a refusal, or the result that the back end's
    /// answer amounts to. For `Completed` the answer's body follows.
    Answer {
        /// The attempt.
        id: InboundId,
        /// How it ended.
        result: AttemptResult,
    },
    /// Tell the back end to give up the run.
    CancelRun {
        /// The attempt.
        id: InboundId,
    },
}

/// Decisions about attempts that arrive for the back end beside this node.
pub trait InboundPolicy: Send {
    /// Takes in one event and appends what is to be done to `effects`.
    fn handle(
        &mut self,
        now: Timestamp,
        view: &View,
        event: InboundEvent,
        effects: &mut Vec<InboundEffect>,
    );

    /// When the policy wants [`InboundEvent::Wake`] next.
    fn next_wake(&self) -> Option<Timestamp>;

    /// The load of a service, to be sent with every answer.
    fn load(&self, now: Timestamp, view: &View, service: &ServiceName) -> LoadReport;

    /// Sets the lowest priority admitted by the services that the next attempt
    /// for `service` needs further down. Baselines take no notice.
    fn set_downstream_level(&mut self, _service: &ServiceName, _level: AdmissionLevel) {}

    /// Attempts that are queued or running.
    fn in_progress(&self) -> usize;
}

/// The result that the caller's node is told when the back end's answer is in.
pub fn attempt_result(result: RunResult) -> AttemptResult {
    match result {
        RunResult::Completed { success } => AttemptResult::Completed { success },
        RunResult::Refused { retry_after } => AttemptResult::NotRun {
            reason: RefusalReason::BackendRefused,
            retry_after,
        },
        RunResult::Lost => AttemptResult::Unknown {
            reason: RefusalReason::AnswerLost,
        },
    }
}
