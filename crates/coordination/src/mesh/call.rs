//! One request of a caller: its attempts, and the final answer to the caller.
//!
//! A route limits the number of servers that a request may be sent to. A server that has
//! refused to run the request is skipped while there are others. After that, it may be tried
//! again, which does not count against the limit.

use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{InstanceId, Route};

use crate::mesh::server_requirements::Candidates;

/// Retry delay given to the caller of a refused request if no refusing server or node
/// named one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Maximum number of refused attempts of a request; after that, the refusal is passed to its
/// caller.
const MAX_REFUSED_ATTEMPTS: u32 = 6;
/// Delay before a server that has refused a request is tried again, multiplied by the
/// number of refusals so far. It is about half the duration of a short run, after which the
/// server may have a free slot.
const REFUSING_SERVER_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server answered. Its answer is complete or still being received.
    Answered,
    /// The server did not run the attempt and never will.
    NotRun {
        /// Whether the request reached the server itself, so that it counts as an attempt.
        offered: bool,
        /// Why the attempt was not run.
        reason: NotRunReason,
        /// Time after which the server may accept the request, if the refusal named one.
        retry_after: Option<Duration>,
    },
    /// The attempt may have run, may be running, or may still run.
    Unknown {
        /// Why the outcome is unknown, for logs.
        reason: UnknownReason,
    },
}

/// Why an attempt was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// No connection to the server's node could be made.
    NodeUnreachable,
    /// The server's node is about to stop.
    NodeLeaving,
    /// The server is draining because it is about to stop.
    ServerDraining,
    /// The server fails a large share of its requests, and another server has free slots.
    ServerFailing,
    /// Another server listens at the address.
    WrongInstance,
    /// The server accepts no connection or is unresponsive.
    ServerUnreachable,
    /// Downstream services that the request needs refuse requests of its priority.
    DownstreamOverloaded,
    /// The server is at its announced rate limit.
    RateLimited,
    /// The expected wait in the queue of the server's node is too long.
    QueueFull,
    /// The attempt reached its maximum wait in the queue of the server's node.
    QueueTimeout,
    /// The server itself refused the request.
    ServerRefused,
    /// The request crashes the servers that run it.
    CrashesServers,
}

impl AttemptEnd {
    /// Whether the attempt failed for a reason that says nothing about the load of other servers: its
    /// server or the way there was lost, or the server is leaving.
    pub fn is_servers_fault(&self) -> bool {
        match self {
            AttemptEnd::Answered => false,
            AttemptEnd::Unknown { .. } => true,
            AttemptEnd::NotRun { reason, .. } => matches!(
                reason,
                NotRunReason::NodeUnreachable
                    | NotRunReason::NodeLeaving
                    | NotRunReason::ServerDraining
                    | NotRunReason::WrongInstance
                    | NotRunReason::ServerUnreachable
            ),
        }
    }
}

/// Why it isn't known whether an attempt has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownReason {
    /// The connection broke after the request was sent.
    AnswerLost,
    /// The received data was not a valid answer to the request.
    AnswerInvalid,
    /// The server or its node sent no answer in time.
    Silent,
    /// The server crashed while it ran the request, or shortly after.
    ServerCrashed,
}

/// The answer to the caller when no server's answer is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The request has not run and never will; the caller may retry it.
    Refused {
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// Why the request was refused.
        reason: RefusalReason,
    },
    /// The request may have run.
    Unknown,
    /// The time for the request ran out, and it may have run.
    TimedOut,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration has arrived yet.
    NotConfigured,
    /// No server of the service is known.
    NoServer,
    /// The service, or a service that it depends on, refuses requests of the request's priority.
    Overloaded,
    /// Every server that was tried refused the request. The reason is that of the last refusal.
    AllRefused(NotRunReason),
    /// The time for the request ran out before any server had accepted it.
    OutOfTime,
    /// The request crashes the servers that run it.
    CrashesServers,
    /// This node is about to end.
    NodeLeaving,
    /// This node's view is too old to tell whether the request's API key is valid.
    ViewTooOld,
    /// The request's tenant is at its quota.
    OverLimit,
    /// No node that grants quota could be reached for the request's tenant.
    NoLender,
}

/// The next step after an attempt has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send another attempt to a server that is not excluded.
    Attempt,
    /// Wait for another attempt that is still in progress.
    Wait,
    /// Answer the caller.
    Finish(FinalAnswer),
}

