//! One request of a caller: its attempts, and what the caller is told.
//!
//! A route bounds the servers that a request may be sent to. One that has refused to
//! run it is passed by while there are others; after that it may be asked again,
//! which sends the request to no further server.

use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{InstanceId, Route};

use crate::mesh::server_wanted::Candidates;

/// A caller that is refused is asked to come back after this time if nobody
/// named another.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// A request may be refused so often before its caller is told.
const MAX_REFUSED_ATTEMPTS: u32 = 6;
/// A server that has refused a request is asked again after this time, multiplied
/// with the refusals so far: about half of a short run, after which it may have room.
const ASK_AGAIN_PAUSE: Duration = Duration::from_millis(10);

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server answered; its answer is whole or on its way.
    Answered,
    /// The server did not run it and never will.
    NotRun {
        /// Whether the server itself was asked, so that it counts as an attempt.
        offered: bool,
        /// Why, for logs.
        reason: NotRunReason,
        /// When there may be room.
        retry_after: Option<Duration>,
    },
    /// It may have run, or may still.
    Unknown {
        /// Why, for logs.
        reason: UnknownReason,
    },
}

/// Why an attempt was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// No connection to the server's node.
    NodeUnreachable,
    /// The server's node is about to stop.
    NodeLeaving,
    /// The server is about to end.
    ServerDraining,
    /// The server fails much of what it is given, and another has room.
    ServerFailing,
    /// Another server stands at the address.
    WrongInstance,
    /// No connection to the server.
    ServerUnreachable,
    /// Services that it needs further down refuse requests of its priority.
    DownstreamOverloaded,
    /// The server gets as many requests as it takes already.
    RateLimited,
    /// The queue at the server's node is too long.
    QueueFull,
    /// It waited at the server's node as long as it could.
    QueueTimeout,
    /// The server refused it.
    ServerRefused,
    /// It crashes the servers that run it.
    CrashesServers,
}

/// Why it isn't known whether an attempt has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownReason {
    /// The connection broke after the request was sent.
    AnswerLost,
    /// What came was not an answer to the request.
    AnswerInvalid,
    /// The server or its node stayed silent.
    Silent,
    /// The server crashed while it had the request, or a moment after.
    ServerCrashed,
}

/// What the caller is told when no server's answer is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// It has not run and never will; the caller may come back.
    Refused {
        /// After this time.
        retry_after: Duration,
        /// Why.
        reason: RefusalReason,
    },
    /// It may have run.
    Unknown,
    /// It took too long, and may have run.
    TimedOut,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration has arrived yet.
    NotConfigured,
    /// No server of the service is known.
    NoServer,
    /// The service, or one that it needs, refuses requests of its priority.
    Overloaded,
    /// Every server that was asked refused.
    AllRefused(NotRunReason),
    /// Its time ran out before any server had taken it.
    OutOfTime,
    /// It crashes the servers that run it.
    CrashesServers,
    /// This node's view is too old to tell whether its key is good.
    ViewTooOld,
    /// Its tenant is at its limit.
    OverLimit,
    /// Nobody tells whether its tenant is at its limit.
    NoLender,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send another attempt to a server that is not excluded.
    Attempt,
    /// Wait for another attempt that is still on its way.
    Wait,
    /// Tell the caller.
    Finish(FinalAnswer),
}

/// The state of one request.
#[derive(Clone, Debug)]
pub struct Call {
    idempotent: bool,
    max_servers: usize,
    refused: u32,
    may_have_run: bool,
    is_hedged: bool,
    was_turned_away: bool,
    ends: Timestamp,
    /// Servers that were sent it.
    asked: Vec<InstanceId>,
    /// Servers that must not get it again.
    excluded: Vec<InstanceId>,
    /// Servers that refused to run it and may be asked again.
    refused_by: Vec<InstanceId>,
    last_refusal: Option<(NotRunReason, Option<Duration>)>,
}

impl Call {
    /// A request for `route` that arrived at `now` and whose caller waits for
    /// `caller_patience`.
    pub fn new(now: Timestamp, route: &Route, caller_patience: Option<Duration>) -> Self {
        let bounds = [route.timeout, caller_patience];
        let held = bounds.into_iter().flatten().min();
        Call {
            idempotent: route.is_idempotent(),
            max_servers: route.max_attempts as usize,
            refused: 0,
            may_have_run: false,
            is_hedged: false,
            was_turned_away: false,
            ends: held.map_or(Timestamp::from_micros(u64::MAX), |held| now + held),
            asked: Vec::new(),
            excluded: Vec::new(),
            refused_by: Vec::new(),
            last_refusal: None,
        }
    }

    /// When the caller must have its answer.
    pub fn ends(&self) -> Timestamp {
        self.ends
    }

