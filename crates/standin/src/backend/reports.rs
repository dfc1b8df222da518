//! `/health` and `/load`, which may lag or mislead.

use std::collections::VecDeque;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::answer::{AnswerBody, short_owned};
use super::handler::{Backend, respond};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// How honest the reports are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportMode {
    /// What is so now.
    Truthful,
    /// Always healthy and idle.
    AlwaysGreen,
    /// Always unhealthy and full.
    AlwaysRed,
    /// What was so a while ago.
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
            _ => Err("reports are `true`, `green`, `red` or `old`".to_owned()),
        }
    }
}

/// What `/load` answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAnswer {
    /// Calls that run.
    pub in_flight: usize,
    /// Calls that wait.
    pub queued: usize,
    /// Calls that can run at once.
    pub slots: usize,
}

#[derive(Clone, Copy)]
struct Sample {
    taken: Instant,
    healthy: bool,
    load: LoadAnswer,
}

/// Answers the two endpoints.
pub struct Reports {
    mode: ReportMode,
    age: Duration,
    samples: Mutex<VecDeque<Sample>>,
}

impl Reports {
    /// Reports of the given honesty; `age_ms` counts for old ones.
    pub fn new(mode: ReportMode, age_ms: u64) -> Self {
        Reports {
            mode,
            age: Duration::from_millis(age_ms),
            samples: Mutex::new(VecDeque::new()),
        }
    }

    /// Answer to `/health`.
    pub fn health(&self, backend: &Backend) -> Response<AnswerBody> {
        if self.shown(backend).healthy {
            respond(StatusCode::OK, "ok\n")
        } else {
            respond(StatusCode::SERVICE_UNAVAILABLE, "unhealthy\n")
        }
    }

    /// Answer to `/load`.
    pub fn load(&self, backend: &Backend) -> Response<AnswerBody> {
        let load = self.shown(backend).load;
        let text = serde_json::to_string(&load).unwrap_or_default();
        Response::new(short_owned(text))
    }

    fn shown(&self, backend: &Backend) -> Sample {
        let truth = truth(backend);
        match self.mode {
            ReportMode::Truthful => truth,
            ReportMode::AlwaysGreen => truth.pretending(true),
            ReportMode::AlwaysRed => truth.pretending(false),
            ReportMode::Old => self.lock().front().copied().unwrap_or(truth),
        }
    }

    /// Takes a sample and forgets all but the newest that is old enough.
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
    fn pretending(mut self, healthy: bool) -> Self {
        self.healthy = healthy;
        let busy = if healthy { 0 } else { self.load.slots };
        self.load.in_flight = busy;
        self.load.queued = busy;
        self
    }
}

fn truth(backend: &Backend) -> Sample {
    let fault = backend.fault();
    Sample {
        taken: Instant::now(),
        healthy: !fault.draining && !fault.hang,
        load: LoadAnswer {
            in_flight: backend.slots.running(),
            queued: backend.slots.waiting(),
            slots: backend.slots.count(),
        },
    }
}

/// Samples the truth for as long as the process runs.
pub fn keep_history(backend: Arc<Backend>) {
    tokio::spawn(async move {
        loop {
            backend.reports.record(truth(&backend));
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    });
}
