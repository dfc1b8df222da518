//! The retries that a whole request starts with.

use lifthollow_state::RetryAllowance;

/// Granted to the first attempt of a client's request.
const ENTRY_ALLOWANCE: RetryAllowance = RetryAllowance(3);

/// Which attempt of one request a client says it is making; the first is 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub u32);

impl AttemptNumber {
    /// The first attempt.
    pub const FIRST: AttemptNumber = AttemptNumber(1);
}

/// The allowance of a request that enters with a client's `attempt`. A client
/// that repeats a request is its retry: nothing more is added below it.
pub fn entry_allowance(attempt: AttemptNumber) -> RetryAllowance {
    if attempt <= AttemptNumber::FIRST {
        ENTRY_ALLOWANCE
    } else {
        RetryAllowance(0)
    }
}
