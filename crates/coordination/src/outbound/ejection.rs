//! Ejection state of one server: a failing server is excluded for a while and
//! then half-open until a trial attempt succeeds.

use std::time::Duration;

use lifthollow_state::Timestamp;

use super::server_state::Outcome;

/// Weight of a new outcome in the moving average of the failure rate.
const FAILURE_GAIN: f64 = 0.1;
/// Number of consecutive failures that marks a server as failing.
const FAILURES_IN_A_ROW: u32 = 5;
/// Share of failed attempts that marks a server as failing.
const FAILURE_RATE: f64 = 0.5;
/// Number of attempts without contact, with no success in between, that marks a
/// server as unreachable.
const UNREACHABLE_IN_A_ROW: u32 = 2;
/// Duration of the first ejection; each further one lasts twice as long as the
/// one before.
const BASE_DURATION: Duration = Duration::from_millis(500);
/// Longest duration of an ejection.
const MAX_DURATION: Duration = Duration::from_secs(4);
/// How long a half-open server waits for a call that can be sent again, before
/// any call may be its trial attempt.
const TRIAL_PATIENCE: Duration = Duration::from_secs(10);
/// After this long without a failure, a success resets the count of earlier
/// ejections.
const FORGIVEN_AFTER: Duration = Duration::from_secs(30);

/// Kind of evidence that a server fails, in order of increasing certainty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// The server answers with errors, which may be its callers' fault.
    Errors,
    /// The server can't be reached or has stopped answering.
    Silence,
}

/// Whether a server gets attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Status {
    /// The server is in normal use.
    #[default]
    InUse,
    /// The server gets no attempts until the given time.
    Ejected { until: Timestamp },
    /// The server has been open to one trial attempt at a time since the given
    /// time.
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
    /// Records the outcome of an attempt sent to the server.
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

    /// The evidence that a server in use fails, if there is enough of it.
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

    /// Ejects the server for a duration that doubles with each ejection.
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

    /// Makes the server half-open once its ejection has expired.
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

    /// Whether the server is half-open, so that one trial attempt at a time may
    /// be sent to it.
    pub fn is_on_trial(&self) -> bool {
        matches!(self.status, Status::OnTrial { .. })
    }

    /// Whether the server has been half-open for so long without a trial attempt
    /// by a call that can be sent again that any call may be the trial.
    pub fn trial_is_overdue(&self, now: Timestamp) -> bool {
        match self.status {
            Status::OnTrial { since } => now.saturating_since(since) > TRIAL_PATIENCE,
            Status::InUse | Status::Ejected { .. } => false,
        }
    }

    /// Moving average of the share of attempts that failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// When the server last came back into use.
    pub fn returned_at(&self) -> Timestamp {
        self.returned_at
    }
}
