//! Tokens that a node holds for the requests of one tenant.
//!
//! A request needs a token to run. A node borrows tokens from the tenant's lender, a few at a time,
//! and they expire. In addition each node has an equal share of what the fleet may use above the
//! limit ("free tokens"), which it uses without asking a lender.

use std::time::Duration;

use lifthollow_state::Timestamp;

use crate::mesh::tenants::fleet_quota::FleetQuota;
use crate::mesh::tenants::lender::{Loan, Question};

/// Time after which borrowed tokens that were not used expire.
const LOAN_TIME: Duration = Duration::from_secs(1);
/// Time for whose expected requests a node asks for tokens in advance.
const AHEAD_TIME: Duration = Duration::from_millis(500);
/// Time constant of the exponentially decaying count of a tenant's requests at this node.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Time after which a node asks again if no lender answered.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(200);
/// Maximum retry delay given to callers whose tenant is over its limit.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Result of taking a token for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
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
enum Closed {
    AtLimit,
    Unanswered,
}

/// State of one tenant's tokens at a node.
#[derive(Clone, Debug)]
pub struct Borrower {
    lent: u32,
    lent_until: Timestamp,
    free: f64,
    counted: Timestamp,
    /// Exponentially decaying count of the tenant's requests at this node.
    demand: f64,
    arrived_since_question: u32,
    waiting: u32,
    closed: Option<(Closed, Timestamp)>,
    refused_since_closed: u32,
    rate: f64,
}

impl Borrower {
    /// Creates the state of a node that has not asked for tokens yet.
    pub fn new(now: Timestamp, quota: &FleetQuota) -> Self {
        Borrower {
            lent: 0,
            lent_until: now,
            free: quota.free_at_once(),
            counted: now,
            demand: 0.0,
            arrived_since_question: 0,
            waiting: 0,
            closed: None,
            refused_since_closed: 0,
            rate: 0.0,
        }
    }

    /// Counts a new request and takes a token for it if there is one.
    pub fn arrive(&mut self, now: Timestamp, quota: &FleetQuota) -> Taken {
        self.count(now, quota);
        self.demand += 1.0;
        self.arrived_since_question = self.arrived_since_question.saturating_add(1);
        self.take(now)
    }

    /// Takes a token, if there is one, for a request that waited for the lender's answer.
    pub fn take_after_answer(&mut self, now: Timestamp, quota: &FleetQuota) -> Taken {
        self.count(now, quota);
        self.take(now)
    }

    fn take(&mut self, now: Timestamp) -> Taken {
        if self.lent > 0 && now < self.lent_until {
            self.lent -= 1;
            return Taken::Token;
        }
        if self.free >= 1.0 {
            self.free -= 1.0;
            return Taken::Token;
        }
        match self.closed {
            Some((why, until)) if now < until => self.refuse(why, until.saturating_since(now)),
            _ => Taken::AskLender,
        }
    }

    fn refuse(&mut self, why: Closed, left: Duration) -> Taken {
        if why == Closed::Unanswered {
            return Taken::Unanswered(left);
        }
        self.refused_since_closed = self.refused_since_closed.saturating_add(1);
        // Spreads the retries of refused callers over the time in which tokens for them are expected.
        let place = f64::from(self.refused_since_closed);
        let spread = place / self.rate.max(1.0 / LONGEST_RETRY_AFTER.as_secs_f64());
        let spread = Duration::from_secs_f64(spread.min(LONGEST_RETRY_AFTER.as_secs_f64()));
        Taken::OverLimit((left + spread).min(LONGEST_RETRY_AFTER))
    }

    /// Records that a request begins to wait for the lender's answer.
    pub fn begin_waiting(&mut self) {
        self.waiting += 1;
    }

    /// Records that a request no longer waits for the lender's answer.
    pub fn end_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns the question to send to the lender now.
    pub fn question(&mut self, now: Timestamp, quota: &FleetQuota) -> Question {
        self.count(now, quota);
        let expected = self.demand / DEMAND_TIME.as_secs_f64() * AHEAD_TIME.as_secs_f64();
        Question {
            wanted: self.waiting.max(1),
            arrived: std::mem::take(&mut self.arrived_since_question),
            expected: expected as u32,
        }
    }

    /// Records the lender's answer to the question that was sent at `asked`.
    pub fn answered(&mut self, now: Timestamp, asked: Timestamp, loan: Loan) {
        if now >= self.lent_until {
            self.lent = 0;
        }
        self.lent = self.lent.saturating_add(loan.tokens);
        // The loan expires relative to the time of the question, as the answer may have been delayed.
        self.lent_until = (asked + LOAN_TIME).max(self.lent_until.min(now + LOAN_TIME));
        self.rate = loan.rate;
        self.refused_since_closed = 0;
        let is_at_limit = !loan.pause.is_zero();
        self.closed = is_at_limit.then(|| (Closed::AtLimit, now + loan.pause));
    }

    /// Records that no lender answered.
    pub fn unanswered(&mut self, now: Timestamp) {
        self.closed = Some((Closed::Unanswered, now + UNANSWERED_PAUSE));
    }

    /// Takes back the token of a request that did not run.
    pub fn give_back(&mut self, now: Timestamp) {
        if now >= self.lent_until {
            self.lent = 0;
            self.lent_until = now + LOAN_TIME;
        }
        self.lent = self.lent.saturating_add(1);
    }

    /// Returns whether the tenant is at its limit as far as this node knows.
    pub fn is_at_limit(&self, now: Timestamp) -> bool {
        self.closed
            .is_some_and(|(why, until)| why == Closed::AtLimit && now < until)
    }

    /// Returns whether this state equals that of a new borrower, so that it can be dropped.
    pub fn is_idle(&self, now: Timestamp, quota: &FleetQuota) -> bool {
        let passed = now.saturating_since(self.counted).as_secs_f64();
        self.waiting == 0
            && now >= self.lent_until
            && self.free + quota.free_rate() * passed >= quota.free_at_once()
    }

    fn count(&mut self, now: Timestamp, quota: &FleetQuota) {
        let passed = now.saturating_since(self.counted).as_secs_f64();
        self.demand *= (-passed / DEMAND_TIME.as_secs_f64()).exp();
        let free = self.free + quota.free_rate() * passed;
        self.free = free.min(quota.free_at_once());
        self.counted = self.counted.max(now);
    }
}
