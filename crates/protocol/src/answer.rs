//! How an attempt to run a call ended.

use std::fmt;
use std::time::Duration;

use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Why a call was refused or given up.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[cbor(index_only)]
#[serde(into = "&'static str", try_from = "String")]
pub enum RefusalReason {
    /// The server has as much work as it can finish in time.
    #[n(0)]
    Overloaded,
    /// The server's queue is full.
    #[n(1)]
    QueueFull,
    /// The deadline passed, or the work could not finish before it.
    #[n(2)]
    DeadlineTooShort,
    /// No server of the service may take work.
    #[n(3)]
    NoServer,
    /// A service that this call needs further down refuses such calls.
    #[n(4)]
    DownstreamOverloaded,
    /// The server is leaving.
    #[n(5)]
    Leaving,
    /// The table has no row for the service.
    #[n(6)]
    UnknownService,
    /// The node was paused and the decision had grown old.
    #[n(7)]
    Paused,
    /// The connection to the server failed.
    #[n(8)]
    ConnectionFailed,
    /// The back end itself refused the call before running it.
    #[n(9)]
    BackendRefused,
    /// The answer was lost after the call may have started.
    #[n(10)]
    AnswerLost,
    /// The caller went away.
    #[n(11)]
    Cancelled,
    /// A call with the same idempotency key is being run.
    #[n(12)]
    AlreadyRunning,
    /// The idempotency key was used before with another body.
    #[n(13)]
    KeyReused,
    /// Too few replicas could be reached to claim the idempotency key.
    #[n(14)]
    NoQuorum,
}

impl RefusalReason {
    /// All reasons.
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

    /// The stable word written in headers, logs and metrics.
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

/// The word names no reason that this version knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown reason of a refusal")]
pub struct UnknownReason;

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// How an attempt ended, as far as the one who reports it knows.
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
        /// When the caller may come back.
        #[n(1)]
        retry_after: Duration,
    },
    /// The call may have run.
    #[n(2)]
    Unknown {
        /// What went wrong.
        #[n(0)]
        reason: RefusalReason,
    },
}
