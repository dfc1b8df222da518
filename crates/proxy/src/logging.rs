//! Bounds the number of lines about requests.

use std::cell::RefCell;
use std::time::Duration;

use lifthollow_state::Timestamp;

/// Lines about requests that may be written at once.
const BURST: f64 = 100.0;
/// Lines about requests that may be written in a second on the long run.
const PER_SECOND: f64 = 20.0;

/// Bounds the lines about requests; what is left out is counted.
#[derive(Debug, Default)]
pub struct LineLimit(RefCell<LimitState>);

#[derive(Debug)]
struct LimitState {
    tokens: f64,
    refilled: Timestamp,
    left_out: u64,
}

impl Default for LimitState {
    fn default() -> Self {
        LimitState {
            tokens: BURST,
            refilled: Timestamp::ZERO,
            left_out: 0,
        }
    }
}

impl LineLimit {
    /// Whether another line may be written now.
    pub fn allows(&self, now: Timestamp) -> bool {
        let mut state = self.0.borrow_mut();
        let passed: Duration = now.saturating_since(state.refilled);
        state.tokens = (state.tokens + passed.as_secs_f64() * PER_SECOND).min(BURST);
        state.refilled = now;
        if state.tokens < 1.0 {
            state.left_out += 1;
            return false;
        }
        state.tokens -= 1.0;
        true
    }

    /// The lines left out since this was last asked.
    pub fn take_left_out(&self) -> u64 {
        std::mem::take(&mut self.0.borrow_mut().left_out)
    }
}