/// The state of one request of a caller and its attempts.
#[derive(Clone, Debug)]
pub struct Call {
    idempotent: bool,
    max_servers: usize,
    /// Number of attempts that were refused.
    refused_attempts: u32,
    may_have_run: bool,
    /// The server of the attempt that a hedge was sent for last.
    hedged_server: Option<InstanceId>,
    /// Whether the node of a failing server refused an attempt.
    was_refused_by_failing: bool,
    deadline: Timestamp,
    /// Servers that the request was sent to.
    sent_to: Vec<InstanceId>,
    /// Servers that must not be sent the request again.
    excluded: Vec<InstanceId>,
    /// Servers that refused to run the request and may be tried again.
    refused_by: Vec<InstanceId>,
    /// Reason and retry delay of the last refusal.
    last_refusal: Option<(NotRunReason, Option<Duration>)>,
}

impl Call {
    /// Creates the state of a request for `route` that arrived at `now` and whose caller waits
    /// for up to `caller_patience`.
    pub fn new(now: Timestamp, route: &Route, caller_patience: Option<Duration>) -> Self {
        let bounds = [route.timeout, caller_patience];
        let limit = bounds.into_iter().flatten().min();
        Call {
            idempotent: route.is_idempotent(),
            max_servers: route.max_attempts as usize,
            refused_attempts: 0,
            may_have_run: false,
            hedged_server: None,
            was_refused_by_failing: false,
            deadline: limit.map_or(Timestamp::from_micros(u64::MAX), |limit| now + limit),
            sent_to: Vec::new(),
            excluded: Vec::new(),
            refused_by: Vec::new(),
            last_refusal: None,
        }
    }

    /// When the caller must have its answer: the earlier of the route's timeout and the caller's.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// The sets of servers that the next attempt may go to, in order of preference: first the
    /// servers that have not refused the request, if the route allows another server, then
    /// those that have refused it and may be tried again.
    pub fn candidates(&self) -> impl Iterator<Item = Candidates> {
        let mut skipped = self.excluded.clone();
        skipped.extend_from_slice(&self.refused_by);
        let another = Candidates::AllBut(skipped);
        let again = Candidates::Only(self.refused_by.clone());
        let may_ask_another = self.sent_to.len() < self.max_servers;
        may_ask_another
            .then_some(another)
            .into_iter()
            .chain([again])
    }

    /// The delay before the next attempt is sent to `server`; zero unless it refused an earlier
    /// one.
    pub fn delay_before(&self, server: &InstanceId) -> Duration {
        if self.refused_by.contains(server) {
            REFUSING_SERVER_RETRY_DELAY * self.refused_attempts
        } else {
            Duration::ZERO
        }
    }

    /// Whether the request can be sent again although it may have run.
    pub fn may_retry(&self) -> bool {
        self.idempotent
    }

    /// Records that the request's route no longer allows requests to run more than once.
    pub fn forbid_repeats(&mut self) {
        self.idempotent = false;
    }

    /// Whether no attempt of the request has ended and no hedge was sent yet.
    pub fn is_new(&self) -> bool {
        self.excluded.is_empty() && self.refused_by.is_empty()
    }

    /// Whether a server may have received the request already.
    pub fn is_retry(&self) -> bool {
        !self.sent_to.is_empty() || self.hedged_server.is_some()
    }

    /// Whether the node of a failing server may refuse the request, which is allowed once.
    pub fn may_be_refused_by_failing_server(&self) -> bool {
        !self.was_refused_by_failing
    }

    /// Whether a hedge (a concurrent attempt at another server) is allowed when the server of an
    /// attempt is unresponsive.
    pub fn may_hedge(&self) -> bool {
        self.idempotent && self.sent_to.len() + 1 < self.max_servers
    }

    /// Records that a hedge starts while the attempt at `server` is still in progress.
    pub fn hedge(&mut self, server: &InstanceId) {
        self.hedged_server = Some(server.clone());
        self.excluded.push(server.clone());
    }

