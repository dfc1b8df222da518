//! Whether a node has a token for a tenant's request.
//!
//! Tokens come from the tenant's lender, a few at a time, and expire. Each node has besides an
//! equal part of what the fleet may use on top of the limit, without asking anybody.

use std::time::Duration;

use lifthollow_state::Timestamp;

use crate::mesh::tenants::fleet_quota::FleetQuota;
use crate::mesh::tenants::lender::{Loan, Question};

/// Tokens that were lent and not used expire after this time.
const LOAN_TIME: Duration = Duration::from_secs(1);
/// Tokens are asked for ahead for this time.
const AHEAD_TIME: Duration = Duration::from_millis(500);
/// The time over which a tenant's requests at this node are counted.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// A node that no lender answers tries again after this time.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(200);
/// Callers over their tenant's limit are asked to come back after this time at most.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(3);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It has a token.
    Token,
    /// It may have one once the lender has answered.
    AskLender,
    /// Its tenant is at its limit; a token is expected after this time.
    OverLimit(Duration),
    /// Nobody tells whether its tenant is; one may after this time.
    Unanswered(Duration),
}

/// Why a node does not ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closed {
    AtLimit,
    Unanswered,
}

/// What a node knows of one tenant's tokens.
#[derive(Clone, Debug)]
pub struct Borrower {
    lent: u32,
    lent_until: Timestamp,
    free: f64,
    counted: Timestamp,
    /// Requests of this node, counted less the longer ago they came.
    demand: f64,
    arrived_since_question: u32,
    waiting: u32,
    closed: Option<(Closed, Timestamp)>,
    refused_since_closed: u32,
    rate: f64,
}

impl Borrower {
    /// A node that has asked for nothing yet.
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

    /// A request came. It uses a token if there is one.
    pub fn arrive(&mut self, now: Timestamp, quota: &FleetQuota) -> Taken {
        self.count(now, quota);
        self.demand += 1.0;
        self.arrived_since_question = self.arrived_since_question.saturating_add(1);
        self.take(now)
    }

    /// A request that waited for the lender's answer uses a token if there is one.
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
        // Those who come back are spread over the time in which tokens for them are expected.
        let place = f64::from(self.refused_since_closed);
        let spread = place / self.rate.max(1.0 / LONGEST_RETRY_AFTER.as_secs_f64());
        let spread = Duration::from_secs_f64(spread.min(LONGEST_RETRY_AFTER.as_secs_f64()));
        Taken::OverLimit((left + spread).min(LONGEST_RETRY_AFTER))
    }

    /// A request begins to wait for the lender's answer.
    pub fn begin_waiting(&mut self) {
        self.waiting += 1;
    }

    /// A request waits no longer.
    pub fn end_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// What to ask the lender now.
    pub fn question(&mut self, now: Timestamp, quota: &FleetQuota) -> Question {
        self.count(now, quota);
        let expected = self.demand / DEMAND_TIME.as_secs_f64() * AHEAD_TIME.as_secs_f64();
        Question {
            wanted: self.waiting.max(1),
            arrived: std::mem::take(&mut self.arrived_since_question),
            expected: expected as u32,
        }
    }

    /// The lender answered a question of `asked`.
    pub fn answered(&mut self, now: Timestamp, asked: Timestamp, loan: Loan) {
        if now >= self.lent_until {
            self.lent = 0;
        }
        self.lent = self.lent.saturating_add(loan.tokens);
        // From the question on, as the answer may have been under way for long.
        self.lent_until = (asked + LOAN_TIME).max(self.lent_until.min(now + LOAN_TIME));
        self.rate = loan.rate;
        self.refused_since_closed = 0;
        let is_at_limit = !loan.pause.is_zero();
        self.closed = is_at_limit.then(|| (Closed::AtLimit, now + loan.pause));
    }

    /// No lender answered.
    pub fn unanswered(&mut self, now: Timestamp) {
        self.closed = Some((Closed::Unanswered, now + UNANSWERED_PAUSE));
    }

    /// A request that had a token did not run.
    pub fn give_back(&mut self, now: Timestamp) {
        if now >= self.lent_until {
            self.lent = 0;
            self.lent_until = now + LOAN_TIME;
        }
        self.lent = self.lent.saturating_add(1);
    }

    /// Whether the tenant is at its limit as far as this node knows.
    pub fn is_at_limit(&self, now: Timestamp) -> bool {
        self.closed
            .is_some_and(|(why, until)| why == Closed::AtLimit && now < until)
    }

    /// Whether nothing is left that a new borrower wouldn't know.
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
