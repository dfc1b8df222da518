//! The server's side of an attempt: whether it is run on the back end, queued or
//! refused.
//!
//! [`admission_control`] is the product's policy. [`service_admission`] makes the
//! decisions for one service, in this order: [`admission_threshold`],
//! [`concurrency_limit`], [`queue`].

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

/// Number of an attempt that arrived at this node, assigned by the caller of
/// [`InboundPolicy::handle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InboundId(pub u64);

/// An attempt as it arrives from another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The service called; its back end is local to this node.
    pub service: ServiceName,
    /// Metadata that the attempt carries across hops.
    pub context: RequestContext,
    /// The node that sent the attempt.
    pub from: NodeId,
    /// Digest of method, path and body, for a call with an idempotency key.
    pub body_digest: u64,
}

/// Result of a run on the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The back end ran the call and answered.
    Completed {
        /// False if the answer reports a failure of the back end (HTTP 5xx).
        success: bool,
    },
    /// The back end refused the call before running it: it answered HTTP 503 with
    /// `Retry-After`, or the connection could not be opened.
    Refused {
        /// Time that the back end asks callers to wait before they call again.
        retry_after: Duration,
    },
    /// The answer was lost after the call may have started.
    Lost,
}

/// An event that the inbound policy must handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InboundEvent {
    /// An attempt arrived from another node.
    AttemptArrived {
        /// Number of the attempt.
        id: InboundId,
        /// The attempt as it arrived.
        attempt: Attempt,
    },
    /// The head of the back end's answer arrived, or the run failed.
    RunAnswered {
        /// The attempt that was run.
        id: InboundId,
        /// Result of the run on the back end.
        result: RunResult,
    },
    /// The outcome of a run under a claim, recorded to answer repeats of the call.
    /// It is reported when the answer's last byte has been passed on, before
    /// [`InboundEvent::RunClosed`]; without it the answer counts as lost.
    AnswerRecorded {
        /// The attempt that was run.
        id: InboundId,
        /// The outcome, with the answer if that is not too large.
        outcome: RecordedOutcome,
    },
    /// The back end has finished the run: the answer's last byte was passed on, or
    /// the connection was closed.
    RunClosed {
        /// The attempt whose run has ended.
        id: InboundId,
    },
    /// The calling node gave the attempt up, or its connection broke.
    AttemptCancelled {
        /// The attempt that is cancelled.
        id: InboundId,
    },
    /// The back end's own health endpoint was queried. What it reports may be late
    /// or wrong.
    HealthReported {
        /// The service of the back end.
        service: ServiceName,
        /// Whether the back end reports itself as healthy.
        healthy: bool,
    },
    /// The time returned by [`InboundPolicy::next_wake`] was reached.
    Wake,
    /// The process was paused; earlier decisions may be stale.
    Resumed {
        /// Duration of the pause.
        paused_for: Duration,
    },
    /// A planned stop has begun: the node takes no new attempts.
    Leave,
}

/// An action that the inbound policy requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InboundEffect {
    /// Run the attempt on the back end.
    Run {
        /// The attempt to run.
        id: InboundId,
        /// When the back end should stop working on the attempt.
        deadline: Timestamp,
    },
    /// Run the attempt, whose idempotency key has been claimed. If the run cannot
    /// start before `start_before`, it must not start, and [`RunResult::Refused`]
    /// is to be reported.
    RunClaimed {
        /// The attempt to run.
        id: InboundId,
        /// When the back end should stop working on the attempt.
        deadline: Timestamp,
        /// Time from which on the run must not be started.
        start_before: Timestamp,
    },
    /// Answer the calling node with the answer recorded when the call ran earlier.
    Replay {
        /// The attempt that is answered.
        id: InboundId,
        /// The complete recorded answer.
        answer: RecordedAnswer,
    },
    /// Answer the calling node with a refusal or with the result of the back end's
    /// answer. For `Completed` the answer's body follows.
    Answer {
        /// The attempt that is answered.
        id: InboundId,
        /// Outcome of the attempt.
        result: AttemptResult,
    },
    /// Tell the back end to stop the run.
    CancelRun {
        /// The attempt whose run is cancelled.
        id: InboundId,
    },
}

/// Policy that decides about attempts that arrive for this node's local back ends.
pub trait InboundPolicy: Send {
    /// Handles one event and appends the requested actions to `effects`.
    fn handle(
        &mut self,
        now: Timestamp,
        view: &View,
        event: InboundEvent,
        effects: &mut Vec<InboundEffect>,
    );

    /// When the policy next needs [`InboundEvent::Wake`], if at all.
    fn next_wake(&self) -> Option<Timestamp>;

    /// The load of a local service, sent to the calling node with every answer.
    fn load(&self, now: Timestamp, view: &View, service: &ServiceName) -> LoadReport;

    /// Sets the lowest priority admitted by the downstream services that the next
    /// attempt for `service` needs. Baseline policies ignore it.
    fn set_downstream_level(&mut self, _service: &ServiceName, _level: AdmissionLevel) {}

    /// Number of attempts that are queued or running.
    fn in_progress(&self) -> usize;
}

/// The result sent to the calling node for a run that ended with `result`.
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
