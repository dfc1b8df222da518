//! The clock of a process, which returns timestamps.
//!
//! While a machine is suspended its monotonic clock stops, but its boot-time clock continues.
//! Timestamps are read from the boot-time clock, because they measure the ages of views, leases,
//! deadlines and windows, for which the time during a suspension counts.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use lifthollow_state::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// The system clock from which timestamps are read. With the monotonic clock, a view had an age
/// of only 1.2 s after a suspension of 2 s (simulated nodes, test `suspended_machines`).
const TIMESTAMP_CLOCK: ClockId = ClockId::Boottime;

/// Clock that returns timestamps. Copies of a clock share one origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: Source,
    origin: Duration,
}

#[derive(Clone, Copy, Debug)]
enum Source {
    System,
    Simulated {
        suspension: &'static SimulatedSuspension,
        start: Instant,
    },
}

/// Total time for which a simulated machine was suspended since its node started. The time of a
/// simulated machine is that of the tokio runtime, which the simulation advances.
#[derive(Debug, Default)]
pub struct SimulatedSuspension {
    micros: AtomicU64,
}

impl SimulatedSuspension {
    /// Adds `time` to the total time for which the simulated monotonic clock was stopped.
    pub fn add(&self, time: Duration) {
        let micros = time.as_micros() as u64;
        self.micros.fetch_add(micros, Ordering::Relaxed);
    }

    fn total(&self) -> Duration {
        Duration::from_micros(self.micros.load(Ordering::Relaxed))
    }
}

impl Clock {
    /// Creates a clock that reads the system's clock, with its origin at the present time.
    pub fn start() -> Self {
        Clock::of(Source::System)
    }

    /// Creates the clock of a simulated machine, with its origin at the present time.
    pub fn simulated(suspension: &'static SimulatedSuspension) -> Self {
        Clock::of(Source::Simulated {
            suspension,
            start: instant_now(),
        })
    }

    fn of(source: Source) -> Self {
        Clock {
            source,
            origin: source.read(),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Timestamp {
        let passed = self.source.read().saturating_sub(self.origin);
        Timestamp::from_micros(passed.as_micros() as u64)
    }

    /// Converts `timestamp` to an instant of the tokio runtime's timers, under the assumption that
    /// the machine is not suspended until then.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        let (now, instant) = (self.now(), instant_now());
        if timestamp >= now {
            return instant + timestamp.saturating_since(now);
        }
        let passed = now.saturating_since(timestamp);
        instant.checked_sub(passed).unwrap_or(instant)
    }
}

impl Source {
    /// Reads the time since an arbitrary origin.
    fn read(self) -> Duration {
        match self {
            Source::System => {
                let time = clock_gettime(TIMESTAMP_CLOCK);
                Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
            }
            Source::Simulated { suspension, start } => {
                let passed = instant_now().saturating_duration_since(start);
                match TIMESTAMP_CLOCK {
                    ClockId::Boottime => passed,
                    _ => passed.saturating_sub(suspension.total()),
                }
            }
        }
    }
}

fn instant_now() -> Instant {
    tokio::time::Instant::now().into_std()
}
