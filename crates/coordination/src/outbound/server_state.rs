//! What a node has observed of one server of one service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lifthollow_protocol::{AdmissionLevel, LoadReport};
use lifthollow_state::Timestamp;

use super::AttemptId;
use super::ejection::Ejection;
use crate::latency::LatencyEstimate;

/// A load report older than this is ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// A new server, or one back from ejection, gets its full share of calls after
/// this long.
const SLOW_START: Duration = Duration::from_secs(2);
/// Share of calls that a server gets at the start of its slow start, relative to
/// its full share.
const SLOW_START_SHARE: f64 = 0.1;

/// Outcome of an attempt, classified by what it shows about the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered without an error.
    Succeeded,
    /// The server's node refused the attempt with a valid answer, which indicates
    /// load and not failure.
    Refused,
    /// The server answered with an error, or its back end refused or lost the
    /// attempt.
    Failed,
    /// The server did not answer or could not be reached.
    Unreachable,
    /// The attempt took unusually long and was abandoned.
    TimedOut,
    /// The attempt was abandoned because the caller cancelled the call.
    GivenUp,
}

/// Record of one server, as observed by the calling node.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    first_seen: Timestamp,
    outstanding: BTreeMap<AttemptId, Timestamp>,
    streaming: BTreeSet<AttemptId>,
    report: LoadReport,
    reported_at: Option<Timestamp>,
    outstanding_at_report: u32,
    latency: LatencyEstimate,
    /// Start of the period in which the server has answered none of its outstanding
    /// attempts; none if no attempt was outstanding after its last answer.
    unanswered_since: Option<Timestamp>,
    last_given_up: Timestamp,
    /// Whether the server is ejected because it fails.
    pub ejection: Ejection,
}

impl ServerRecord {
    /// Creates the record of a server seen for the first time.
    pub fn new(now: Timestamp) -> Self {
        ServerRecord {
            first_seen: now,
            outstanding: BTreeMap::new(),
            streaming: BTreeSet::new(),
            report: LoadReport::default(),
            reported_at: None,
            outstanding_at_report: 0,
            latency: LatencyEstimate::default(),
            unanswered_since: None,
            last_given_up: now,
            ejection: Ejection::default(),
        }
    }

    /// Records that an attempt was sent to the server.
    pub fn record_dispatch(&mut self, now: Timestamp, attempt: AttemptId) {
        self.outstanding.insert(attempt, now);
        self.unanswered_since.get_or_insert(now);
    }

    /// Records the end of an attempt and returns how long it took; none if the
    /// attempt is not outstanding.
    pub fn record_end(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        outcome: Outcome,
    ) -> Option<Duration> {
        let sent = self.outstanding.remove(&attempt)?;
        let elapsed = now.saturating_since(sent);
        match outcome {
            Outcome::Succeeded => self.latency.observe(now, elapsed),
            Outcome::Unreachable | Outcome::TimedOut | Outcome::GivenUp => {
                self.latency.observe_lower_bound(now, elapsed);
            }
            Outcome::Refused | Outcome::Failed => {}
        }
        match outcome {
            Outcome::Succeeded | Outcome::Refused | Outcome::Failed => self.reset_unanswered(now),
            Outcome::Unreachable | Outcome::TimedOut | Outcome::GivenUp => self.last_given_up = now,
        }
        self.ejection.record_outcome(now, outcome);
        Some(elapsed)
    }

    fn reset_unanswered(&mut self, now: Timestamp) {
        self.unanswered_since = (!self.outstanding.is_empty()).then_some(now);
    }

    /// Records that an answer's body is being passed on, during which the server is
    /// still busy with the attempt.
    pub fn record_stream_started(&mut self, attempt: AttemptId) {
        self.streaming.insert(attempt);
    }

    /// Records that the last byte of an answer was passed on.
    pub fn record_stream_closed(&mut self, attempt: AttemptId) {
        self.streaming.remove(&attempt);
    }

