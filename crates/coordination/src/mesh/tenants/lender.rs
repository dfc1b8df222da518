//! Lending of one tenant's tokens to the nodes that ask for them.
//!
//! The lender keeps one token bucket for the tenant. While that holds enough tokens, nodes get as
//! many as they ask for and some in advance. When it runs out, each node gets a share of the new
//! tokens in proportion to its share of the tenant's requests and asks again after a pause, so that
//! a tenant at many times its limit causes a bounded number of token requests to its lender.

use std::time::Duration;

use lifthollow_state::Timestamp;

use crate::mesh::tenants::fleet_quota::FleetQuota;

/// Minimum time after which a node that got fewer tokens than it asked for asks again, so each node
/// asks at most four times a second. For half of this time, on average, the tenant's requests find
/// no token at the node although the lender has one.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Maximum number of token requests per second to a lender; in larger fleets, nodes pause longer to
/// keep it.
const MAX_TOKEN_REQUESTS_PER_SECOND: f64 = 400.0;
/// Time constant of the exponentially decaying count from which a tenant's requests per second are
/// estimated. It is two pauses long, so that each node's requests are included.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Fraction of the burst that must be left for tokens to be lent in advance.
const MIN_BURST_LEFT_TO_PREFETCH: f64 = 0.5;

/// Request with which a node asks the lender for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenRequest {
    /// Number of requests that wait for a token.
    pub wanted: u32,
    /// Number of requests that arrived since the node last asked, whether or not they ran.
    pub arrived: u32,
    /// Number of requests that the node expects soon after.
    pub expected: u32,
}

/// Answer of the lender to a [`TokenRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Loan {
    /// Number of tokens lent.
    pub tokens: u32,
    /// Time for which the node must not ask again; zero if there were enough tokens.
    pub pause: Duration,
    /// Tokens per second that the node can expect while its tenant is at its limit; zero if the
    /// tenant is below its limit.
    pub rate: f64,
}

/// Token bucket of one tenant, from which nodes are lent tokens.
#[derive(Clone, Debug)]
pub struct Lender {
    tokens: f64,
    refilled_at: Timestamp,
    /// Exponentially decaying count of the requests that nodes reported.
    demand: f64,
    /// Whether there were too few tokens for the last token request.
    is_exhausted: bool,
}

impl Lender {
    /// Creates a lender that doesn't know what was lent before.
    pub fn without_history(now: Timestamp, quota: &FleetQuota) -> Self {
        Lender {
            tokens: quota.initial_tokens(),
            refilled_at: now,
            demand: 0.0,
            is_exhausted: false,
        }
    }

    /// Creates a lender for a node that was the tenant's lender for all of `idle` and lent nothing
    /// in this time.
    pub fn after_idle(now: Timestamp, quota: &FleetQuota, idle: Duration) -> Self {
        let saved = quota.initial_tokens() + quota.rate * idle.as_secs_f64();
        Lender {
            tokens: saved.min(quota.max_saved_tokens()),
            ..Lender::without_history(now, quota)
        }
    }

    /// Answers a node's token request. `random_fraction` is a random number from 0 to 1.
    pub fn lend(
        &mut self,
        now: Timestamp,
        quota: &FleetQuota,
        token_request: TokenRequest,
        random_fraction: f64,
    ) -> Loan {
        self.refill(now, quota);
        self.demand += f64::from(token_request.arrived);
        let wanted = f64::from(token_request.wanted);
        self.is_exhausted = self.tokens < wanted;
        if !self.is_exhausted {
            let tokens = wanted + self.prefetched_tokens(quota, token_request, wanted);
            self.tokens -= tokens;
            return Loan {
                tokens: tokens as u32,
                ..Loan::default()
            };
        }
        let demand = (self.demand / DEMAND_TIME_CONSTANT.as_secs_f64()).max(quota.rate);
        let arrived = f64::from(token_request.arrived);
        let fair_share = arrived * quota.rate / demand;
        // A node whose share is less than one token gets one at random, with its share as the
        // probability.
        let tokens = (fair_share + random_fraction).floor();
        let tokens = tokens.min(wanted).min(self.tokens.floor()).max(0.0);
        self.tokens -= tokens;
        let pause = pause_between_token_requests(quota);
        Loan {
            tokens: tokens as u32,
            pause,
            rate: fair_share / pause.as_secs_f64(),
        }
    }

    /// Returns whether the lender was asked recently: false once the bucket would have refilled
    /// since the last token request.
    pub fn is_in_use(&self, now: Timestamp, quota: &FleetQuota) -> bool {
        let idle = now.saturating_since(self.refilled_at).as_secs_f64();
        idle * quota.rate < quota.max_saved_tokens()
    }

    /// Returns whether there were too few tokens for the last token request: the tenant is at its
    /// limit.
    pub fn is_exhausted(&self) -> bool {
        self.is_exhausted
    }

    /// Returns the number of tokens left and the requests per second that nodes reported.
    pub fn load(&self) -> (f64, f64) {
        (
            self.tokens,
            self.demand / DEMAND_TIME_CONSTANT.as_secs_f64(),
        )
    }

    fn prefetched_tokens(
        &self,
        quota: &FleetQuota,
        token_request: TokenRequest,
        wanted: f64,
    ) -> f64 {
        let left = self.tokens - wanted;
        if left < quota.max_saved_tokens() * MIN_BURST_LEFT_TO_PREFETCH {
            return 0.0;
        }
        let prefetched = f64::from(token_request.expected).min(quota.max_prefetch());
        prefetched.min(left).floor()
    }

    fn refill(&mut self, now: Timestamp, quota: &FleetQuota) {
        let elapsed = now.saturating_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + quota.rate * elapsed).min(quota.max_saved_tokens());
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.refilled_at = self.refilled_at.max(now);
    }
}

fn pause_between_token_requests(quota: &FleetQuota) -> Duration {
    let min_pause = Duration::from_secs_f64(quota.nodes() / MAX_TOKEN_REQUESTS_PER_SECOND);
    MIN_PAUSE.max(min_pause)
}
