//! A node's record of one server.

use std::time::Duration;

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{ServerInstance, ServerNotice};

use crate::latency::LatencyEstimate;
use crate::mesh::admission_queue::Occupancy;
use crate::mesh::loss_estimate::LossEstimate;
use crate::mesh::rate_limits::SendPace;
use crate::mesh::reported_load::ReportedLoad;

/// Time in which the weight of a load report halves.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);
/// Time for which a server's last notice is kept although the server's entry is gone: the entry may
/// return.
const NOTICE_RETENTION: Duration = Duration::from_secs(60);

/// Whether a server may be sent attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Eligibility {
    /// The server may be sent attempts.
    Eligible,
    /// The server is suspected to have failed, and is sent attempts only if there is no other.
    Suspect {
        /// Number of probes that have failed so far.
        failed_probes: u32,
    },
    /// The server is sent no attempts: its node says that it is leaving, or that another
    /// server has its address.
    Withdrawn {
        /// When the server may be sent attempts again; `None` if not before its entry changes.
        until: Option<Timestamp>,
    },
}

/// The entry of one server, and what this node has observed of it.
#[derive(Clone, Debug)]
pub(super) struct ServerRecord {
    pub(super) instance: ServerInstance,
    /// When the server's warm-up ends.
    pub(super) warm_up_ends: Timestamp,
    /// Number of attempts in progress from this node.
    pub(super) in_flight: u32,
    /// The last load that the server's node reported.
    pub(super) report: Occupancy,
    /// Value of `in_flight` when the last load report arrived.
    pub(super) in_flight_at_report: u32,
    /// When the last load report arrived.
    pub(super) reported_at: Timestamp,
    /// The admission levels of callers' requests and of nested calls, with the times
    /// at which they were reported.
    pub(super) levels: [(AdmissionLevel, Timestamp); 2],
    /// When the server or its node last answered an attempt.
    pub(super) answered_at: Timestamp,
    eligibility: Eligibility,
    /// Whether the server says in its answers that it is leaving.
    is_leaving: bool,
    /// Limits the rate of attempts to the server if it announces a rate limit.
    pub(super) send_pace: Option<SendPace>,
    /// When the server's last notice arrived.
    notice_at: Timestamp,
    /// Estimated latencies of callers' requests and of nested calls.
    pub(super) latencies: [LatencyEstimate; 2],
    /// Share of answers that this node found lost or corrupted.
    pub(super) losses: LossEstimate,
    /// Share of failures that the server's node reported.
    pub(super) reported_losses: LossEstimate,
}

impl ServerRecord {
    pub(super) fn new(now: Timestamp, instance: ServerInstance) -> Self {
        ServerRecord {
            warm_up_ends: now + instance.warm_up,
            instance,
            in_flight: 0,
            report: Occupancy::default(),
            in_flight_at_report: 0,
            reported_at: Timestamp::ZERO,
            levels: [(AdmissionLevel::OPEN, Timestamp::ZERO); 2],
            answered_at: Timestamp::ZERO,
            eligibility: Eligibility::Eligible,
            is_leaving: false,
            send_pace: None,
            notice_at: Timestamp::ZERO,
            latencies: [LatencyEstimate::default(); 2],
            losses: LossEstimate::default(),
            reported_losses: LossEstimate::default(),
        }
    }

    /// Records a load report of the server's node.
    pub(super) fn record_load_report(&mut self, now: Timestamp, load: ReportedLoad) {
        self.report = load.occupancy;
        self.levels[usize::from(load.is_nested)] = (load.level, now);
        self.reported_at = now;
        self.in_flight_at_report = self.in_flight;
        self.reported_losses.set(now, load.failure_share);
    }

    /// The share of answers that are lost or failures: the larger of what this node has observed
    /// and what the server's node has reported.
    pub(super) fn losses(&self, now: Timestamp) -> f64 {
        self.losses.at(now).max(self.reported_losses.at(now))
    }

    /// Replaces the server's entry by a new one. A withdrawal that referred to the former entry
    /// ends.
    pub(super) fn replace_instance(&mut self, instance: ServerInstance) {
        self.instance = instance;
        if matches!(self.eligibility, Eligibility::Withdrawn { .. }) {
            self.eligibility = Eligibility::Eligible;
        }
    }

    /// Whether the server may be sent attempts at `now`.
    pub(super) fn eligibility(&self, now: Timestamp) -> Eligibility {
        if self.is_leaving {
            return Eligibility::Withdrawn { until: None };
        }
        match self.eligibility {
            Eligibility::Withdrawn { until: Some(until) } if now >= until => Eligibility::Eligible,
            eligibility => eligibility,
        }
    }

    /// Records a notice that the server sent in an answer.
    pub(super) fn record_notice(&mut self, now: Timestamp, notice: ServerNotice) {
        self.notice_at = now;
        self.is_leaving = notice.is_leaving;
        match (&mut self.send_pace, notice.limit) {
            (Some(pace), Some(limit)) => pace.set_limit(limit),
            (pace, limit) => *pace = limit.map(|limit| SendPace::new(now, limit)),
        }
    }

    /// Whether the record must be kept for the server's last notice although its entry is gone.
    pub(super) fn must_keep_notice(&self, now: Timestamp) -> bool {
        let has_notice = self.is_leaving || self.send_pace.is_some();
        has_notice && now.saturating_since(self.notice_at) < NOTICE_RETENTION
    }

    /// Whether the server says in its answers that it is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// The time until another attempt should be sent to the server under its rate limit.
    pub(super) fn time_until_next(&self, now: Timestamp, may_retry: bool) -> Duration {
        let pace = self.send_pace.as_ref();
        pace.map_or(Duration::ZERO, |pace| pace.time_until_next(now, may_retry))
    }

    pub(super) fn set_eligibility(&mut self, eligibility: Eligibility) {
        self.eligibility = eligibility;
    }

    pub(super) fn is_withdrawn(&self, now: Timestamp) -> bool {
        matches!(self.eligibility(now), Eligibility::Withdrawn { .. })
    }

    /// Ends the suspicion of the server unless it is withdrawn.
    pub(super) fn clear_suspicion(&mut self, now: Timestamp) {
        if !self.is_withdrawn(now) {
            self.eligibility = Eligibility::Eligible;
        }
    }

    /// Maximum number of requests that the server runs concurrently.
    pub(super) fn limit(&self) -> u32 {
        self.report.limit.max(self.instance.slots).max(1)
    }

    /// The server's estimated load relative to its limit: this node's attempts in progress, plus
    /// those of other nodes as last reported, which count less the older the report is.
    pub(super) fn utilization(&self, now: Timestamp) -> f64 {
        let reported_load = self.report.running + self.report.waiting;
        let others = reported_load.saturating_sub(self.in_flight_at_report);
        let age = now.saturating_since(self.reported_at).as_secs_f64();
        let half_lives = age / REPORT_HALF_LIFE.as_secs_f64();
        let others = f64::from(others) * 0.5_f64.powf(half_lives);
        (f64::from(self.in_flight) + others) / f64::from(self.limit())
    }
}
