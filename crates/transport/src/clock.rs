//! The time of a process as timestamps.
//!
//! While a machine is suspended its steady clock stands still, and the time since its boot
//! goes on. Timestamps count the latter: what they are for (ages of views, leases,
//! deadlines, windows) is about the world outside, where time has passed.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use lifthollow_state::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// The clock that timestamps count. With the steady clock a view counted as 1.2 s old after a
/// suspension of 2 s (simulated nodes, test `suspended_machines`).
const COUNTED: ClockId = ClockId::Boottime;

/// Reads the time. Copies share one origin.
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

/// How long a simulated machine was suspended since its node started. Its time is that of
/// the run time, which a simulation moves.
#[derive(Debug, Default)]
pub struct SimulatedSuspension {
    micros: AtomicU64,
}

impl SimulatedSuspension {
    /// The steady clock has stood still for `time` more.
    pub fn add(&self, time: Duration) {
        let micros = time.as_micros() as u64;
        self.micros.fetch_add(micros, Ordering::Relaxed);
    }

    fn total(&self) -> Duration {
        Duration::from_micros(self.micros.load(Ordering::Relaxed))
    }
}

impl Clock {
    /// The system's clock, with its origin now.
    pub fn start() -> Self {
        Clock::of(Source::System)
    }

    /// The clock of a simulated machine, with its origin now.
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

    /// The time now.
    pub fn now(&self) -> Timestamp {
        let passed = self.source.read().saturating_sub(self.origin);
        Timestamp::from_micros(passed.as_micros() as u64)
    }

    /// The instant of the run time's timers at which `timestamp` is or was, if the machine is
    /// not suspended until then.
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
    /// The time that is counted, from an arbitrary origin.
    fn read(self) -> Duration {
        match self {
            Source::System => {
                let time = clock_gettime(COUNTED);
                Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
            }
            Source::Simulated { suspension, start } => {
                let passed = instant_now().saturating_duration_since(start);
                match COUNTED {
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