    /// Records how the attempt at `server` ended, if it was not answered, and returns the next
    /// step. `is_other_in_progress` states whether another attempt of the request is still in
    /// progress. `may_retry` takes a retry from the retry budget and is called only if a retry
    /// is due.
    pub fn attempt_ended(
        &mut self,
        server: &InstanceId,
        end: &AttemptEnd,
        is_other_in_progress: bool,
        may_retry: impl FnOnce() -> bool,
    ) -> NextStep {
        match end {
            AttemptEnd::Answered => {}
            AttemptEnd::NotRun {
                offered,
                reason,
                retry_after,
            } => {
                self.note_sent(server, *offered);
                // A server that sent a retry delay is not tried again before the delay has passed.
                let may_ask_again = *reason == NotRunReason::ServerRefused && retry_after.is_none();
                self.skip_server(server, may_ask_again);
                self.refused_attempts += 1;
                self.was_refused_by_failing |= *reason == NotRunReason::ServerFailing;
                self.last_refusal = Some((*reason, *retry_after));
            }
            AttemptEnd::Unknown { .. } => {
                self.note_sent(server, true);
                self.skip_server(server, false);
                self.may_have_run = true;
            }
        }
        if is_other_in_progress {
            return match self.was_hedge_unsent(server, end) && self.may_continue() {
                true => NextStep::Attempt,
                false => NextStep::Wait,
            };
        }
        if self.may_continue() && (self.sent_to.is_empty() || may_retry()) {
            return NextStep::Attempt;
        }
        NextStep::Finish(self.give_up())
    }

    /// The answer to the caller if there is no server left to try.
    pub fn give_up(&self) -> FinalAnswer {
        if self.may_have_run {
            return FinalAnswer::Unknown;
        }
        let (reason, retry_after) = match self.last_refusal {
            Some((reason, retry_after)) => (RefusalReason::AllRefused(reason), retry_after),
            None => (RefusalReason::NoServer, None),
        };
        FinalAnswer::Refused {
            retry_after: retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
            reason,
        }
    }

    /// The answer to the caller if the request is found to crash servers; it may be retried
    /// after `retry_after`.
    pub fn blocked(&self, retry_after: Duration) -> FinalAnswer {
        if self.may_have_run {
            return FinalAnswer::Unknown;
        }
        FinalAnswer::Refused {
            retry_after,
            reason: RefusalReason::CrashesServers,
        }
    }

    /// The answer to the caller if the deadline has passed. `in_progress` states whether an
    /// attempt was in progress.
    pub fn timed_out(&self, in_progress: bool) -> FinalAnswer {
        if self.may_have_run || in_progress {
            return FinalAnswer::TimedOut;
        }
        FinalAnswer::Refused {
            retry_after: DEFAULT_RETRY_AFTER,
            reason: RefusalReason::OutOfTime,
        }
    }

    /// Whether the attempt at `server` was a hedge that never reached its server. Another server may
    /// be sent the hedge instead, and the retry that it has taken from the budget.
    fn was_hedge_unsent(&self, server: &InstanceId, end: &AttemptEnd) -> bool {
        let is_hedge = self
            .hedged_server
            .as_ref()
            .is_some_and(|hedged| hedged != server);
        is_hedge && matches!(end, AttemptEnd::NotRun { offered: false, .. })
    }

    /// Records that the request was sent to `server` if `offered`.
    fn note_sent(&mut self, server: &InstanceId, offered: bool) {
        if offered && !self.sent_to.contains(server) {
            self.sent_to.push(server.clone());
        }
    }

    /// Skips `server` for the next attempts. If `may_ask_again`, it may be tried again when no
    /// other server is left.
    fn skip_server(&mut self, server: &InstanceId, may_ask_again: bool) {
        self.refused_by.retain(|refusing| refusing != server);
        let skipped = if may_ask_again && !self.excluded.contains(server) {
            &mut self.refused_by
        } else {
            &mut self.excluded
        };
        if !skipped.contains(server) {
            skipped.push(server.clone());
        }
    }

    /// Whether another attempt is allowed and can succeed.
    fn may_continue(&self) -> bool {
        let allowed = self.idempotent || !self.may_have_run;
        let is_futile = self.last_refusal.is_some_and(|(reason, _)| {
            // The downstream services that a request needs, and whether it crashes the server that
            // runs it, are the same for all servers.
            matches!(
                reason,
                NotRunReason::DownstreamOverloaded | NotRunReason::CrashesServers
            )
        });
        let has_servers = self.sent_to.len() < self.max_servers || !self.refused_by.is_empty();
        allowed && !is_futile && has_servers && self.refused_attempts < MAX_REFUSED_ATTEMPTS
    }
}
