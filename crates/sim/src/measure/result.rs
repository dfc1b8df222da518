//! The result of a run: the fields of the simulation's contract.

use std::time::Duration;

use lifthollow_state::{PriorityClass, Timestamp};
use serde::Serialize;

use super::best::best_possible;
use super::recorder::{Recorder, RequestMeasure};
use crate::mesh::Mesh;
use crate::observe::Violations;
use crate::scenario::Scenario;
use crate::world::WorldSettings;

/// Seconds at the start that do not count as normal yet.
const WARM_UP_SECONDS: usize = 4;
/// Share of the goodput before that counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Seconds that goodput must stay there.
const RECOVERED_SECONDS: usize = 5;

/// What a run measured.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// The mesh's name.
    pub mesh: String,
    /// The scenario's name.
    pub scenario: String,
    /// The policy's name.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Whole requests that users made after the disturbance's start.
    pub offered: u64,
    /// Those completed and useful to their users.
    pub goodput: u64,
    /// `goodput` over the smaller of `offered` and the best possible.
    pub goodput_ratio: f64,
    /// From the disturbance's end until goodput was and stayed normal.
    pub recovery_seconds: Option<f64>,
    /// Attempts over visits wanted, at the service where this is largest.
    pub retry_amplification: f64,
    /// The most retries that any whole request had.
    pub max_retries_per_request: u32,
    /// Critical requests not useful, over those offered.
    pub critical_lost_ratio: f64,
    /// 99th percentile of the time from giving a call up to answering its caller.
    pub refusal_delay_seconds_p99: f64,
    /// Back-end time spent on requests that were not useful, over all of it.
    pub wasted_work_ratio: f64,
    /// Broken promises.
    pub violations: Violations,
    /// Hash over every event delivered.
    pub trace_hash: String,
    /// Useful requests completed in each second; not part of the contract.
    #[serde(skip)]
    pub goodput_by_second: Vec<u64>,
    /// Requests offered in each second.
    #[serde(skip)]
    pub offered_by_second: Vec<u64>,
    /// Requests of each class that were not useful.
    #[serde(skip)]
    pub lost_by_class: [u64; 3],
    /// All retries.
    #[serde(skip)]
    pub retries: u64,
}

/// Computes the figures of a finished run.
pub fn summarize(
    mesh: &Mesh,
    scenario: &Scenario,
    settings: WorldSettings,
    recorder: &Recorder,
    violations: Violations,
    trace_hash: String,
) -> RunResult {
    let start = Timestamp::ZERO + scenario.disturbance_start();
    let window: Vec<&RequestMeasure> = recorder
        .requests
        .iter()
        .filter(|request| request.arrived >= start)
        .collect();
    let goodput = window.iter().filter(|request| request.is_useful()).count();
    let best = best_possible(
        mesh,
        scenario,
        scenario.disturbance_start(),
        &offered_by_kind(mesh, scenario, &window),
    );
    let reference = best.unwrap_or(f64::INFINITY).min(window.len() as f64);
    let goodput_by_second = per_second(scenario, recorder, |request| request.useful_at);
    RunResult {
        mesh: mesh.name.to_owned(),
        scenario: scenario.name.clone(),
        policy: settings.policy.to_string(),
        seed: settings.seed,
        offered: window.len() as u64,
        goodput: goodput as u64,
        goodput_ratio: ratio(goodput as f64, reference),
        recovery_seconds: recovery(scenario, &goodput_by_second),
        retry_amplification: retry_amplification(recorder),
        max_retries_per_request: recorder
            .requests
            .iter()
            .map(|r| r.retries)
            .max()
            .unwrap_or(0),
        critical_lost_ratio: critical_lost(mesh, &window),
        refusal_delay_seconds_p99: recorder.refusal_delay_p99(),
        wasted_work_ratio: wasted_work(recorder),
        violations,
        trace_hash,
        offered_by_second: per_second(scenario, recorder, |request| Some(request.arrived)),
        lost_by_class: lost_by_class(mesh, &window),
        retries: recorder.requests.iter().map(|r| u64::from(r.retries)).sum(),
        goodput_by_second,
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

fn offered_by_kind(mesh: &Mesh, scenario: &Scenario, window: &[&RequestMeasure]) -> Vec<Vec<f64>> {
    let start = scenario.disturbance_start();
    let seconds = (scenario.duration - start).as_secs_f64().ceil() as usize;
    let mut offered = vec![vec![0.0; mesh.kinds.len()]; seconds.max(1)];
    for request in window {
        let since_start = request.arrived.saturating_since(Timestamp::ZERO + start);
        let second = (since_start.as_secs() as usize).min(offered.len() - 1);
        offered[second][request.kind.0] += 1.0;
    }
    offered
}

fn per_second(
    scenario: &Scenario,
    recorder: &Recorder,
    time: impl Fn(&RequestMeasure) -> Option<Timestamp>,
) -> Vec<u64> {
    let seconds = scenario.duration.as_secs() as usize;
    let mut counts = vec![0; seconds];
    for at in recorder.requests.iter().filter_map(time) {
        let second = (at.as_micros() / 1_000_000) as usize;
        if let Some(count) = counts.get_mut(second) {
            *count += 1;
        }
    }
    counts
}

/// Whole seconds from the disturbance's end to the first of five in a row at
/// 95% of the mean before the disturbance.
fn recovery(scenario: &Scenario, goodput_by_second: &[u64]) -> Option<f64> {
    let start = scenario.disturbance_start().as_secs() as usize;
    let end = ceil_seconds(scenario.disturbance_end());
    let before = goodput_by_second.get(WARM_UP_SECONDS..start)?;
    let mean = before.iter().sum::<u64>() as f64 / before.len().max(1) as f64;
    let after = goodput_by_second.get(end..)?;
    let normal = |count: &u64| *count as f64 >= RECOVERED_SHARE * mean;
    let recovered = after
        .windows(RECOVERED_SECONDS)
        .position(|seconds| seconds.iter().all(normal))?;
    Some(recovered as f64)
}

fn ceil_seconds(duration: Duration) -> usize {
    duration.as_secs_f64().ceil() as usize
}

fn retry_amplification(recorder: &Recorder) -> f64 {
    let services = recorder.services.iter();
    services
        .map(|service| ratio(service.attempts as f64, service.visits as f64))
        .fold(0.0, f64::max)
}

fn critical_lost(mesh: &Mesh, window: &[&RequestMeasure]) -> f64 {
    let critical = window
        .iter()
        .filter(|request| mesh.kind(request.kind).class == PriorityClass::Critical);
    let offered = critical.clone().count();
    let lost = critical.filter(|request| !request.is_useful()).count();
    ratio(lost as f64, offered as f64)
}

fn lost_by_class(mesh: &Mesh, window: &[&RequestMeasure]) -> [u64; 3] {
    let mut lost = [0; 3];
    for request in window.iter().filter(|request| !request.is_useful()) {
        lost[mesh.kind(request.kind).class as usize] += 1;
    }
    lost
}

fn wasted_work(recorder: &Recorder) -> f64 {
    let requests = recorder.requests.iter();
    let all: Duration = requests.clone().map(|request| request.back_end_time).sum();
    let wasted: Duration = requests
        .filter(|request| !request.is_useful())
        .map(|request| request.back_end_time)
        .sum();
    ratio(wasted.as_secs_f64(), all.as_secs_f64())
}

impl RequestMeasure {
    /// Whether it was completed end to end in time.
    pub fn is_useful(&self) -> bool {
        self.useful_at.is_some()
    }
}
