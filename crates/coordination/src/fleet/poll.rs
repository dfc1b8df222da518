//! When the platform's service is read.
//!
//! The whole fleet together reads it at a bounded rate, however many nodes there
//! are. A node whose reads bring what peers already told it reads less often; one
//! whose reads bring news, perhaps because few others can reach the service,
//! reads more often.

use std::time::Duration;

use lifthollow_state::Timestamp;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Reads a second of the whole fleet, at which intervals aim.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadRate {
    /// While reads bring news.
    pub with_news: u32,
    /// While they do not.
    pub without_news: u32,
}

/// Between reads at least.
const SHORTEST_INTERVAL: Duration = Duration::from_secs(1);
/// Share by which an interval is varied, so that nodes do not read together.
const JITTER: f64 = 0.2;

/// The schedule of reading one thing.
#[derive(Debug)]
pub(super) struct Poll {
    rate: ReadRate,
    interval: Duration,
    next: Timestamp,
}

impl Poll {
    /// The first read is due at once.
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

    /// Whether a read is due; if so, the next one is scheduled.
    pub fn is_due(&mut self, now: Timestamp, members: usize, random: &mut ChaCha8Rng) -> bool {
        if now < self.next {
            return false;
        }
        self.interval = self.interval.max(interval(self.rate.with_news, members));
        let jitter = random.random_range(1.0 - JITTER..1.0 + JITTER);
        self.next = now + self.interval.mul_f64(jitter);
        true
    }

    /// A read has succeeded and brought news or not.
    pub fn succeeded(&mut self, news: bool, members: usize) {
        self.interval = match news {
            true => interval(self.rate.with_news, members),
            false => (self.interval * 2).min(interval(self.rate.without_news, members)),
        };
    }
}

/// The interval of one of `members` nodes that together read `rate` times a second.
fn interval(rate: u32, members: usize) -> Duration {
    Duration::from_secs_f64(members as f64 / f64::from(rate)).max(SHORTEST_INTERVAL)
}
