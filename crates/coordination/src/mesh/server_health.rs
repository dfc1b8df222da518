//! Whether the server beside a node serves what it is given.
//!
//! A server can fail part of its requests, for all callers or for those of one
//! zone, while its health check is good. Its node sees the answers of all
//! requests and so finds out first; callers' nodes are told the share with every
//! answer. Failures that come from a nested call are not the server's own.

use std::collections::HashMap;
use std::time::Duration;

use lifthollow_state::Timestamp;

use crate::inbound::InboundId;
use crate::latency::LatencyEstimate;
use crate::mesh::loss_estimate::LossEstimate;

/// A run is not called overdue before this time.
const MIN_OVERDUE: Duration = Duration::from_millis(300);
/// A run is overdue after this many times what almost all runs take.
const OVERDUE_FACTOR: u32 = 2;
/// From this share of failures on, attempts that can go elsewhere are turned away.
const TURN_AWAY_SHARE: f64 = 0.15;
/// One in so many attempts still runs, so that a server which has recovered is
/// found out.
const TRIAL_INTERVAL: u32 = 8;

/// How a run on the server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The server answered, and it was no failure.
    Served,
    /// The server failed it, refused it without need, or lost the answer.
    Failed,
    /// Nobody waits for it any more.
    Abandoned,
}

#[derive(Clone, Debug)]
struct Run {
    zone: String,
    is_nested: bool,
    started: Timestamp,
    calls_in_progress: u32,
    has_failed_call: bool,
    is_noted: bool,
}

/// What is known of the server's failures.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    failures: HashMap<String, LossEstimate>,
    runs: HashMap<InboundId, Run>,
    /// How long runs for callers' requests and for nested calls take.
    run_times: [LatencyEstimate; 2],
    attempts: u32,
}

impl ServerHealth {
    /// The server has started: what failed before says nothing of it, nor do runs that are
    /// still under way.
    pub fn server_started(&mut self) {
        *self = ServerHealth::default();
    }

    /// A run starts for a request whose caller is in `zone`.
    pub fn started(&mut self, now: Timestamp, run: InboundId, zone: &str, is_nested: bool) {
        let state = Run {
            zone: zone.to_owned(),
            is_nested,
            started: now,
            calls_in_progress: 0,
            has_failed_call: false,
            is_noted: false,
        };
        self.runs.insert(run, state);
    }

    /// The run calls another service.
    pub fn call_started(&mut self, run: InboundId) {
        if let Some(run) = self.runs.get_mut(&run) {
            run.calls_in_progress += 1;
        }
    }

    /// A call of the run has ended.
    pub fn call_ended(&mut self, run: InboundId, has_failed: bool) {
        if let Some(run) = self.runs.get_mut(&run) {
            run.calls_in_progress = run.calls_in_progress.saturating_sub(1);
            run.has_failed_call |= has_failed;
        }
    }

    /// How long a run may take before it is overdue; none if that is not known.
    pub fn overdue_after(&self, is_nested: bool) -> Option<Duration> {
        let run_time = &self.run_times[usize::from(is_nested)];
        let limit = (run_time.high() * OVERDUE_FACTOR).max(MIN_OVERDUE);
        run_time.is_known().then_some(limit)
    }

    /// A run has no answer although it is overdue.
    pub fn overdue(&mut self, now: Timestamp, run: InboundId) {
        let Some(run) = self.runs.get_mut(&run) else {
            return;
        };
        let is_own = run.calls_in_progress == 0 && !run.has_failed_call;
        if is_own && !run.is_noted {
            run.is_noted = true;
            let zone = run.zone.clone();
            self.failures.entry(zone).or_default().observe(now, true);
        }
    }

    /// A run has ended.
    pub fn ended(&mut self, now: Timestamp, run: InboundId, end: RunEnd) {
        let Some(run) = self.runs.remove(&run) else {
            return;
        };
        if end == RunEnd::Served {
            let took = now.saturating_since(run.started);
            self.run_times[usize::from(run.is_nested)].observe(now, took);
        }
        let is_failure = match end {
            RunEnd::Served => false,
            RunEnd::Failed if run.calls_in_progress > 0 || run.has_failed_call => return,
            RunEnd::Failed => true,
            RunEnd::Abandoned => return,
        };
        if !run.is_noted {
            let failures = self.failures.entry(run.zone).or_default();
            failures.observe(now, is_failure);
        }
    }

    /// The share of requests from callers in `zone` that the server fails, 0 to 1.
    pub fn failure_share(&self, now: Timestamp, zone: &str) -> f64 {
        self.failures.get(zone).map_or(0.0, |share| share.at(now))
    }

    /// The zone whose requests the server fails most, if it turns any away.
    pub fn failing_zone(&self, now: Timestamp) -> Option<(&str, f64)> {
        let shares = self
            .failures
            .iter()
            .map(|(zone, share)| (zone.as_str(), share.at(now)));
        let worst = shares.max_by(|one, other| one.1.total_cmp(&other.1));
        worst.filter(|(_, share)| *share >= TURN_AWAY_SHARE)
    }

    /// Whether an attempt that can go to another server should do so.
    pub fn turns_away(&mut self, now: Timestamp, zone: &str) -> bool {
        if self.failure_share(now, zone) < TURN_AWAY_SHARE {
            return false;
        }
        self.attempts = self.attempts.wrapping_add(1);
        !self.attempts.is_multiple_of(TRIAL_INTERVAL)
    }
}
