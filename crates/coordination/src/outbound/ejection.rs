//! Servers that fail are left out for a while, as long as others do better.

use std::time::Duration;

use lifthollow_state::Timestamp;

use super::server_state::Outcome;

/// Share of a new outcome in the failure rate.
const FAILURE_GAIN: f64 = 0.1;
/// Failures in a row that mark a server as failing.
const FAILURES_IN_A_ROW: u32 = 5;
/// Failure rate that marks a server as failing.
const FAILURE_RATE: f64 = 0.5;
/// Times without contact in a row that mark a server as unreachable.
const UNREACHABLE_IN_A_ROW: u32 = 2;
/// The first ejection lasts this long, each further one twice as long.
const BASE_DURATION: Duration = Duration::from_millis(500);
const MAX_DURATION: Duration = Duration::from_secs(4);
/// A server on trial waits this long for a call that may be repeated.
const TRIAL_PATIENCE: Duration = Duration::from_secs(10);
/// After this long without a failure, earlier ejections are forgotten.
const FORGIVEN_AFTER: Duration = Duration::from_secs(30);

/// How sure the evidence against a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// It answers with errors: perhaps its callers' fault.
    Errors,
    /// It can't be reached, or has stopped answering.
    Silence,
}

/// Whether a server is in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Status {
    #[default]
    InUse,
    /// Left out until the time given.
    Ejected { until: Timestamp },
    /// One attempt at a time may try it, since the time given.
    OnTrial { since: Timestamp },
}

/// Ejection state of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    status: Status,
    failure_rate: f64,
    failures_in_a_row: u32,
    unreachable_in_a_row: u32,
    ejections: u32,
    last_failure: Timestamp,
    returned_at: Timestamp,
}

impl Ejection {
    /// Takes in the outcome of an attempt.
    pub fn record(&mut self, now: Timestamp, outcome: Outcome) {
        match outcome {
            Outcome::Succeeded | Outcome::Refused => self.succeeded(now),
            Outcome::Failed => self.failed(now, 0),
            Outcome::Unreachable => self.failed(now, 1),
            Outcome::TimedOut if self.is_on_trial() => self.eject(now),
            Outcome::TimedOut | Outcome::GivenUp => {}
        }
    }

    fn succeeded(&mut self, now: Timestamp) {
        self.failure_rate -= self.failure_rate * FAILURE_GAIN;
        self.failures_in_a_row = 0;
        self.unreachable_in_a_row = 0;
        if self.is_on_trial() {
            self.status = Status::InUse;
            self.failure_rate = 0.0;
            self.returned_at = now;
        }
        if now.saturating_since(self.last_failure) > FORGIVEN_AFTER {
            self.ejections = 0;
        }
    }

    fn failed(&mut self, now: Timestamp, unreachable: u32) {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_GAIN;
        self.failures_in_a_row += 1;
        self.unreachable_in_a_row += unreachable;
        self.last_failure = now;
        if self.is_on_trial() {
            self.eject(now);
        }
    }

    /// The evidence against a server in use, if there is enough.
    pub fn evidence(&self) -> Option<Evidence> {
        if self.status != Status::InUse {
            None
        } else if self.unreachable_in_a_row >= UNREACHABLE_IN_A_ROW {
            Some(Evidence::Silence)
        } else if self.failures_in_a_row >= FAILURES_IN_A_ROW || self.failure_rate >= FAILURE_RATE {
            Some(Evidence::Errors)
        } else {
            None
        }
    }

    /// Leaves the server out for a while.
    pub fn eject(&mut self, now: Timestamp) {
        let doubled = BASE_DURATION * 2_u32.saturating_pow(self.ejections.min(8));
        self.status = Status::Ejected {
            until: now + doubled.min(MAX_DURATION),
        };
        self.ejections += 1;
        self.failures_in_a_row = 0;
        self.unreachable_in_a_row = 0;
        self.last_failure = now;
    }

    /// Puts a server whose time is over on trial.
    pub fn refresh(&mut self, now: Timestamp) {
        if let Status::Ejected { until } = self.status
            && until <= now
        {
            self.status = Status::OnTrial { since: until };
        }
    }

    /// Whether the server is in normal use.
    pub fn is_in_use(&self) -> bool {
        self.status == Status::InUse
    }

    /// Whether one attempt at a time may try the server.
    pub fn is_on_trial(&self) -> bool {
        matches!(self.status, Status::OnTrial { .. })
    }

    /// Whether no call that may be repeated has come by to try the server, so
    /// that any call may.
    pub fn trial_is_overdue(&self, now: Timestamp) -> bool {
        match self.status {
            Status::OnTrial { since } => now.saturating_since(since) > TRIAL_PATIENCE,
            Status::InUse | Status::Ejected { .. } => false,
        }
    }

    /// Share of recent attempts that failed.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// When the server last came back into use.
    pub fn returned_at(&self) -> Timestamp {
        self.returned_at
    }
}
