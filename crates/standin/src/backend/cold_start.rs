//! Slowness of a back end that has just started.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Slower for the first calls and the first time after the start.
pub struct ColdStart {
    factor: f64,
    calls: u64,
    duration: Duration,
    started: Instant,
    served: AtomicU64,
}

impl ColdStart {
    /// Cold from now on, until both `calls` calls and `duration` have passed.
    pub fn new(factor: f64, calls: u64, duration: Duration) -> Self {
        ColdStart {
            factor,
            calls,
            duration,
            started: Instant::now(),
            served: AtomicU64::new(0),
        }
    }

    /// Counts a call; returns by how much it is slower.
    pub fn next_factor(&self) -> f64 {
        let served = self.served.fetch_add(1, Ordering::Relaxed);
        let cold = served < self.calls || self.started.elapsed() < self.duration;
        if cold { self.factor } else { 1.0 }
    }
}
