//! The process's monotonic clock as timestamps.

use std::time::{Duration, Instant};

use lifthollow_state::Timestamp;

/// Reads the monotonic clock. Copies share one origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn start() -> Self {
        Clock {
            origin: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Timestamp {
        let passed = self.origin.elapsed();
        Timestamp::from_micros(passed.as_micros() as u64)
    }

    /// The instant at which `timestamp` is or was.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.origin + Duration::from_micros(timestamp.as_micros())
    }
}
