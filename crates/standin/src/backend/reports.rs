//! Responses to `/health` and `/load`, which can be outdated or false on purpose.

use std::collections::VecDeque;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::answer::{ResponseBody, owned_text_body};
use super::handler::{Backend, text_response};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Whether a back end reports its true, a constant or an outdated health and load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportMode {
    /// Reports the present state.
    Truthful,
    /// Always reports a healthy and idle back end.
    AlwaysGreen,
    /// Always reports an unhealthy and fully loaded back end.
    AlwaysRed,
    /// Reports the state as it was a configured time ago.
    Old,
}

impl FromStr for ReportMode {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "true" => Ok(ReportMode::Truthful),
            "green" => Ok(ReportMode::AlwaysGreen),
            "red" => Ok(ReportMode::AlwaysRed),
            "old" => Ok(ReportMode::Old),
            _ => Err("report mode must be `true`, `green`, `red` or `old`".to_owned()),
        }
    }
}

/// JSON body of the response to `/load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of calls being executed.
    pub in_flight: usize,
    /// Number of calls waiting for a slot.
    pub queued: usize,
    /// Maximum number of calls executed at once.
    pub slots: usize,
}

#[derive(Clone, Copy)]
struct Sample {
    taken: Instant,
    healthy: bool,
    load: LoadReport,
}

/// Produces the responses to `/health` and `/load`.
pub struct Reports {
    mode: ReportMode,
    age: Duration,
    samples: Mutex<VecDeque<Sample>>,
}

impl Reports {
    /// Creates reports of the given mode. `age_ms` is the age of the reported state in
    /// milliseconds and applies to [`ReportMode::Old`] only.
    pub fn new(mode: ReportMode, age_ms: u64) -> Self {
        Reports {
            mode,
            age: Duration::from_millis(age_ms),
            samples: Mutex::new(VecDeque::new()),
        }
    }

    /// Returns the response to `/health`.
    pub fn health(&self, backend: &Backend) -> Response<ResponseBody> {
        if self.reported_sample(backend).healthy {
            text_response(StatusCode::OK, "ok\n")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "unhealthy\n")
        }
    }

    /// Returns the response to `/load`.
    pub fn load(&self, backend: &Backend) -> Response<ResponseBody> {
        let load = self.reported_sample(backend).load;
        let text = serde_json::to_string(&load).unwrap_or_default();
        Response::new(owned_text_body(text))
    }

    fn reported_sample(&self, backend: &Backend) -> Sample {
        let current = current_sample(backend);
        match self.mode {
            ReportMode::Truthful => current,
            ReportMode::AlwaysGreen => current.with_forced_health(true),
            ReportMode::AlwaysRed => current.with_forced_health(false),
            ReportMode::Old => self.lock().front().copied().unwrap_or(current),
        }
    }

    /// Adds a sample, and drops all samples older than the newest one that is at least `age` old.
    fn record(&self, sample: Sample) {
        let mut samples = self.lock();
        samples.push_back(sample);
        while samples
            .get(1)
            .is_some_and(|second| second.taken.elapsed() >= self.age)
        {
            samples.pop_front();
        }
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Sample>> {
        self.samples.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Sample {
    fn with_forced_health(mut self, healthy: bool) -> Self {
        self.healthy = healthy;
        let calls = if healthy { 0 } else { self.load.slots };
        self.load.in_flight = calls;
        self.load.queued = calls;
        self
    }
}

fn current_sample(backend: &Backend) -> Sample {
    let fault = backend.fault();
    Sample {
        taken: Instant::now(),
        healthy: !fault.draining && !fault.hang,
        load: LoadReport {
            in_flight: backend.slots.running(),
            queued: backend.slots.waiting(),
            slots: backend.slots.count(),
        },
    }
}

/// Starts a task that records the true state of `backend` until the process ends.
pub fn spawn_sampler(backend: Arc<Backend>) {
    tokio::spawn(async move {
        loop {
            backend.reports.record(current_sample(&backend));
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    });
}
