//! Whether an attempt that came to nothing is followed by another.

use lifthollow_state::Timestamp;

/// What is known about the call when its attempt has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Every attempt so far is known not to have run.
    pub known_not_run: bool,
    /// The call may be run again.
    pub repeatable: bool,
    /// The body is at hand.
    pub replayable: bool,
    /// Retries left to the call.
    pub allowance_left: u8,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// When an attempt sent now would likely be answered.
    pub likely_answer: Timestamp,
}

/// Whether the call allows for another attempt. That there is another server
/// with capacity and that the edge's budget pays is asked afterwards, in this
/// order, so that nothing is paid for a retry that can't be sent.
pub fn allows_retry(failed: &FailedAttempt) -> bool {
    let safe = failed.known_not_run || failed.repeatable;
    safe && failed.replayable && failed.allowance_left > 0 && failed.likely_answer < failed.deadline
}
