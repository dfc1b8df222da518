//! Pacing of the attempts that a caller's node sends to a server with a rate limit.
//!
//! A node doesn't know its share of the limit, because it depends on what all other nodes send. The
//! node lengthens its send interval each time that an attempt is rejected for the limit, and
//! shortens the interval a little for each attempt that is served.

use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::RequestRate;

use super::{allowed_per_second, gets_trials_only};

/// Factor by which the interval grows when the server's node rejects an attempt.
const REJECTED_INTERVAL_FACTOR: f64 = 1.5;
/// Factor by which the interval shrinks when an attempt is served. Together with
/// [`REJECTED_INTERVAL_FACTOR`], about one attempt in fourteen is rejected when many nodes share a
/// limit.
const SERVED_INTERVAL_FACTOR: f64 = 0.97;
/// Maximum interval between attempts, within which a node learns that the server accepts more
/// again.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval, as a fraction of the interval that the limit allows to a single node. A node
/// that is alone sends slightly more than the limit allows; otherwise it would never find out that
/// no other node sends.
const MIN_INTERVAL_FRACTION: f64 = 0.9;

/// Send interval of a node for a server with a rate limit, and the time of its next attempt.
#[derive(Clone, Copy, Debug)]
pub struct SendPace {
    limit: RequestRate,
    interval: Duration,
    next_at: Timestamp,
}

impl SendPace {
    /// Creates the pace for a server that has announced `limit` for the first time.
    pub fn new(now: Timestamp, limit: RequestRate) -> Self {
        let interval = min_interval(limit);
        SendPace {
            limit,
            interval,
            next_at: now + interval,
        }
    }

    /// Returns the limit that the server announced.
    pub fn limit(&self) -> RequestRate {
        self.limit
    }

    /// Sets a new limit that the server announced, and changes this node's share of it in
    /// proportion.
    pub fn set_limit(&mut self, limit: RequestRate) {
        let ratio = allowed_per_second(self.limit) / allowed_per_second(limit);
        self.limit = limit;
        self.set_interval(self.interval.mul_f64(ratio));
    }

    /// Records that an attempt was sent at `now`, and schedules the next one.
    pub fn record_attempt(&mut self, now: Timestamp) {
        let next_at = self.next_at.max(now) + self.interval;
        self.next_at = next_at.min(now + MAX_INTERVAL);
    }

    /// Records that the server ran an attempt, and shortens the interval.
    pub fn record_success(&mut self) {
        self.set_interval(self.interval.mul_f64(SERVED_INTERVAL_FACTOR));
    }

    /// Records that the server's node rejected an attempt for the limit, and lengthens the
    /// interval.
    pub fn record_rejection(&mut self, now: Timestamp) {
        self.set_interval(self.interval.mul_f64(REJECTED_INTERVAL_FACTOR));
        self.next_at = now + self.interval;
    }

    /// Returns the time until the next attempt may be sent to the server. A server whose limit is
    /// so low that it only gets occasional trials should get no attempt that can't be retried,
    /// because it is likely to refuse it; the maximum interval is returned for such an attempt.
    pub fn time_until_next(&self, now: Timestamp, may_retry: bool) -> Duration {
        if gets_trials_only(self.limit) && !may_retry {
            return MAX_INTERVAL;
        }
        self.next_at.saturating_since(now)
    }

    fn set_interval(&mut self, interval: Duration) {
        self.interval = interval.clamp(min_interval(self.limit), MAX_INTERVAL);
    }
}

fn min_interval(limit: RequestRate) -> Duration {
    let seconds = MIN_INTERVAL_FRACTION / allowed_per_second(limit);
    Duration::from_secs_f64(seconds).min(MAX_INTERVAL)
}
