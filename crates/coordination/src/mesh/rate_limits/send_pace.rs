//! How often a caller's node tries a server that names a limit.
//!
//! Nobody tells a node its part of the limit, since that depends on what all others send. A node
//! tries less often each time that it is turned away, and a little more often each time that it is
//! not.

use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::RequestRate;

use super::{allowed_per_second, gets_trials_only};

/// By how much the interval grows when the server's node turns an attempt away.
const SLOW_DOWN: f64 = 1.5;
/// By how much it shrinks when an attempt is served. With [`SLOW_DOWN`], about one in fourteen is
/// turned away where many nodes share a limit.
const SPEED_UP: f64 = 0.97;
/// The longest interval. Within it, a node learns that the server takes more again.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// A node that is alone tries a little more often than the limit allows, or would never find out
/// that there is no other.
const SHORTEST: f64 = 0.9;

/// When a node may next send to a server that names a limit.
#[derive(Clone, Copy, Debug)]
pub struct SendPace {
    limit: RequestRate,
    interval: Duration,
    next: Timestamp,
}

impl SendPace {
    /// The server has named `limit` for the first time.
    pub fn new(now: Timestamp, limit: RequestRate) -> Self {
        let interval = shortest_interval(limit);
        SendPace {
            limit,
            interval,
            next: now + interval,
        }
    }

    /// The limit.
    pub fn limit(&self) -> RequestRate {
        self.limit
    }

    /// The server names another limit: this node's part of it changes alike.
    pub fn set_limit(&mut self, limit: RequestRate) {
        let ratio = allowed_per_second(self.limit) / allowed_per_second(limit);
        self.limit = limit;
        self.set_interval(self.interval.mul_f64(ratio));
    }

    /// An attempt was sent.
    pub fn sent(&mut self, now: Timestamp) {
        let next = self.next.max(now) + self.interval;
        self.next = next.min(now + MAX_INTERVAL);
    }

    /// The server ran an attempt.
    pub fn served(&mut self) {
        self.set_interval(self.interval.mul_f64(SPEED_UP));
    }

    /// The server's node turned an attempt away.
    pub fn turned_away(&mut self, now: Timestamp) {
        self.set_interval(self.interval.mul_f64(SLOW_DOWN));
        self.next = now + self.interval;
    }

    /// The time until the server should get another attempt. One that is only tried now and then
    /// should get none that can't be repeated: it may well refuse to run it.
    pub fn time_until_next(&self, now: Timestamp, may_repeat: bool) -> Duration {
        if gets_trials_only(self.limit) && !may_repeat {
            return MAX_INTERVAL;
        }
        self.next.saturating_since(now)
    }

    fn set_interval(&mut self, interval: Duration) {
        self.interval = interval.clamp(shortest_interval(self.limit), MAX_INTERVAL);
    }
}

fn shortest_interval(limit: RequestRate) -> Duration {
    let seconds = SHORTEST / allowed_per_second(limit);
    Duration::from_secs_f64(seconds).min(MAX_INTERVAL)
}
