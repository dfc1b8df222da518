//! The retry allowance of a whole request where it enters the fleet.

use lifthollow_state::RetryAllowance;

/// Number of retries that the whole request tree of a client's first attempt may
/// make.
const ENTRY_ALLOWANCE: RetryAllowance = RetryAllowance(3);

/// Number of a client's attempt at one request, as stated by the client; the first
/// is 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub u32);

impl AttemptNumber {
    /// Number of the first attempt.
    pub const FIRST: AttemptNumber = AttemptNumber(1);
}

/// The retry allowance of a request that enters as a client's `attempt`. A repeat
/// by the client is a retry itself, so no further retries are made below it.
pub fn entry_allowance(attempt: AttemptNumber) -> RetryAllowance {
    if attempt <= AttemptNumber::FIRST {
        ENTRY_ALLOWANCE
    } else {
        RetryAllowance(0)
    }
}
