//! Timestamps that are passed as values, so that decision code never reads a clock.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on the local monotonic clock of one process, in microseconds since
/// an arbitrary origin.
///
/// Timestamps of two processes are never compared: a remaining [`Duration`] is
/// sent over the network instead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp {
    micros: u64,
}

impl Timestamp {
    /// The clock's origin.
    pub const ZERO: Timestamp = Timestamp { micros: 0 };

    /// A timestamp `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Timestamp { micros }
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// Seconds since the origin.
    pub fn as_secs_f64(self) -> f64 {
        self.micros as f64 / 1e6
    }

    /// Time passed since `earlier`; zero if `earlier` lies in the future.
    pub fn saturating_since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }

    /// This timestamp moved back by `duration`, at the earliest to the origin.
    pub fn saturating_sub(self, duration: Duration) -> Timestamp {
        Timestamp::from_micros(self.micros.saturating_sub(duration.as_micros() as u64))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp::from_micros(self.micros.saturating_add(micros))
    }
}

impl Sub<Timestamp> for Timestamp {
    type Output = Duration;

    /// Saturates at zero, like [`Timestamp::saturating_since`].
    fn sub(self, earlier: Timestamp) -> Duration {
        self.saturating_since(earlier)
    }
}