    /// Records a load report of the server.
    pub fn record_report(&mut self, now: Timestamp, report: LoadReport) {
        self.report = report;
        self.reported_at = Some(now);
        self.outstanding_at_report = self.own_calls();
    }

    /// Whether this node has no call in progress on the server.
    pub fn is_idle(&self) -> bool {
        self.own_calls() == 0
    }

    fn own_calls(&self) -> u32 {
        (self.outstanding.len() + self.streaming.len()) as u32
    }

    /// Resets the time without an answer and drops the load report after the
    /// process was paused: that no answer was seen during the pause says nothing
    /// about the server.
    pub fn handle_resume(&mut self, now: Timestamp) {
        self.reset_unanswered(now);
        self.reported_at = None;
    }

    /// Time for which the server has had outstanding attempts but sent no answer,
    /// until now or until the last outstanding attempt was abandoned.
    pub fn time_without_answer(&self, now: Timestamp) -> Duration {
        let Some(since) = self.unanswered_since else {
            return Duration::ZERO;
        };
        let until = if self.outstanding.is_empty() {
            self.last_given_up
        } else {
            now
        };
        until.saturating_since(since)
    }

    /// The lowest priority that the server admits, if its last load report is
    /// fresh.
    pub fn level(&self, now: Timestamp) -> Option<AdmissionLevel> {
        let report = self.fresh_report(now)?;
        Some(report.admission_level)
    }

    /// Whether the server's last load report is fresh and states that the server
    /// accepts no new work.
    pub fn is_leaving(&self, now: Timestamp) -> bool {
        self.fresh_report(now).is_some_and(|report| report.leaving)
    }

    /// Calls in progress on the server, divided by the number it may run at once.
    /// They include this node's own calls and, while the last report is fresh,
    /// those of other nodes.
    pub fn utilization(&self, now: Timestamp, default_limit: u32) -> f64 {
        let own = self.own_calls();
        let (others, limit) = match self.fresh_report(now) {
            Some(report) => {
                let total = report.in_flight + report.queued;
                let others = total.saturating_sub(self.outstanding_at_report);
                (others, report.limit.min(default_limit))
            }
            None => (0, default_limit),
        };
        f64::from(own + others) / f64::from(limit.max(1))
    }

    /// Relative cost of sending one more call to the server, computed from its
    /// latency, utilization and failure rate; compared between servers only.
    pub fn cost(&self, now: Timestamp, default_limit: u32, typical_latency: Duration) -> f64 {
        let latency = if self.latency.has_samples() {
            self.latency.decayed_mean(now)
        } else {
            typical_latency
        };
        let load = self.utilization(now, default_limit) + 1.0 / f64::from(default_limit.max(1));
        let healthy_share = 1.0 - self.ejection.failure_rate();
        let share = self.slow_start_share(now) * healthy_share.max(SLOW_START_SHARE);
        (latency.as_secs_f64() + f64::EPSILON) * load / share
    }

    /// Share of calls that the server gets, relative to its full share: rises from
    /// [`SLOW_START_SHARE`] to 1 while the server is new or just back from
    /// ejection.
    fn slow_start_share(&self, now: Timestamp) -> f64 {
        let since = self.first_seen.max(self.ejection.reinstated_at());
        let age = now.saturating_since(since).as_secs_f64();
        (age / SLOW_START.as_secs_f64()).clamp(SLOW_START_SHARE, 1.0)
    }

    /// Whether the server is in slow start and gets less than its full share.
    pub fn is_in_slow_start(&self, now: Timestamp) -> bool {
        self.slow_start_share(now) < 1.0
    }

    fn fresh_report(&self, now: Timestamp) -> Option<&LoadReport> {
        let age = now.saturating_since(self.reported_at?);
        (age <= REPORT_LIFETIME).then_some(&self.report)
    }
}
