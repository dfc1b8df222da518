//! Decides how long a request may wait in the queues of servers.
//!
//! Time that a request loses at a server that fails it, such as one that stopped answering, says
//! nothing about how full the other servers are and does not count. If it did, a request that moves
//! on after such a loss would be refused by each server whose slots are all taken for a few
//! milliseconds.

use std::time::Duration;

use lifthollow_state::Timestamp;

/// The fraction of the route's target latency that a request may spend in queues. Of the time until
/// its deadline it may spend no more than this fraction in the next queue.
const QUEUE_FRACTION: f64 = 0.2;
/// The fraction of its remaining time that a nested call may spend in the next queue.
const NESTED_QUEUE_FRACTION: f64 = 0.5;
/// The longest time that a request may spend in queues if its route has no target latency.
const DEFAULT_QUEUE_TIME: Duration = Duration::from_millis(200);

/// The time that one request may spend in queues, and since when it counts.
#[derive(Clone, Copy, Debug)]
pub struct QueueTime {
    is_nested: bool,
    /// The longest time in all queues together; does not apply to nested calls.
    allowed: Duration,
    /// Since when all time counts: when the request's body was complete, plus the time that it has
    /// lost since.
    counted_from: Timestamp,
}

impl QueueTime {
    /// Creates the queue time of a request whose body is complete at `now`, on a route with this target
    /// latency. `is_nested` states whether a server makes the request for one that it runs.
    pub fn new(now: Timestamp, target_latency: Option<Duration>, is_nested: bool) -> Self {
        let fraction = |target: Duration| target.mul_f64(QUEUE_FRACTION);
        QueueTime {
            is_nested,
            allowed: target_latency.map_or(DEFAULT_QUEUE_TIME, fraction),
            counted_from: now,
        }
    }

    /// Records that the time since `sent` was lost at a server that failed the attempt sent then.
    pub fn record_loss(&mut self, now: Timestamp, sent: Timestamp) {
        let counted_before = sent.saturating_since(self.counted_from);
        self.counted_from = now.saturating_sub(counted_before);
    }

    /// The longest time that the request may wait in its next queue.
    pub fn max_wait(&self, now: Timestamp, deadline: Timestamp) -> Duration {
        let left = deadline.saturating_since(now);
        if self.is_nested {
            return left.mul_f64(NESTED_QUEUE_FRACTION);
        }
        let counted = now.saturating_since(self.counted_from);
        let allowed = self.allowed.saturating_sub(counted);
        allowed.min(left.mul_f64(QUEUE_FRACTION))
    }
}
