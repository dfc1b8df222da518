//! The caller's side of a call: which server gets which attempt, and what the
//! caller is told.
//!
//! A *call* is what a local caller asked for. Each try to run it on a server is
//! an *attempt*. The transport (or the simulation) reports what happens to
//! attempts as [`OutboundEvent`]s and carries out [`OutboundEffect`]s.
//!
//! [`routing`] is the product's policy. For each service an [`edge`] holds what
//! was seen and composes [`side_choice`], [`server_choice`], [`ejection`] and
//! [`outlier_detection`]; [`retry_decision`] says what follows a failure.

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

/// A call in progress on this node, numbered by whoever feeds the node events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An attempt in progress on this node, numbered by the outbound policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// A call as it arrives from a local caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The service wanted.
    pub service: ServiceName,
    /// What the call carries across hops.
    pub context: RequestContext,
    /// The attempt on this node whose back end makes the call; none at the entry.
    pub parent: Option<InboundId>,
    /// Whether the caller declares that the call may be run again.
    pub repeatable: bool,
    /// Whether the body is at hand to be sent again.
    pub replayable: bool,
}

/// What a server answered to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptAnswer {
    /// How the attempt ended.
    pub result: AttemptResult,
    /// The server's load, if the answer came from its node.
    pub load: Option<LoadReport>,
    /// Retries lent with the attempt that were not spent.
    pub unspent: RetryAllowance,
}

/// What the outbound side is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutboundEvent {
    /// A local caller makes a call.
    CallArrived {
        /// The call's number.
        call: CallId,
        /// The call.
        description: Call,
    },
    /// The head of an attempt's answer has arrived, or the attempt failed.
    AttemptAnswered {
        /// The attempt.
        attempt: AttemptId,
        /// What was answered.
        answer: AttemptAnswer,
    },
    /// The last byte of a delivered answer has passed, or its stream broke.
    AttemptClosed {
        /// The attempt.
        attempt: AttemptId,
        /// False if the stream broke before its end.
        complete: bool,
    },
    /// The caller hung up.
    CallCancelled {
        /// The call.
        call: CallId,
    },
    /// The time asked for with `next_wake` has come.
    Wake,
    /// The process was paused; whatever was decided before may be stale.
    Resumed {
        /// How long it was paused.
        paused_for: Duration,
    },
}

/// What the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAnswer {
    /// Pass on the answer of this attempt, head and body.
    Deliver {
        /// The attempt whose answer is passed on.
        attempt: AttemptId,
    },
    /// The call truly did not run.
    NotRun {
        /// Why it was given up.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// The call may have run.
    Unknown {
        /// What went wrong.
        reason: RefusalReason,
        /// When the caller may ask again by its idempotency key.
        retry_after: Duration,
    },
}

/// What the outbound side wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutboundEffect {
    /// Send an attempt to a server.
    Dispatch {
        /// The call it belongs to.
        call: CallId,
        /// The new attempt.
        attempt: AttemptId,
        /// Where it goes.
        server: NodeId,
        /// What it carries.
        context: RequestContext,
    },
    /// Give up an attempt: its server must drop or cancel it.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer the caller. It is the last effect for the call.
    Answer {
        /// The call.
        call: CallId,
        /// What the caller is told.
        answer: CallAnswer,
        /// Retries of the call's allowance that were not spent.
        unspent: RetryAllowance,
    },
}

/// Decisions about calls of local callers.
pub trait OutboundPolicy: Send {
    /// Takes in one event and appends what is to be done to `effects`.
    fn handle(
        &mut self,
        now: Timestamp,
        view: &View,
        event: OutboundEvent,
        effects: &mut Vec<OutboundEffect>,
    );

    /// When the policy wants [`OutboundEvent::Wake`] next.
    fn next_wake(&self) -> Option<Timestamp>;

    /// The lowest priority that the servers of `service` admit, as far as this
    /// node knows. Baselines know nothing.
    fn level(&self, _now: Timestamp, _view: &View, _service: &ServiceName) -> AdmissionLevel {
        AdmissionLevel::OPEN
    }

    /// What there is to tell operators of the services called from this node.
    /// Baselines tell nothing.
    fn reports(&self, _now: Timestamp, _view: &View) -> Vec<EdgeReport> {
        Vec::new()
    }
}
