//! Lets no more requests to a server than it takes.

use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::RequestRate;

use super::allowed_per_second;

/// Unused requests are kept for this time. Longer, and a burst after silence would be taken for
/// the rate.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Whose word the limit is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Source {
    /// Nobody's, or other nodes': the server has not answered this node yet.
    #[default]
    OtherNodes,
    /// The server's.
    Server,
}

/// A token bucket at the node beside a server; open while the server names no limit.
#[derive(Clone, Debug, Default)]
pub struct RateGate {
    limit: Option<RequestRate>,
    source: Source,
    /// Requests that may pass at `refilled`.
    tokens: f64,
    refilled: Timestamp,
}

impl RateGate {
    /// The server has answered, and named this limit or none.
    pub fn server_named(&mut self, now: Timestamp, limit: Option<RequestRate>) {
        self.source = Source::Server;
        self.set_limit(now, limit);
    }

    /// Another node was told this limit. It counts until the server answers this node: one that
    /// has started anew would let a burst pass before.
    pub fn others_were_told(&mut self, now: Timestamp, limit: RequestRate) {
        if self.source == Source::OtherNodes {
            self.set_limit(now, Some(limit));
        }
    }

    /// Another start of a server stands beside the node: it has named nothing, and what other
    /// nodes were told is of the start before.
    pub fn server_started(&mut self) {
        self.limit = None;
        self.source = Source::Server;
    }

    /// Whether the server names a limit.
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Whether a request may pass.
    pub fn has_token(&self, now: Timestamp) -> bool {
        self.limit
            .is_none_or(|limit| self.tokens_at(now, limit) >= 1.0)
    }

    /// Lets a request pass, if one may.
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

    /// A request that was let pass has not reached the server.
    pub fn give_back(&mut self) {
        if self.limit.is_some() {
            self.tokens += 1.0;
        }
    }

    /// The time until `count` requests may have passed.
    pub fn time_until(&self, now: Timestamp, count: usize) -> Duration {
        let Some(limit) = self.limit else {
            return Duration::ZERO;
        };
        let lacking = (count as f64 - self.tokens_at(now, limit)).max(0.0);
        Duration::from_secs_f64(lacking / allowed_per_second(limit))
    }

    /// Requests that the server has at once at its limit, each taking `service_time`; none if it
    /// names no limit.
    pub fn slots_used(&self, service_time: Duration) -> Option<u32> {
        let allowed = allowed_per_second(self.limit?);
        let used = (allowed * service_time.as_secs_f64()).ceil();
        Some((used as u32).max(1))
    }

    fn set_limit(&mut self, now: Timestamp, limit: Option<RequestRate>) {
        match self.limit {
            Some(before) => self.refill(now, before),
            None => self.tokens = 0.0,
        }
        self.refilled = now;
        self.limit = limit;
    }

    fn refill(&mut self, now: Timestamp, limit: RequestRate) {
        self.tokens = self.tokens_at(now, limit);
        self.refilled = now;
    }

    fn tokens_at(&self, now: Timestamp, limit: RequestRate) -> f64 {
        let allowed = allowed_per_second(limit);
        let passed = now.saturating_since(self.refilled).as_secs_f64();
        let most = (allowed * BURST_TIME.as_secs_f64()).max(1.0);
        (self.tokens + passed * allowed).min(most)
    }
}
