//! Rate limit for messages that a node sends at the request of others.

use std::time::Duration;

use lifthollow_state::Timestamp;

/// A token bucket that grants up to `burst` tokens at once and `per_second` tokens per
/// second in the long term.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    per_second: f64,
    burst: f64,
    available: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(per_second: u32, burst: u32) -> Self {
        TokenBucket {
            per_second: f64::from(per_second),
            burst: f64::from(burst),
            available: f64::from(burst),
            refilled_at: Timestamp::ZERO,
        }
    }

    /// Takes up to `wanted` tokens and returns how many were available.
    pub fn take(&mut self, now: Timestamp, wanted: u32) -> u32 {
        self.refill(now.saturating_since(self.refilled_at));
        self.refilled_at = now.max(self.refilled_at);
        let granted = self.available.floor().min(f64::from(wanted));
        self.available -= granted;
        granted as u32
    }

    fn refill(&mut self, elapsed: Duration) {
        let refill = elapsed.as_secs_f64() * self.per_second;
        self.available = (self.available + refill).min(self.burst);
    }
}
