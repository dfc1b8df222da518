//! The process's monotonic clock as timestamps. In a simulation it is the virtual
//! clock of its run time.

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
            origin: instant_now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Timestamp {
        let passed = instant_now().saturating_duration_since(self.origin);
        Timestamp::from_micros(passed.as_micros() as u64)
    }

    /// The instant at which `timestamp` is or was.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.origin + Duration::from_micros(timestamp.as_micros())
    }
}

fn instant_now() -> Instant {
    tokio::time::Instant::now().into_std()
}
