//! Decisions on claims, and the ends of the runs under them.

use std::time::Duration;

use lifthollow_protocol::{AttemptResult, RecordedAnswer, RecordedOutcome, RefusalReason};
use lifthollow_state::{IdempotencyKey, Timestamp};

/// `retry_after` time in the answer to a caller if too few replicas granted its claim
/// and none of them abstained.
pub const NO_QUORUM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call that may run only under a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimParameters {
    /// The idempotency key of the call.
    pub key: IdempotencyKey,
    /// Digest of the method, path and body of the call.
    pub body_digest: u64,
    /// Time at which the caller stops waiting for the call.
    pub deadline: Timestamp,
}

/// The decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The call may run if the run starts before the given time.
    Granted {
        /// End of the claim's start window.
        start_before: Timestamp,
    },
    /// The call ran before, and its recorded answer is returned to the caller.
    Replay(RecordedAnswer),
    /// The call must not run.
    Refused(AttemptResult),
}

/// The end of a call whose claim was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The run has not started and will not start.
    NotStarted,
    /// The run started or may have started, and has this outcome.
    Ended(RecordedOutcome),
}

impl ClaimDecision {
    /// The decision if a replica reports the outcome of an earlier run.
    pub fn from_outcome(outcome: &RecordedOutcome) -> Self {
        match outcome {
            RecordedOutcome::Completed(answer) => ClaimDecision::Replay(answer.clone()),
            RecordedOutcome::AnswerTooLarge | RecordedOutcome::AnswerLost => {
                ClaimDecision::unknown(RefusalReason::AnswerLost)
            }
        }
    }

    /// The decision if too few replicas granted the claim.
    pub fn no_quorum(retry_after: Duration) -> Self {
        ClaimDecision::not_run(RefusalReason::NoQuorum, retry_after)
    }

    /// The refusal of a call that did not run.
    pub fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        ClaimDecision::Refused(AttemptResult::NotRun {
            reason,
            retry_after,
        })
    }

    /// The refusal of a call that may have run under another claim.
    pub fn unknown(reason: RefusalReason) -> Self {
        ClaimDecision::Refused(AttemptResult::Unknown { reason })
    }
}
