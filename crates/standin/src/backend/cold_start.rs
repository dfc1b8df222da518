//! Increased service times of a back end that has just started.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Multiplies service times by a constant factor during the first calls and the first period
/// after the start of a back end.
pub struct ColdStart {
    factor: f64,
    calls: u64,
    duration: Duration,
    started: Instant,
    served: AtomicU64,
}

impl ColdStart {
    /// Creates a back end's cold start, which begins now and ends once `calls` calls have been
    /// served and `duration` has passed.
    pub fn new(factor: f64, calls: u64, duration: Duration) -> Self {
        ColdStart {
            factor,
            calls,
            duration,
            started: Instant::now(),
            served: AtomicU64::new(0),
        }
    }

    /// Counts a call and returns the factor by which to multiply its service time.
    pub fn next_factor(&self) -> f64 {
        let served = self.served.fetch_add(1, Ordering::Relaxed);
        let cold = served < self.calls || self.started.elapsed() < self.duration;
        if cold { self.factor } else { 1.0 }
    }
}
