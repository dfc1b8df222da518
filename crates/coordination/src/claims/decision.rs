//! How claims and the runs under them end.

use std::time::Duration;

use lifthollow_protocol::{AttemptResult, RecordedAnswer, RecordedOutcome, RefusalReason};
use lifthollow_state::{IdempotencyKey, Timestamp};

/// What a caller is told to wait when too few replicas answered.
pub const NO_QUORUM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call that may only be run under a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimWanted {
    /// Its key.
    pub key: IdempotencyKey,
    /// Digest of its method, path and body.
    pub body_digest: u64,
    /// When its caller stops waiting.
    pub deadline: Timestamp,
}

/// How a claim was decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The call may be run, if the run starts before the given time.
    Granted {
        /// End of the claim's start window.
        start_before: Timestamp,
    },
    /// The call ran before; its recorded answer is to be given.
    Replay(RecordedAnswer),
    /// The call must not be run.
    Refused(AttemptResult),
}

/// What became of a call whose claim was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The run never started and never will.
    NotStarted,
    /// The run started, or may have.
    Ended(RecordedOutcome),
}

impl ClaimDecision {
    /// The decision when a replica says that a run has ended.
    pub fn from_outcome(outcome: &RecordedOutcome) -> Self {
        match outcome {
            RecordedOutcome::Completed(answer) => ClaimDecision::Replay(answer.clone()),
            RecordedOutcome::AnswerTooLarge | RecordedOutcome::AnswerLost => {
                ClaimDecision::unknown(RefusalReason::AnswerLost)
            }
        }
    }

    /// Too few replicas granted the claim.
    pub fn no_quorum(retry_after: Duration) -> Self {
        ClaimDecision::not_run(RefusalReason::NoQuorum, retry_after)
    }

    /// The call did not run under this claim.
    pub fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        ClaimDecision::Refused(AttemptResult::NotRun {
            reason,
            retry_after,
        })
    }

    /// A call with the key may have run under another claim.
    pub fn unknown(reason: RefusalReason) -> Self {
        ClaimDecision::Refused(AttemptResult::Unknown { reason })
    }
}
