//! Tokens that a node holds for the requests of one tenant.
//!
//! A request needs a token to run. A node borrows tokens from the tenant's lender, a few at a time,
//! and they expire. In addition each node has an equal share of what the fleet may use above the
//! limit ("free tokens"), which it uses without asking a lender.

use std::time::Duration;

use lifthollow_state::Timestamp;

use crate::mesh::tenants::fleet_quota::FleetQuota;
use crate::mesh::tenants::lender::{Loan, TokenRequest};

/// Time after which borrowed tokens that were not used expire.
const LOAN_EXPIRY: Duration = Duration::from_secs(1);
/// Time for whose expected requests a node asks for tokens in advance.
const PREFETCH_TIME: Duration = Duration::from_millis(500);
/// Time constant of the exponentially decaying count of a tenant's requests at this node.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time after which a node asks again if no lender answered.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(200);
/// Maximum retry delay given to callers whose tenant is over its limit.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Result of taking a token for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenDecision {
    /// The request has a token and may run.
    Token,
    /// There is no token; the request may get one once the lender has answered.
    AskLender,
    /// The tenant is at its limit; a token for this request is expected after this time.
    OverLimit(Duration),
    /// No lender answered, so it is unknown whether the tenant is at its limit; the lenders may be
    /// asked again after this time.
    Unanswered(Duration),
}

/// Reason why a node doesn't ask the lender for tokens for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoAskReason {
    AtLimit,
    Unanswered,
}

/// State of one tenant's tokens at a node.
#[derive(Clone, Debug)]
pub struct Borrower {
    lent_tokens: u32,
    lent_until: Timestamp,
    free_tokens: f64,
    updated_at: Timestamp,
    /// Exponentially decaying count of the tenant's requests at this node.
    demand: f64,
    arrived_since_ask: u32,
    waiting: u32,
    no_ask_until: Option<(NoAskReason, Timestamp)>,
    refused_since_answer: u32,
    expected_rate: f64,
}

impl Borrower {
    /// Creates the state of a node that has not asked for tokens yet.
    pub fn new(now: Timestamp, quota: &FleetQuota) -> Self {
        Borrower {
            lent_tokens: 0,
            lent_until: now,
            free_tokens: quota.free_burst(),
            updated_at: now,
            demand: 0.0,
            arrived_since_ask: 0,
            waiting: 0,
            no_ask_until: None,
            refused_since_answer: 0,
            expected_rate: 0.0,
        }
    }

    /// Counts a new request and takes a token for it if there is one.
    pub fn arrive(&mut self, now: Timestamp, quota: &FleetQuota) -> TokenDecision {
        self.update_counters(now, quota);
        self.demand += 1.0;
        self.arrived_since_ask = self.arrived_since_ask.saturating_add(1);
        self.take_token(now)
    }

    /// Takes a token, if there is one, for a request that waited for the lender's answer.
    pub fn take_token_after_answer(&mut self, now: Timestamp, quota: &FleetQuota) -> TokenDecision {
        self.update_counters(now, quota);
        self.take_token(now)
    }

    fn take_token(&mut self, now: Timestamp) -> TokenDecision {
        if self.lent_tokens > 0 && now < self.lent_until {
            self.lent_tokens -= 1;
            return TokenDecision::Token;
        }
        if self.free_tokens >= 1.0 {
            self.free_tokens -= 1.0;
            return TokenDecision::Token;
        }
        match self.no_ask_until {
            Some((cause, until)) if now < until => self.refuse(cause, until.saturating_since(now)),
            _ => TokenDecision::AskLender,
        }
    }

    fn refuse(&mut self, cause: NoAskReason, left: Duration) -> TokenDecision {
        if cause == NoAskReason::Unanswered {
            return TokenDecision::Unanswered(left);
        }
        self.refused_since_answer = self.refused_since_answer.saturating_add(1);
        // Spreads the retries of refused callers over the time in which tokens for them are
        // expected.
        let position = f64::from(self.refused_since_answer);
        let spread = position / self.expected_rate.max(1.0 / MAX_RETRY_AFTER.as_secs_f64());
        let spread = Duration::from_secs_f64(spread.min(MAX_RETRY_AFTER.as_secs_f64()));
        TokenDecision::OverLimit((left + spread).min(MAX_RETRY_AFTER))
    }

    /// Records that a request begins to wait for the lender's answer.
    pub fn begin_waiting(&mut self) {
        self.waiting += 1;
    }

    /// Records that a request no longer waits for the lender's answer.
    pub fn end_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns the token request to send to the lender now.
    pub fn token_request(&mut self, now: Timestamp, quota: &FleetQuota) -> TokenRequest {
        self.update_counters(now, quota);
        let expected =
            self.demand / DEMAND_TIME_CONSTANT.as_secs_f64() * PREFETCH_TIME.as_secs_f64();
        TokenRequest {
            wanted: self.waiting.max(1),
            arrived: std::mem::take(&mut self.arrived_since_ask),
            expected: expected as u32,
        }
    }

    /// Records the lender's answer to the token request that was sent at `asked`.
    pub fn answered(&mut self, now: Timestamp, asked: Timestamp, loan: Loan) {
        if now >= self.lent_until {
            self.lent_tokens = 0;
        }
        self.lent_tokens = self.lent_tokens.saturating_add(loan.tokens);
        // The loan expires relative to the time of the token request, as the answer may have been
        // delayed.
        self.lent_until = (asked + LOAN_EXPIRY).max(self.lent_until.min(now + LOAN_EXPIRY));
        self.expected_rate = loan.rate;
        self.refused_since_answer = 0;
        let is_at_limit = !loan.pause.is_zero();
        self.no_ask_until = is_at_limit.then(|| (NoAskReason::AtLimit, now + loan.pause));
    }

    /// Records that no lender answered.
    pub fn record_no_answer(&mut self, now: Timestamp) {
        self.no_ask_until = Some((NoAskReason::Unanswered, now + ASK_AGAIN_AFTER));
    }

    /// Takes back the token of a request that did not run.
    pub fn give_back(&mut self, now: Timestamp) {
        if now >= self.lent_until {
            self.lent_tokens = 0;
            self.lent_until = now + LOAN_EXPIRY;
        }
        self.lent_tokens = self.lent_tokens.saturating_add(1);
    }

    /// Returns whether the tenant is at its limit as far as this node knows.
    pub fn is_at_limit(&self, now: Timestamp) -> bool {
        self.no_ask_until
            .is_some_and(|(cause, until)| cause == NoAskReason::AtLimit && now < until)
    }

    /// Returns whether this state equals that of a new borrower, so that it can be dropped.
    pub fn is_idle(&self, now: Timestamp, quota: &FleetQuota) -> bool {
        let elapsed = now.saturating_since(self.updated_at).as_secs_f64();
        self.waiting == 0
            && now >= self.lent_until
            && self.free_tokens + quota.free_rate() * elapsed >= quota.free_burst()
    }

    fn update_counters(&mut self, now: Timestamp, quota: &FleetQuota) {
        let elapsed = now.saturating_since(self.updated_at).as_secs_f64();
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        let free_tokens = self.free_tokens + quota.free_rate() * elapsed;
        self.free_tokens = free_tokens.min(quota.free_burst());
        self.updated_at = self.updated_at.max(now);
    }
}