    /// The servers that its next attempt may go to, if there are any: first one that
    /// has not refused it, if the route allows another.
    pub fn candidates(&self) -> impl Iterator<Item = Candidates> {
        let mut passed_by = self.excluded.clone();
        passed_by.extend_from_slice(&self.refused_by);
        let another = Candidates::AllBut(passed_by);
        let again = Candidates::Only(self.refused_by.clone());
        let may_ask_another = self.asked.len() < self.max_servers;
        may_ask_another
            .then_some(another)
            .into_iter()
            .chain([again])
    }

    /// How long the attempt at `server` has to wait before it is sent.
    pub fn pause_before(&self, server: &InstanceId) -> Duration {
        if self.refused_by.contains(server) {
            ASK_AGAIN_PAUSE * self.refused
        } else {
            Duration::ZERO
        }
    }

    /// Whether it can be sent again although it may have run.
    pub fn may_repeat(&self) -> bool {
        self.idempotent
    }

    /// Whether no attempt was made yet.
    pub fn is_new(&self) -> bool {
        self.excluded.is_empty() && self.refused_by.is_empty()
    }

    /// Whether a server may have it already.
    pub fn is_repeat(&self) -> bool {
        !self.asked.is_empty() || self.is_hedged
    }

    /// Whether a server that fails much may still turn it away.
    pub fn may_be_turned_away(&self) -> bool {
        !self.was_turned_away
    }

    /// Whether another attempt may run beside one whose server has fallen silent.
    pub fn may_hedge(&self) -> bool {
        self.idempotent && self.asked.len() + 1 < self.max_servers
    }

    /// Another attempt starts beside the one at `server`.
    pub fn hedge(&mut self, server: &InstanceId) {
        self.is_hedged = true;
        self.excluded.push(server.clone());
    }

    /// Takes in how the attempt at `server` ended, if it was not answered.
    /// `is_other_in_progress` says that another attempt of the request is still
    /// on its way. `may_repeat` pays for a repeat, and is asked only if one is due.
    pub fn attempt_ended(
        &mut self,
        server: &InstanceId,
        end: &AttemptEnd,
        is_other_in_progress: bool,
        may_repeat: impl FnOnce() -> bool,
    ) -> NextStep {
        match end {
            AttemptEnd::Answered => {}
            AttemptEnd::NotRun {
                offered,
                reason,
                retry_after,
            } => {
                self.note_asked(server, *offered);
                // One that names a time is not asked before it.
                let may_ask_again = *reason == NotRunReason::ServerRefused && retry_after.is_none();
                self.pass_by(server, may_ask_again);
                self.refused += 1;
                self.was_turned_away |= *reason == NotRunReason::ServerFailing;
                self.last_refusal = Some((*reason, *retry_after));
            }
            AttemptEnd::Unknown { .. } => {
                self.note_asked(server, true);
                self.pass_by(server, false);
                self.may_have_run = true;
            }
        }
        if is_other_in_progress {
            return NextStep::Wait;
        }
        if self.may_continue() && (self.asked.is_empty() || may_repeat()) {
            return NextStep::Attempt;
        }
        NextStep::Finish(self.give_up())
    }

    /// What the caller is told if there is no server left to ask.
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

    /// What the caller is told if the request is found to crash servers, and may be tried
    /// again after `retry_after`.
    pub fn blocked(&self, retry_after: Duration) -> FinalAnswer {
        if self.may_have_run {
            return FinalAnswer::Unknown;
        }
        FinalAnswer::Refused {
            retry_after,
            reason: RefusalReason::CrashesServers,
        }
    }

    /// What the caller is told if its time is over. `in_progress` says that an
    /// attempt was on its way.
    pub fn timed_out(&self, in_progress: bool) -> FinalAnswer {
        if self.may_have_run || in_progress {
            return FinalAnswer::TimedOut;
        }
        FinalAnswer::Refused {
            retry_after: DEFAULT_RETRY_AFTER,
            reason: RefusalReason::OutOfTime,
        }
    }

    fn note_asked(&mut self, server: &InstanceId, offered: bool) {
        if offered && !self.asked.contains(server) {
            self.asked.push(server.clone());
        }
    }

    fn pass_by(&mut self, server: &InstanceId, may_ask_again: bool) {
        self.refused_by.retain(|refusing| refusing != server);
        let passed_by = if may_ask_again && !self.excluded.contains(server) {
            &mut self.refused_by
        } else {
            &mut self.excluded
        };
        if !passed_by.contains(server) {
            passed_by.push(server.clone());
        }
    }

    fn may_continue(&self) -> bool {
        let allowed = self.idempotent || !self.may_have_run;
        let is_futile = self.last_refusal.is_some_and(|(reason, _)| {
            // What it needs further down, or does to them, is the same for all servers.
            matches!(
                reason,
                NotRunReason::DownstreamOverloaded | NotRunReason::CrashesServers
            )
        });
        let has_servers = self.asked.len() < self.max_servers || !self.refused_by.is_empty();
        allowed && !is_futile && has_servers && self.refused < MAX_REFUSED_ATTEMPTS
    }
}
