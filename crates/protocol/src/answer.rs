//! How an attempt to run a call ended.

use std::fmt;
use std::time::Duration;

use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Why a call was refused or abandoned.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[cbor(index_only)]
#[serde(into = "&'static str", try_from = "String")]
pub enum RefusalReason {
    /// The server already has as many calls as it can finish in time.
    #[n(0)]
    Overloaded,
    /// The server's queue is full.
    #[n(1)]
    QueueFull,
    /// The deadline passed, or the call could not finish before it.
    #[n(2)]
    DeadlineTooShort,
    /// No server of the service may be sent calls.
    #[n(3)]
    NoServer,
    /// A downstream service that the call depends on refuses calls of this priority.
    #[n(4)]
    DownstreamOverloaded,
    /// The server is shutting down.
    #[n(5)]
    Leaving,
    /// The table has no row for the service.
    #[n(6)]
    UnknownService,
    /// The node's process was paused, so the decision to run the call was outdated.
    #[n(7)]
    Paused,
    /// The connection to the server failed.
    #[n(8)]
    ConnectionFailed,
    /// The back end refused the call without running it.
    #[n(9)]
    BackendRefused,
    /// The answer was lost after the call may have started.
    #[n(10)]
    AnswerLost,
    /// The caller disconnected.
    #[n(11)]
    Cancelled,
    /// A call with the same idempotency key is running.
    #[n(12)]
    AlreadyRunning,
    /// The idempotency key was used before with a different request body.
    #[n(13)]
    KeyReused,
    /// Too few replicas could be reached to claim the idempotency key.
    #[n(14)]
    NoQuorum,
}

impl RefusalReason {
    /// All reasons, in the order of their CBOR indexes.
    pub const ALL: [RefusalReason; 15] = [
        RefusalReason::Overloaded,
        RefusalReason::QueueFull,
        RefusalReason::DeadlineTooShort,
        RefusalReason::NoServer,
        RefusalReason::DownstreamOverloaded,
        RefusalReason::Leaving,
        RefusalReason::UnknownService,
        RefusalReason::Paused,
        RefusalReason::ConnectionFailed,
        RefusalReason::BackendRefused,
        RefusalReason::AnswerLost,
        RefusalReason::Cancelled,
        RefusalReason::AlreadyRunning,
        RefusalReason::KeyReused,
        RefusalReason::NoQuorum,
    ];

    /// Returns the reason's stable name in headers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::QueueFull => "queue_full",
            RefusalReason::DeadlineTooShort => "deadline_too_short",
            RefusalReason::NoServer => "no_server",
            RefusalReason::DownstreamOverloaded => "downstream_overloaded",
            RefusalReason::Leaving => "leaving",
            RefusalReason::UnknownService => "unknown_service",
            RefusalReason::Paused => "paused",
            RefusalReason::ConnectionFailed => "connection_failed",
            RefusalReason::BackendRefused => "backend_refused",
            RefusalReason::AnswerLost => "answer_lost",
            RefusalReason::Cancelled => "cancelled",
            RefusalReason::AlreadyRunning => "already_running",
            RefusalReason::KeyReused => "key_reused",
            RefusalReason::NoQuorum => "no_quorum",
        }
    }
}

impl From<RefusalReason> for &'static str {
    fn from(reason: RefusalReason) -> Self {
        reason.as_str()
    }
}

impl TryFrom<String> for RefusalReason {
    type Error = UnknownReason;

    fn try_from(word: String) -> Result<Self, Self::Error> {
        RefusalReason::ALL
            .into_iter()
            .find(|reason| reason.as_str() == word)
            .ok_or(UnknownReason)
    }
}

/// The text is not the name of a refusal reason that this version knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown reason for a refusal")]
pub struct UnknownReason;

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Outcome of an attempt, as known to the reporting node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum AttemptResult {
    /// The back end ran the call and answered.
    #[n(0)]
    Completed {
        /// False if the back end's answer says that it failed (HTTP 5xx).
        #[n(0)]
        success: bool,
    },
    /// The call did not run and will not: no back end has started it.
    #[n(1)]
    NotRun {
        /// Why it was refused.
        #[n(0)]
        reason: RefusalReason,
        /// Time after which the caller may retry.
        #[n(1)]
        retry_after: Duration,
    },
    /// The call may have run.
    #[n(2)]
    Unknown {
        /// Why the outcome of the call is unknown.
        #[n(0)]
        reason: RefusalReason,
    },
}
