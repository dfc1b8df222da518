//! The caller's side of a call: selects the server for each attempt and the answer
//! to the caller.
//!
//! A *call* is a request of a local caller. Each try to run it on a server is an
//! *attempt*. The transport (or the simulation) reports what happens to
//! attempts as [`OutboundEvent`]s and carries out [`OutboundEffect`]s.
//!
//! [`routing`] is the product's policy. For each service an [`edge`] holds what
//! was observed of its servers and composes [`side_choice`], [`server_choice`],
//! [`ejection`] and [`outlier_detection`]; [`retry_decision`] decides whether a
//! failed attempt may be followed by another.

pub mod call_state;
pub mod call_table;
pub mod edge;
pub mod edge_report;
pub mod ejection;
pub mod outlier_detection;
pub mod retry_decision;
pub mod routing;
pub mod server_choice;
pub mod server_state;
pub mod side_choice;

pub use edge_report::{EdgeReport, SideReport};
pub use routing::Routing;

use std::time::Duration;

use lifthollow_protocol::{AdmissionLevel, AttemptResult, LoadReport, RefusalReason};
use lifthollow_state::{NodeId, RequestContext, RetryAllowance, ServiceName, Timestamp};

use crate::View;
use crate::inbound::InboundId;

/// Number of a call in progress on this node, assigned by the caller of
/// [`OutboundPolicy::handle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Number of an attempt in progress on this node, assigned by the outbound policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// A call as it arrives from a local caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The service called.
    pub service: ServiceName,
    /// Metadata that the call carries across hops.
    pub context: RequestContext,
    /// The inbound attempt during whose run the local back end makes the call;
    /// none where the request enters from outside.
    pub parent: Option<InboundId>,
    /// Whether the caller declares that the call may be run again.
    pub repeatable: bool,
    /// Whether the call's body is available to be sent again.
    pub replayable: bool,
}

/// A server's answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptAnswer {
    /// Outcome of the attempt.
    pub result: AttemptResult,
    /// The server's load, if the answer came from the server's node.
    pub load: Option<LoadReport>,
    /// Retries lent with the attempt that were not spent.
    pub unspent: RetryAllowance,
}

/// An event that the outbound policy must handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutboundEvent {
    /// A local caller made a call.
    CallArrived {
        /// Number of the call.
        call: CallId,
        /// The call as it arrived.
        description: Call,
    },
    /// The head of an attempt's answer has arrived, or the attempt failed.
    AttemptAnswered {
        /// The attempt that was answered or failed.
        attempt: AttemptId,
        /// The server's answer, or the failure in its place.
        answer: AttemptAnswer,
    },
    /// The last byte of a delivered answer was passed on, or its stream broke.
    AttemptClosed {
        /// The attempt whose answer was being passed on.
        attempt: AttemptId,
        /// False if the stream broke before its end.
        complete: bool,
    },
    /// The caller closed its connection before the call ended.
    CallCancelled {
        /// The call that is cancelled.
        call: CallId,
    },
    /// The time returned by [`OutboundPolicy::next_wake`] has come.
    Wake,
    /// The process was paused; earlier decisions may be stale.
    Resumed {
        /// Duration of the pause.
        paused_for: Duration,
    },
}

/// The answer that a caller gets to its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAnswer {
    /// Pass on the answer of this attempt, head and body.
    Deliver {
        /// The attempt whose answer is passed on.
        attempt: AttemptId,
    },
    /// No attempt of the call ran on a back end.
    NotRun {
        /// Why no further attempt is made.
        reason: RefusalReason,
        /// Time that the caller should wait before it makes the call again.
        retry_after: Duration,
    },
    /// An attempt of the call may have run on a back end.
    Unknown {
        /// Why the call has no complete answer.
        reason: RefusalReason,
        /// Time that the caller should wait before it repeats the call with the same
        /// idempotency key.
        retry_after: Duration,
    },
}

/// An action that the outbound policy requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutboundEffect {
    /// Send an attempt to a server.
    Dispatch {
        /// The call that the attempt belongs to.
        call: CallId,
        /// Number of the new attempt.
        attempt: AttemptId,
        /// The server that the attempt is sent to.
        server: NodeId,
        /// Metadata that the attempt carries.
        context: RequestContext,
    },
    /// Give up an attempt: its server must drop or cancel it.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptId,
    },
    /// Answer the caller. This is the last effect for the call.
    Answer {
        /// The call that is answered.
        call: CallId,
        /// The answer to the caller.
        answer: CallAnswer,
        /// Retries of the call's allowance that were not spent and return to the
        /// attempt that made the call.
        unspent: RetryAllowance,
    },
}

/// Policy that decides about the calls of local callers.
pub trait OutboundPolicy: Send {
    /// Handles one event and appends the requested actions to `effects`.
    fn handle(
        &mut self,
        now: Timestamp,
        view: &View,
        event: OutboundEvent,
        effects: &mut Vec<OutboundEffect>,
    );

    /// When the policy next needs [`OutboundEvent::Wake`], if at all.
    fn next_wake(&self) -> Option<Timestamp>;

    /// The lowest priority that the servers of `service` admit, as far as this
    /// node knows. Baseline policies assume that every priority is admitted.
    fn level(&self, _now: Timestamp, _view: &View, _service: &ServiceName) -> AdmissionLevel {
        AdmissionLevel::OPEN
    }

    /// Reports for operators on the services called from this node. Baseline
    /// policies report nothing.
    fn reports(&self, _now: Timestamp, _view: &View) -> Vec<EdgeReport> {
        Vec::new()
    }
}
