//! Rate limiter at the node beside a server, which enforces the limit that the server announces.

use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::RequestRate;

use super::allowed_per_second;

/// Time for which unused tokens accumulate. If it were longer, the burst after an idle period could
/// exceed the limit within the window in which it is judged.
const TOKEN_ACCUMULATION_TIME: Duration = Duration::from_millis(500);

/// Origin of the limit that a rate limiter enforces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LimitSource {
    /// The limit was reported by other nodes, or there is none: the server has not answered this
    /// node yet.
    #[default]
    OtherNodes,
    /// The server itself announced the limit, or announced none.
    Server,
}

/// Token bucket at the node beside a server; all requests pass while the server announces no limit.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    limit: Option<RequestRate>,
    source: LimitSource,
    /// Number of requests that may pass at `refilled_at`.
    tokens: f64,
    refilled_at: Timestamp,
}

impl RateLimiter {
    /// Sets the limit that the server announced in an answer, or none.
    pub fn set_announced_limit(&mut self, now: Timestamp, limit: Option<RequestRate>) {
        self.source = LimitSource::Server;
        self.set_limit(now, limit);
    }

    /// Sets a limit that the server announced to another node. It applies until the server answers
    /// this node. Without it, a node that has just restarted would let a burst pass before that
    /// answer.
    pub fn note_limit_told_to_others(&mut self, now: Timestamp, limit: RequestRate) {
        if self.source == LimitSource::OtherNodes {
            self.set_limit(now, Some(limit));
        }
    }

    /// Removes the limit after the server beside the node has restarted: the new process has
    /// announced nothing, and limits that other nodes report are those of the previous process.
    pub fn reset_after_restart(&mut self) {
        self.limit = None;
        self.source = LimitSource::Server;
    }

    /// Returns whether the rate limiter enforces a limit.
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns whether a request may pass at `now`.
    pub fn has_token(&self, now: Timestamp) -> bool {
        self.limit
            .is_none_or(|limit| self.tokens_at(now, limit) >= 1.0)
    }

    /// Takes a token for a request and returns whether the request may pass.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        self.refill(now, limit);
        let may_pass = self.tokens >= 1.0;
        if may_pass {
            self.tokens -= 1.0;
        }
        may_pass
    }

    /// Returns the token of a request that may pass but did not reach the server.
    pub fn return_unused_token(&mut self) {
        if self.limit.is_some() {
            self.tokens += 1.0;
        }
    }

    /// Returns the time until `count` requests may have passed, counted from `now`.
    pub fn time_until(&self, now: Timestamp, count: usize) -> Duration {
        let Some(limit) = self.limit else {
            return Duration::ZERO;
        };
        let missing_tokens = (count as f64 - self.tokens_at(now, limit)).max(0.0);
        Duration::from_secs_f64(missing_tokens / allowed_per_second(limit))
    }

    /// Returns the number of requests that the server handles concurrently when it is at its limit
    /// and each takes `service_time`; `None` without a limit.
    pub fn concurrency_at_limit(&self, service_time: Duration) -> Option<u32> {
        let allowed = allowed_per_second(self.limit?);
        let used = (allowed * service_time.as_secs_f64()).ceil();
        Some((used as u32).max(1))
    }

    fn set_limit(&mut self, now: Timestamp, limit: Option<RequestRate>) {
        match self.limit {
            Some(previous) => self.refill(now, previous),
            None => self.tokens = 0.0,
        }
        self.refilled_at = now;
        self.limit = limit;
    }

    fn refill(&mut self, now: Timestamp, limit: RequestRate) {
        self.tokens = self.tokens_at(now, limit);
        self.refilled_at = now;
    }

    fn tokens_at(&self, now: Timestamp, limit: RequestRate) -> f64 {
        let allowed = allowed_per_second(limit);
        let elapsed = now.saturating_since(self.refilled_at).as_secs_f64();
        let max_tokens = (allowed * TOKEN_ACCUMULATION_TIME.as_secs_f64()).max(1.0);
        (self.tokens + elapsed * allowed).min(max_tokens)
    }
}
