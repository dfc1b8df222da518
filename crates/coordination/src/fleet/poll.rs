//! Schedules the reads of the platform's service.
//!
//! The whole fleet together reads it at a bounded rate, however many nodes there are.
//! A node whose reads return what peers already sent reads less often. A node whose
//! reads return something new, perhaps because few others can reach the service, reads
//! more often.

use std::time::Duration;

use lifthollow_state::Timestamp;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Target rates of the reads of the whole fleet, in reads per second.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadRate {
    /// Rate in reads per second if every node's reads return changes.
    pub with_changes: u32,
    /// Rate in reads per second if no node's reads return changes.
    pub without_changes: u32,
}

/// Minimum time between two reads of one node.
const SHORTEST_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction by which an interval is varied at random, so that nodes do not read
/// simultaneously.
const JITTER: f64 = 0.2;

/// Schedule of the reads of one resource of the platform.
#[derive(Debug)]
pub(super) struct Poll {
    rate: ReadRate,
    interval: Duration,
    next: Timestamp,
}

impl Poll {
    /// Starts a schedule whose first read is due immediately.
    pub fn new(rate: ReadRate) -> Self {
        Poll {
            rate,
            interval: SHORTEST_INTERVAL,
            next: Timestamp::ZERO,
        }
    }

    /// When the next read is due.
    pub fn next(&self) -> Timestamp {
        self.next
    }

    /// Returns whether a read is due; if so, schedules the next one. `members` is the
    /// number of nodes that share the rate.
    pub fn is_due(&mut self, now: Timestamp, members: usize, random: &mut ChaCha8Rng) -> bool {
        if now < self.next {
            return false;
        }
        self.interval = self.interval.max(interval(self.rate.with_changes, members));
        let jitter = random.random_range(1.0 - JITTER..1.0 + JITTER);
        self.next = now + self.interval.mul_f64(jitter);
        true
    }

    /// Adapts the interval after a successful read; `changed` is whether it returned
    /// something new.
    pub fn record_success(&mut self, changed: bool, members: usize) {
        self.interval = match changed {
            true => interval(self.rate.with_changes, members),
            false => (self.interval * 2).min(interval(self.rate.without_changes, members)),
        };
    }
}

/// The interval for each of `members` nodes that together read `rate` times per
/// second.
fn interval(rate: u32, members: usize) -> Duration {
    Duration::from_secs_f64(members as f64 / f64::from(rate)).max(SHORTEST_INTERVAL)
}
