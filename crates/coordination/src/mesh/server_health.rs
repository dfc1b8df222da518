//! Tracks which share of its requests a node's local server fails.
//!
//! A server can fail part of its requests, for all callers or for those of one
//! zone, while its health check succeeds. Its node sees the answers to all
//! requests and so detects this first; callers' nodes receive the share with every
//! answer. Failures that are caused by a nested call don't count against the server.

use std::collections::HashMap;
use std::time::Duration;

use lifthollow_state::Timestamp;

use crate::inbound::InboundId;
use crate::latency::LatencyEstimate;
use crate::mesh::loss_estimate::LossEstimate;

/// Minimum time after which a run counts as overdue.
const MIN_OVERDUE: Duration = Duration::from_millis(300);
/// A run is overdue after this multiple of the time within which almost all runs end.
const OVERDUE_FACTOR: u32 = 2;
/// Share of failures from which on attempts that can go to another server are refused.
const REFUSAL_FAILURE_SHARE: f64 = 0.15;
/// One in this many attempts still runs at a failing server, to detect when it has
/// recovered.
const TRIAL_INTERVAL: u32 = 8;

/// Outcome of a run on the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The server answered, and the answer is not a failure.
    Served,
    /// The server failed the run, refused it without need, or lost the answer.
    Failed,
    /// The run was abandoned: nobody waits for its answer any more.
    Abandoned,
}

#[derive(Clone, Debug)]
struct Run {
    zone: String,
    is_nested: bool,
    started: Timestamp,
    calls_in_progress: u32,
    has_failed_call: bool,
    is_failure_recorded: bool,
}

/// The failures and run times of the server.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    /// The share of failed runs by the zone of the caller.
    failures: HashMap<String, LossEstimate>,
    runs: HashMap<InboundId, Run>,
    /// Estimated run times of callers' requests and of nested calls.
    run_times: [LatencyEstimate; 2],
    /// Number of attempts that arrived while the server was failing.
    attempts: u32,
}

impl ServerHealth {
    /// Resets everything because the server has started: former failures and the runs that are
    /// still in progress say nothing about the new instance.
    pub fn server_started(&mut self) {
        *self = ServerHealth::default();
    }

    /// Records that a run starts for a request whose caller is in `zone`.
    pub fn started(&mut self, now: Timestamp, run: InboundId, zone: &str, is_nested: bool) {
        let state = Run {
            zone: zone.to_owned(),
            is_nested,
            started: now,
            calls_in_progress: 0,
            has_failed_call: false,
            is_failure_recorded: false,
        };
        self.runs.insert(run, state);
    }

    /// Records that the run calls another service.
    pub fn call_started(&mut self, run: InboundId) {
        if let Some(run) = self.runs.get_mut(&run) {
            run.calls_in_progress += 1;
        }
    }

    /// Records that a call made by the run has ended.
    pub fn call_ended(&mut self, run: InboundId, has_failed: bool) {
        if let Some(run) = self.runs.get_mut(&run) {
            run.calls_in_progress = run.calls_in_progress.saturating_sub(1);
            run.has_failed_call |= has_failed;
        }
    }

    /// Time after which a run is overdue; `None` while no run times are known.
    pub fn overdue_after(&self, is_nested: bool) -> Option<Duration> {
        let run_time = &self.run_times[usize::from(is_nested)];
        let limit = (run_time.upper_bound() * OVERDUE_FACTOR).max(MIN_OVERDUE);
        run_time.has_samples().then_some(limit)
    }

    /// Records that a run is overdue, which counts as a failure unless a call that it made is in
    /// progress or has failed.
    pub fn overdue(&mut self, now: Timestamp, run: InboundId) {
        let Some(run) = self.runs.get_mut(&run) else {
            return;
        };
        let is_own = run.calls_in_progress == 0 && !run.has_failed_call;
        if is_own && !run.is_failure_recorded {
            run.is_failure_recorded = true;
            let zone = run.zone.clone();
            self.failures.entry(zone).or_default().observe(now, true);
        }
    }

    /// Records that a run has ended.
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
        if !run.is_failure_recorded {
            let failures = self.failures.entry(run.zone).or_default();
            failures.observe(now, is_failure);
        }
    }

    /// The share of requests from callers in `zone` that the server fails, 0 to 1.
    pub fn failure_share(&self, now: Timestamp, zone: &str) -> f64 {
        self.failures.get(zone).map_or(0.0, |share| share.at(now))
    }

    /// The zone with the largest share of failed requests, and that share, if attempts are refused
    /// for it.
    pub fn failing_zone(&self, now: Timestamp) -> Option<(&str, f64)> {
        let shares = self
            .failures
            .iter()
            .map(|(zone, share)| (zone.as_str(), share.at(now)));
        let worst = shares.max_by(|one, other| one.1.total_cmp(&other.1));
        worst.filter(|(_, share)| *share >= REFUSAL_FAILURE_SHARE)
    }

    /// Whether an attempt from `zone` that can go to another server should be refused, so that it
    /// does so.
    pub fn should_refuse(&mut self, now: Timestamp, zone: &str) -> bool {
        if self.failure_share(now, zone) < REFUSAL_FAILURE_SHARE {
            return false;
        }
        self.attempts = self.attempts.wrapping_add(1);
        !self.attempts.is_multiple_of(TRIAL_INTERVAL)
    }
}
