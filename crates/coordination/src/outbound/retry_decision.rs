//! Whether a failed attempt may be followed by another one.

use lifthollow_state::Timestamp;

/// Facts about a call and its failed attempt from which the retry is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether every attempt of the call so far is known not to have run.
    pub known_not_run: bool,
    /// Whether the caller declares that the call may be run again.
    pub repeatable: bool,
    /// Whether the call's body is available to be sent again.
    pub replayable: bool,
    /// Number of retries that the call has left.
    pub allowance_left: u8,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// When an attempt sent now is expected to be answered.
    pub expected_answer: Timestamp,
}

/// Whether the call allows another attempt. Whether another server has spare
/// capacity and whether the edge's retry budget allows a retry is checked
/// afterwards, in this order, so that the budget is not charged for a retry that
/// can't be sent.
pub fn allows_retry(failed: &FailedAttempt) -> bool {
    let safe = failed.known_not_run || failed.repeatable;
    safe && failed.replayable
        && failed.allowance_left > 0
        && failed.expected_answer < failed.deadline
}
