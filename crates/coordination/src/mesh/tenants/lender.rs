//! How many tokens a node gets that asks a tenant's lender.
//!
//! The lender keeps one token bucket for the tenant. While that holds enough, nodes get what
//! they ask for, and a little ahead. When it runs out, each node gets the part of the new
//! tokens that its part of the tenant's requests is, and comes again after a pause, so that a
//! tenant at many times its limit costs its lender a bounded number of questions.

use std::time::Duration;

use lifthollow_state::Timestamp;

use crate::mesh::tenants::fleet_quota::FleetQuota;

/// A node that got less than it asked for asks again after this time. In half of it, on
/// average, requests of the tenant find no token although there is one; each node asks four
/// times a second.
const PAUSE: Duration = Duration::from_millis(250);
/// In larger fleets, nodes pause longer, so that a lender is asked at most so often a second.
const QUESTIONS_A_SECOND: f64 = 400.0;
/// The time over which a tenant's requests are counted to tell how many come a second: two
/// pauses, so that each node's requests are among them.
const DEMAND_TIME: Duration = Duration::from_millis(500);
/// Tokens are lent ahead only while more than this part of the burst is left.
const AMPLE: f64 = 0.5;

/// What a node asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Question {
    /// Requests that wait for a token.
    pub wanted: u32,
    /// Requests that came since the node asked last, whatever became of them.
    pub arrived: u32,
    /// Requests that the node expects soon after.
    pub expected: u32,
}

/// What it gets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Loan {
    /// Tokens.
    pub tokens: u32,
    /// How long the node is not to ask again; zero if there was enough.
    pub pause: Duration,
    /// Tokens a second that the node may expect while its tenant is at its limit; zero if
    /// it isn't.
    pub rate: f64,
}

/// The tokens of one tenant.
#[derive(Clone, Debug)]
pub struct Lender {
    tokens: f64,
    refilled: Timestamp,
    /// Requests that nodes told of, counted less the longer ago that was.
    demand: f64,
    /// Whether there was not enough for the last question.
    is_short: bool,
}

impl Lender {
    /// A lender that does not know what was lent before.
    pub fn starting(now: Timestamp, quota: &FleetQuota) -> Self {
        Lender {
            tokens: quota.first_tokens(),
            refilled: now,
            demand: 0.0,
            is_short: false,
        }
    }

    /// A lender that has lent nothing for `idle` and was the tenant's lender all the time.
    pub fn rested(now: Timestamp, quota: &FleetQuota, idle: Duration) -> Self {
        let saved = quota.first_tokens() + quota.rate * idle.as_secs_f64();
        Lender {
            tokens: saved.min(quota.most_saved()),
            ..Lender::starting(now, quota)
        }
    }

    /// Answers a node; `drawn` is from 0 to 1.
    pub fn lend(
        &mut self,
        now: Timestamp,
        quota: &FleetQuota,
        question: Question,
        drawn: f64,
    ) -> Loan {
        self.refill(now, quota);
        self.demand += f64::from(question.arrived);
        let wanted = f64::from(question.wanted);
        self.is_short = self.tokens < wanted;
        if !self.is_short {
            let tokens = wanted + self.ahead(quota, question, wanted);
            self.tokens -= tokens;
            return Loan {
                tokens: tokens as u32,
                ..Loan::default()
            };
        }
        let demand = (self.demand / DEMAND_TIME.as_secs_f64()).max(quota.rate);
        let arrived = f64::from(question.arrived);
        let fair = arrived * quota.rate / demand;
        // Where a node's part is less than one token, it gets one now and then.
        let tokens = (fair + drawn).floor();
        let tokens = tokens.min(wanted).min(self.tokens.floor()).max(0.0);
        self.tokens -= tokens;
        let pause = pause(quota);
        Loan {
            tokens: tokens as u32,
            pause,
            rate: fair / pause.as_secs_f64(),
        }
    }

    /// Whether nodes were told of requests lately.
    pub fn is_in_use(&self, now: Timestamp, quota: &FleetQuota) -> bool {
        let idle = now.saturating_since(self.refilled).as_secs_f64();
        idle * quota.rate < quota.most_saved()
    }

    /// Whether there was not enough for the last question: the tenant is at its limit.
    pub fn is_short(&self) -> bool {
        self.is_short
    }

    /// Tokens that are left, and requests a second that nodes told of.
    pub fn load(&self) -> (f64, f64) {
        (self.tokens, self.demand / DEMAND_TIME.as_secs_f64())
    }

    fn ahead(&self, quota: &FleetQuota, question: Question, wanted: f64) -> f64 {
        let left = self.tokens - wanted;
        if left < quota.most_saved() * AMPLE {
            return 0.0;
        }
        let ahead = f64::from(question.expected).min(quota.most_ahead());
        ahead.min(left).floor()
    }

    fn refill(&mut self, now: Timestamp, quota: &FleetQuota) {
        let passed = now.saturating_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + quota.rate * passed).min(quota.most_saved());
        self.demand *= (-passed / DEMAND_TIME.as_secs_f64()).exp();
        self.refilled = self.refilled.max(now);
    }
}

fn pause(quota: &FleetQuota) -> Duration {
    let least = Duration::from_secs_f64(quota.nodes() / QUESTIONS_A_SECOND);
    PAUSE.max(least)
}
