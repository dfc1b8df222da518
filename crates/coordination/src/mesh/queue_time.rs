//! Decides how long a request may wait in the queues of servers.
//!
//! Only time spent in queues counts. Time that a request loses otherwise, such as at a server that
//! stopped answering or while its body arrives, says nothing about how full the servers are. If it
//! counted, a request that moves on after such a loss would be refused by each server whose slots are
//! all taken for a few milliseconds.

use std::time::Duration;

use lifthollow_state::Timestamp;

/// The fraction of the route's target latency that a request may spend in queues. Of the time until
/// its deadline it may spend no more than this fraction in the next queue.
const QUEUE_FRACTION: f64 = 0.2;
/// The fraction of its remaining time that a nested call may spend in the next queue.
const NESTED_QUEUE_FRACTION: f64 = 0.5;
/// The longest time that a request may spend in queues if its route has no target latency.
const DEFAULT_QUEUE_TIME: Duration = Duration::from_millis(200);

/// The time that one request may spend in queues, and what it has spent of it.
#[derive(Clone, Copy, Debug)]
pub struct QueueTime {
    is_nested: bool,
    /// The longest time in all queues together; does not apply to nested calls.
    allowed: Duration,
    /// Time spent in queues that the request left without being run.
    spent: Duration,
}

impl QueueTime {
    /// Creates the queue time of a request on a route with this target latency. `is_nested` states
    /// whether a server makes the request for one that it runs.
    pub fn new(target_latency: Option<Duration>, is_nested: bool) -> Self {
        let fraction = |target: Duration| target.mul_f64(QUEUE_FRACTION);
        QueueTime {
            is_nested,
            allowed: target_latency.map_or(DEFAULT_QUEUE_TIME, fraction),
            spent: Duration::ZERO,
        }
    }

    /// Records that the request waited this long in a queue and left it without being run.
    pub fn record_wait(&mut self, waited: Duration) {
        self.spent += waited;
    }

    /// The longest time that the request may wait in its next queue.
    pub fn max_wait(&self, now: Timestamp, deadline: Timestamp) -> Duration {
        let left = deadline.saturating_since(now);
        if self.is_nested {
            return left.mul_f64(NESTED_QUEUE_FRACTION);
        }
        let allowed = self.allowed.min(left.mul_f64(QUEUE_FRACTION));
        allowed.saturating_sub(self.spent)
    }
}
