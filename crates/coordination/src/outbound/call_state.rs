//! A call in progress on this node.

use std::time::Duration;

use lifthollow_protocol::{AttemptResult, RefusalReason};
use lifthollow_state::{NodeId, RequestContext, RetryAllowance, Side, Timestamp};

use super::retry_decision::FailedAttempt;
use super::server_state::Outcome;
use super::{AttemptAnswer, AttemptId, Call};

/// The attempt that a call waits for.
#[derive(Clone, Copy, Debug)]
pub struct CurrentAttempt {
    /// Its number.
    pub id: AttemptId,
    /// Where it went.
    pub server: NodeId,
    /// Retries lent with it.
    pub lent: RetryAllowance,
    /// Its answer is being passed on to the caller.
    pub delivered: bool,
}

/// How an attempt came to nothing.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// It may have run.
    pub may_have_run: bool,
    /// What came back of the retries lent with it.
    pub unspent: RetryAllowance,
}

impl Failure {
    /// The attempt is given up without an answer: what was lent counts as spent.
    pub const NO_ANSWER: Failure = Failure {
        may_have_run: true,
        unspent: RetryAllowance(0),
    };

    /// The failure that an answer tells of.
    pub fn told_by(answer: &AttemptAnswer) -> Self {
        Failure {
            may_have_run: !matches!(answer.result, AttemptResult::NotRun { .. }),
            unspent: answer.unspent,
        }
    }
}

/// A call and what became of its attempts so far.
#[derive(Debug)]
pub struct CallState {
    /// The call as it arrived.
    pub call: Call,
    /// Retries left to spend or lend.
    pub allowance: u8,
    /// The attempt in progress.
    pub current: Option<CurrentAttempt>,
    /// Servers that failed the call.
    pub tried: Vec<NodeId>,
    /// The side that the weights gave the call to.
    pub side: Option<Side>,
    /// Some attempt may have run.
    pub may_have_run: bool,
    /// When the call must be looked at again.
    pub timer: Timestamp,
}

impl CallState {
    /// A call that has just arrived.
    pub fn new(call: Call) -> Self {
        CallState {
            allowance: call.context.allowance.0,
            timer: call.context.deadline,
            call,
            current: None,
            tried: Vec::new(),
            side: None,
            may_have_run: false,
        }
    }

    /// Starts an attempt: lends it all but one of the retries left, so that one
    /// stays for this hop if the answer is lost. A last one is lent.
    pub fn begin_attempt(&mut self, id: AttemptId, server: NodeId) -> RequestContext {
        let lent = match self.allowance {
            0 | 1 => self.allowance,
            several => several - 1,
        };
        self.allowance -= lent;
        let lent = RetryAllowance(lent);
        self.current = Some(CurrentAttempt {
            id,
            server,
            lent,
            delivered: false,
        });
        let mut context = self.call.context.clone();
        context.allowance = lent;
        context
    }

    /// Ends the current attempt.
    pub fn end_attempt(&mut self, failure: Failure) {
        self.allowance = self.allowance_after(failure);
        self.may_have_run |= failure.may_have_run;
        self.tried
            .extend(self.current.take().map(|attempt| attempt.server));
    }

    /// Retries left once the current attempt has ended; never more than was
    /// lent with it comes back.
    pub fn allowance_after(&self, failure: Failure) -> u8 {
        let lent = self.current.map_or(0, |attempt| attempt.lent.0);
        self.allowance + failure.unspent.0.min(lent)
    }

    /// The servers that a next attempt must not go to.
    pub fn tried_with_current(&self) -> Vec<NodeId> {
        let current = self.current.map(|attempt| attempt.server);
        self.tried.iter().copied().chain(current).collect()
    }

    /// Whether the call could be repeated if its attempt were lost.
    pub fn may_repeat(&self) -> bool {
        self.call.repeatable && self.call.replayable && self.allowance > 0
    }

    /// What the retry decision is asked about if the current attempt ends in
    /// `failure` and the next is likely to take `likely_duration`.
    pub fn failed_attempt(
        &self,
        now: Timestamp,
        failure: Failure,
        likely_duration: Duration,
    ) -> FailedAttempt {
        FailedAttempt {
            known_not_run: !self.may_have_run && !failure.may_have_run,
            repeatable: self.call.repeatable,
            replayable: self.call.replayable,
            allowance_left: self.allowance_after(failure),
            deadline: self.call.context.deadline,
            likely_answer: now + likely_duration,
        }
    }
}

/// What an answer says about the server it came from. A refusal by a node is
/// load; a refusal by its back end may be that, but is also what a back end
/// that is gone looks like, so it counts as a failure beside other servers.
pub fn outcome_of(answer: &AttemptAnswer) -> Outcome {
    match answer.result {
        AttemptResult::Completed { success: true } => Outcome::Succeeded,
        AttemptResult::Completed { success: false } => Outcome::Failed,
        AttemptResult::NotRun { reason, .. } => match reason {
            RefusalReason::ConnectionFailed => Outcome::Unreachable,
            RefusalReason::BackendRefused => Outcome::Failed,
            _ => Outcome::Refused,
        },
        AttemptResult::Unknown { .. } if answer.load.is_none() => Outcome::Unreachable,
        AttemptResult::Unknown { .. } => Outcome::Failed,
    }
}
