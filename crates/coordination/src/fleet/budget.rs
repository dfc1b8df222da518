//! A ceiling on what a node sends for the sake of others.

use std::time::Duration;

use lifthollow_state::Timestamp;

/// A token bucket: `burst` units at once, `per_second` units in the long run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budget {
    per_second: f64,
    burst: f64,
    available: f64,
    refilled: Timestamp,
}

impl Budget {
    /// A full bucket.
    pub fn new(per_second: u32, burst: u32) -> Self {
        Budget {
            per_second: f64::from(per_second),
            burst: f64::from(burst),
            available: f64::from(burst),
            refilled: Timestamp::ZERO,
        }
    }

    /// Takes up to `wanted` units and says how many were there.
    pub fn take(&mut self, now: Timestamp, wanted: u32) -> u32 {
        self.refill(now.saturating_since(self.refilled));
        self.refilled = now.max(self.refilled);
        let granted = self.available.floor().min(f64::from(wanted));
        self.available -= granted;
        granted as u32
    }

    fn refill(&mut self, passed: Duration) {
        let refill = passed.as_secs_f64() * self.per_second;
        self.available = (self.available + refill).min(self.burst);
    }
}
