//! Ejection state of one server: a failing server gets no attempts for a while, as
//! long as other servers do better, and is then half-open until a trial attempt
//! succeeds.

use std::time::Duration;

use lifthollow_state::Timestamp;

use super::server_state::Outcome;

/// Weight of a new outcome in the moving average of the failure rate.
const FAILURE_GAIN: f64 = 0.1;
/// Number of consecutive failures that marks a server as failing.
const CONSECUTIVE_FAILURE_THRESHOLD: u32 = 5;
/// Share of failed attempts that marks a server as failing.
const FAILURE_RATE_THRESHOLD: f64 = 0.5;
/// Number of attempts without an answer or without a connection, with no success in
/// between, that marks a server as unreachable.
const UNREACHABLE_THRESHOLD: u32 = 2;
/// Duration of the first ejection; each further one lasts twice as long as the
/// one before.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Longest wait of a half-open server for a call that can be sent again; after that
/// any call may be its trial attempt.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(10);
/// After this long without a failure, a success resets the count of earlier
/// ejections.
const EJECTIONS_RESET_AFTER: Duration = Duration::from_secs(30);

/// Kind of evidence that a server fails, in order of increasing certainty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// The server answers with errors, which may be its callers' fault.
    Errors,
    /// The server can't be reached or has stopped answering.
    Unresponsive,
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
    HalfOpen { since: Timestamp },
}

/// Ejection state of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    status: Status,
    failure_rate: f64,
    consecutive_failures: u32,
    consecutive_unreachable: u32,
    ejections: u32,
    last_failure: Timestamp,
    reinstated_at: Timestamp,
}

impl Ejection {
    /// Records the outcome of an attempt sent to the server.
    pub fn record_outcome(&mut self, now: Timestamp, outcome: Outcome) {
        match outcome {
            Outcome::Succeeded | Outcome::Refused => self.record_success(now),
            Outcome::Failed => self.record_failure(now, 0),
            Outcome::Unreachable => self.record_failure(now, 1),
            Outcome::TimedOut if self.is_half_open() => self.eject(now),
            Outcome::TimedOut | Outcome::GivenUp => {}
        }
    }

    fn record_success(&mut self, now: Timestamp) {
        self.failure_rate -= self.failure_rate * FAILURE_GAIN;
        self.consecutive_failures = 0;
        self.consecutive_unreachable = 0;
        if self.is_half_open() {
            self.status = Status::InUse;
            self.failure_rate = 0.0;
            self.reinstated_at = now;
        }
        if now.saturating_since(self.last_failure) > EJECTIONS_RESET_AFTER {
            self.ejections = 0;
        }
    }

    fn record_failure(&mut self, now: Timestamp, unreachable_increment: u32) {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_GAIN;
        self.consecutive_failures += 1;
        self.consecutive_unreachable += unreachable_increment;
        self.last_failure = now;
        if self.is_half_open() {
            self.eject(now);
        }
    }

    /// The evidence that a server in use fails, if there is enough of it.
    pub fn evidence(&self) -> Option<Evidence> {
        if self.status != Status::InUse {
            None
        } else if self.consecutive_unreachable >= UNREACHABLE_THRESHOLD {
            Some(Evidence::Unresponsive)
        } else if self.consecutive_failures >= CONSECUTIVE_FAILURE_THRESHOLD
            || self.failure_rate >= FAILURE_RATE_THRESHOLD
        {
            Some(Evidence::Errors)
        } else {
            None
        }
    }

    /// Ejects the server for a duration that doubles with each ejection.
    pub fn eject(&mut self, now: Timestamp) {
        let doubled = BASE_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.status = Status::Ejected {
            until: now + doubled.min(MAX_EJECTION),
        };
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.consecutive_unreachable = 0;
        self.last_failure = now;
    }

    /// Makes the server half-open once its ejection has expired.
    pub fn expire_ejection(&mut self, now: Timestamp) {
        if let Status::Ejected { until } = self.status
            && until <= now
        {
            self.status = Status::HalfOpen { since: until };
        }
    }

    /// Whether the server is in normal use.
    pub fn is_in_use(&self) -> bool {
        self.status == Status::InUse
    }

    /// Whether the server is half-open, so that one trial attempt at a time may
    /// be sent to it.
    pub fn is_half_open(&self) -> bool {
        matches!(self.status, Status::HalfOpen { .. })
    }

    /// Whether the server has been half-open for so long without a trial attempt
    /// by a call that can be sent again that any call may be the trial.
    pub fn trial_is_overdue(&self, now: Timestamp) -> bool {
        match self.status {
            Status::HalfOpen { since } => now.saturating_since(since) > MAX_TRIAL_WAIT,
            Status::InUse | Status::Ejected { .. } => false,
        }
    }

    /// Moving average of the share of attempts that failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Time at which the server's last ejection ended and it was used normally again.
    pub fn reinstated_at(&self) -> Timestamp {
        self.reinstated_at
    }
}
