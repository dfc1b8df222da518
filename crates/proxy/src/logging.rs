//! Limits the rate of log lines about requests.

use std::cell::RefCell;
use std::time::Duration;

use lifthollow_state::Timestamp;

/// The largest number of log lines about requests that may be written in a burst.
const BURST_LINES: f64 = 100.0;
/// The largest long-term rate of log lines about requests, in lines a second.
const LINES_PER_SECOND: f64 = 20.0;

/// Limits the rate of log lines about requests, and counts the lines that were left out.
#[derive(Debug, Default)]
pub struct LogRateLimit(RefCell<TokenBucket>);

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled: Timestamp,
    left_out: u64,
}

impl Default for TokenBucket {
    fn default() -> Self {
        TokenBucket {
            tokens: BURST_LINES,
            refilled: Timestamp::ZERO,
            left_out: 0,
        }
    }
}

impl LogRateLimit {
    /// Whether another line may be written now. Counts the line as left out if not.
    pub fn allows(&self, now: Timestamp) -> bool {
        let mut state = self.0.borrow_mut();
        let passed: Duration = now.saturating_since(state.refilled);
        state.tokens = (state.tokens + passed.as_secs_f64() * LINES_PER_SECOND).min(BURST_LINES);
        state.refilled = now;
        if state.tokens < 1.0 {
            state.left_out += 1;
            return false;
        }
        state.tokens -= 1.0;
        true
    }

    /// Returns the number of lines left out since the last call.
    pub fn take_left_out(&self) -> u64 {
        std::mem::take(&mut self.0.borrow_mut().left_out)
    }
}
