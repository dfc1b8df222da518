//! State of a call in progress on this node.

use std::time::Duration;

use lifthollow_protocol::{AttemptResult, RefusalReason};
use lifthollow_state::{NodeId, RequestContext, RetryAllowance, Side, Timestamp};

use super::retry_decision::FailedAttempt;
use super::server_state::Outcome;
use super::{AttemptAnswer, AttemptId, Call};

/// The attempt whose answer a call is waiting for.
#[derive(Clone, Copy, Debug)]
pub struct CurrentAttempt {
    /// Number of the attempt.
    pub id: AttemptId,
    /// The server that the attempt was sent to.
    pub server: NodeId,
    /// Retries that the attempt's server may spend on nested calls.
    pub lent: RetryAllowance,
    /// Whether the attempt's answer is being passed on to the caller.
    pub delivered: bool,
}

/// Failure of an attempt that gave the caller no successful answer.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Whether the back end may have run the attempt.
    pub may_have_run: bool,
    /// Retries lent with the attempt that its server returned unspent.
    pub unspent: RetryAllowance,
}

impl Failure {
    /// Failure of an attempt abandoned without an answer: all retries lent with it
    /// count as spent.
    pub const NO_ANSWER: Failure = Failure {
        may_have_run: true,
        unspent: RetryAllowance(0),
    };

    /// The failure that a server's answer reports.
    pub fn from_answer(answer: &AttemptAnswer) -> Self {
        Failure {
            may_have_run: !matches!(answer.result, AttemptResult::NotRun { .. }),
            unspent: answer.unspent,
        }
    }
}

/// A call and the outcome of its attempts so far.
#[derive(Debug)]
pub struct CallState {
    /// The call as it arrived from the local caller.
    pub call: Call,
    /// Retries that the call may still spend itself or lend to an attempt.
    pub allowance: u8,
    /// The attempt in progress, if there is one.
    pub current: Option<CurrentAttempt>,
    /// Servers to which an attempt of this call was sent and failed.
    pub failed_servers: Vec<NodeId>,
    /// The side that the table's weights assigned the call to; none before the
    /// first attempt.
    pub side: Option<Side>,
    /// Whether the back end may have run an attempt that has ended.
    pub may_have_run: bool,
    /// When the call's timer fires: the current attempt has taken unusually long
    /// or the call's deadline has come.
    pub timer: Timestamp,
}

impl CallState {
    /// Creates the state of a call that has just arrived.
    pub fn new(call: Call) -> Self {
        CallState {
            allowance: call.context.allowance.0,
            timer: call.context.deadline,
            call,
            current: None,
            failed_servers: Vec::new(),
            side: None,
            may_have_run: false,
        }
    }

    /// Starts an attempt and lends it all but one of the call's remaining
    /// retries, so that this hop keeps one in case the answer is lost. A single
    /// remaining retry is lent.
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

    /// Ends the current attempt as failed and records its server as tried.
    pub fn end_attempt(&mut self, failure: Failure) {
        self.allowance = self.allowance_after(failure);
        self.may_have_run |= failure.may_have_run;
        self.failed_servers
            .extend(self.current.take().map(|attempt| attempt.server));
    }

    /// Retries that the call has left if the current attempt ends in `failure`.
    /// At most the number lent with the attempt is added back.
    pub fn allowance_after(&self, failure: Failure) -> u8 {
        let lent = self.current.map_or(0, |attempt| attempt.lent.0);
        self.allowance + failure.unspent.0.min(lent)
    }

    /// The servers that the next attempt must not be sent to.
    pub fn failed_servers_with_current(&self) -> Vec<NodeId> {
        let current = self.current.map(|attempt| attempt.server);
        self.failed_servers.iter().copied().chain(current).collect()
    }

    /// Whether the call could be sent again if the answer to its attempt were
    /// lost.
    pub fn may_retry(&self) -> bool {
        self.call.repeatable && self.call.replayable && self.allowance > 0
    }

    /// The input of the retry decision if the current attempt ends in `failure`
    /// and the next one is expected to take `expected_duration`.
    pub fn failed_attempt(
        &self,
        now: Timestamp,
        failure: Failure,
        expected_duration: Duration,
    ) -> FailedAttempt {
        FailedAttempt {
            known_not_run: !self.may_have_run && !failure.may_have_run,
            repeatable: self.call.repeatable,
            replayable: self.call.replayable,
            allowance_left: self.allowance_after(failure),
            deadline: self.call.context.deadline,
            expected_answer: now + expected_duration,
        }
    }
}

/// Classifies an answer for the record of the server that sent it. A refusal by
/// a node means load. A refusal by its back end may mean load as well, but a back
/// end that no longer runs looks the same, so it counts as a failure when the
/// server is compared with others.
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
