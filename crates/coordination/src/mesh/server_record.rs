//! What a node knows of one server.

use std::time::Duration;

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{ServerInstance, ServerNotice};

use crate::latency::LatencyEstimate;
use crate::mesh::admission_queue::Occupancy;
use crate::mesh::loss_estimate::LossEstimate;
use crate::mesh::rate_limits::SendPace;
use crate::mesh::reported_load::ReportedLoad;

/// A load report loses half its weight in this time.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);
/// What a server said of itself is remembered this long after its entry went: an entry may be back.
const NOTICE_MEMORY: Duration = Duration::from_secs(60);
/// Whether a server may get attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Standing {
    /// It may.
    Good,
    /// Only if there is no other; probes that failed so far are counted.
    Suspect {
        /// How many.
        failed_probes: u32,
    },
    /// Not before this time, if ever: its node says that it leaves, or that another
    /// has its address.
    Withdrawn {
        /// Never, if none.
        until: Option<Timestamp>,
    },
}

/// What this node knows of one server.
#[derive(Clone, Debug)]
pub(super) struct ServerRecord {
    pub(super) instance: ServerInstance,
    pub(super) warm_until: Timestamp,
    pub(super) in_flight: u32,
    pub(super) report: Occupancy,
    pub(super) own_at_report: u32,
    pub(super) reported: Timestamp,
    /// Admission levels of callers' requests and of nested calls, with the times
    /// at which they were reported.
    pub(super) levels: [(AdmissionLevel, Timestamp); 2],
    pub(super) heard: Timestamp,
    standing: Standing,
    /// Whether the server says in its answers that it leaves.
    is_leaving: bool,
    /// How often it is tried if it names a limit.
    pub(super) pace: Option<SendPace>,
    /// When it last said one of these.
    noticed: Timestamp,
    /// How long callers' requests and nested calls take.
    pub(super) latencies: [LatencyEstimate; 2],
    /// Answers that this node missed.
    pub(super) losses: LossEstimate,
    /// Failures that the server's node has seen.
    pub(super) reported_losses: LossEstimate,
}

impl ServerRecord {
    pub(super) fn new(now: Timestamp, instance: ServerInstance) -> Self {
        ServerRecord {
            warm_until: now + instance.warm_up,
            instance,
            in_flight: 0,
            report: Occupancy::default(),
            own_at_report: 0,
            reported: Timestamp::ZERO,
            levels: [(AdmissionLevel::OPEN, Timestamp::ZERO); 2],
            heard: Timestamp::ZERO,
            standing: Standing::Good,
            is_leaving: false,
            pace: None,
            noticed: Timestamp::ZERO,
            latencies: [LatencyEstimate::default(); 2],
            losses: LossEstimate::default(),
            reported_losses: LossEstimate::default(),
        }
    }

    pub(super) fn note_report(&mut self, now: Timestamp, load: ReportedLoad) {
        self.report = load.occupancy;
        self.levels[usize::from(load.is_nested)] = (load.level, now);
        self.reported = now;
        self.own_at_report = self.in_flight;
        self.reported_losses.set(now, load.failure_share);
    }

    /// The share of answers that are missed or failures, as far as is known.
    pub(super) fn losses(&self, now: Timestamp) -> f64 {
        self.losses.at(now).max(self.reported_losses.at(now))
    }

    /// A new announcement: what the node said of the former is void.
    pub(super) fn replace_instance(&mut self, instance: ServerInstance) {
        self.instance = instance;
        if matches!(self.standing, Standing::Withdrawn { .. }) {
            self.standing = Standing::Good;
        }
    }

    /// Its standing now.
    pub(super) fn standing(&self, now: Timestamp) -> Standing {
        if self.is_leaving {
            return Standing::Withdrawn { until: None };
        }
        match self.standing {
            Standing::Withdrawn { until: Some(until) } if now >= until => Standing::Good,
            standing => standing,
        }
    }

    /// The server says this of itself.
    pub(super) fn note(&mut self, now: Timestamp, notice: ServerNotice) {
        self.noticed = now;
        self.is_leaving = notice.is_leaving;
        match (&mut self.pace, notice.limit) {
            (Some(pace), Some(limit)) => pace.set_limit(limit),
            (pace, limit) => *pace = limit.map(|limit| SendPace::new(now, limit)),
        }
    }

    /// Whether something that the server said of itself is to be remembered without its entry.
    pub(super) fn has_notice(&self, now: Timestamp) -> bool {
        let says_something = self.is_leaving || self.pace.is_some();
        says_something && now.saturating_since(self.noticed) < NOTICE_MEMORY
    }

    /// Whether the server says in its answers that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// The time until the server should get another attempt, by the limit that it names.
    pub(super) fn time_until_next(&self, now: Timestamp, may_repeat: bool) -> Duration {
        let pace = self.pace.as_ref();
        pace.map_or(Duration::ZERO, |pace| pace.time_until_next(now, may_repeat))
    }

    pub(super) fn set_standing(&mut self, standing: Standing) {
        self.standing = standing;
    }

    pub(super) fn is_withdrawn(&self, now: Timestamp) -> bool {
        matches!(self.standing(now), Standing::Withdrawn { .. })
    }

    pub(super) fn trust_again(&mut self, now: Timestamp) {
        if !self.is_withdrawn(now) {
            self.standing = Standing::Good;
        }
    }

    /// Requests that the server works on at once.
    pub(super) fn limit(&self) -> u32 {
        self.report.limit.max(self.instance.slots).max(1)
    }

    /// Own requests, which are known, and those of others as last reported.
    pub(super) fn utilization(&self, now: Timestamp) -> f64 {
        let reported = self.report.running + self.report.waiting;
        let others = reported.saturating_sub(self.own_at_report);
        let age = now.saturating_since(self.reported).as_secs_f64();
        let half_lives = age / REPORT_HALF_LIFE.as_secs_f64();
        let others = f64::from(others) * 0.5_f64.powf(half_lives);
        (f64::from(self.in_flight) + others) / f64::from(self.limit())
    }
}
