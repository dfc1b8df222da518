//! Request counts per second and over the whole load, and the latencies of useful requests.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::record::{Outcome, RequestRecord};
use super::request::Clients;
use crate::json_lines;

/// Request counts of one priority class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// Number of requests started.
    pub offered: u64,
    /// Number of requests whose complete response arrived in time.
    pub goodput: u64,
}

/// Counts of requests in a period. `offered` counts requests that started in the period, and
/// the counts of outcomes those that ended in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of requests started.
    pub offered: u64,
    /// Number of requests whose complete response arrived in time.
    pub goodput: u64,
    /// Number of requests whose complete response arrived too late.
    pub late: u64,
    /// Number of requests whose last attempt was answered with an error of the service.
    pub failed: u64,
    /// Number of requests whose response was not the one expected for them.
    pub corrupt: u64,
    /// Number of requests whose last attempt was answered as not executed, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Number of requests whose last attempt has an unknown outcome, by reason.
    pub unknown: BTreeMap<String, u64>,
    /// Number of attempts after the first of their request.
    pub repeats: u64,
    /// Number of requests not sent because too many requests were in progress.
    pub not_sent: u64,
    /// Request counts by priority class.
    pub classes: BTreeMap<String, ClassCounts>,
}

impl Counts {
    fn add_outcome(&mut self, record: &RequestRecord) {
        match record.outcome {
            Outcome::Useful => {
                self.goodput += 1;
                self.class_counts_mut(&record.class).goodput += 1;
            }
            Outcome::Late => self.late += 1,
            Outcome::Failed => self.failed += 1,
            Outcome::Corrupt => self.corrupt += 1,
            Outcome::NotRun => *self.refused.entry(record.reason.clone()).or_default() += 1,
            Outcome::Unknown => *self.unknown.entry(record.reason.clone()).or_default() += 1,
        }
    }

    fn class_counts_mut(&mut self, class: &str) -> &mut ClassCounts {
        self.classes.entry(class.to_owned()).or_default()
    }
}

/// Output line with the request counts of one second of the load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SecondLine {
    /// Whole seconds since the start of the load.
    pub second: u64,
    /// Request counts of this second.
    #[serde(flatten)]
    pub counts: Counts,
}

/// Latency percentiles of useful requests in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latencies {
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 90th percentile of the latency in milliseconds.
    pub p90_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// Maximum latency in milliseconds.
    pub max_ms: f64,
}

/// Last output line of a load process, with the results of the whole load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// Request counts of the whole load.
    pub summary: Counts,
    /// Latency percentiles of useful requests.
    pub latencies: Latencies,
}

/// Collects the request counts and latencies of one load process.
pub struct LoadStatistics {
    started: Instant,
    inner: Mutex<StatisticsState>,
}

struct StatisticsState {
    total: Counts,
    current: Counts,
    latencies: Histogram<u64>,
}

/// Highest latency that the histogram can hold, in microseconds; higher ones are recorded as this.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

impl LoadStatistics {
    /// Creates empty statistics of a load that starts now.
    pub fn new() -> Self {
        let latencies =
            Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, LATENCY_SIGNIFICANT_DIGITS)
                .expect("constant bounds are valid");
        LoadStatistics {
            started: Instant::now(),
            inner: Mutex::new(StatisticsState {
                total: Counts::default(),
                current: Counts::default(),
                latencies,
            }),
        }
    }

    /// Counts the start of a request of the given priority class.
    pub fn count_start(&self, class: &str) {
        self.update(|counts| {
            counts.offered += 1;
            counts.class_counts_mut(class).offered += 1;
        });
    }

    /// Counts a repeated attempt.
    pub fn count_retry(&self) {
        self.update(|counts| counts.repeats += 1);
    }

    /// Counts a request that was not sent because too many requests were in progress.
    pub fn count_not_sent(&self) {
        self.update(|counts| counts.not_sent += 1);
    }

    /// Counts the outcome of a request, and records `elapsed` as its latency if it was useful.
    pub fn count_outcome(&self, record: &RequestRecord, elapsed: Duration) {
        self.update(|counts| counts.add_outcome(record));
        if record.outcome == Outcome::Useful {
            let micros = elapsed.as_micros() as u64;
            self.lock().latencies.saturating_record(micros);
        }
    }

    fn update(&self, change: impl Fn(&mut Counts)) {
        let mut inner = self.lock();
        change(&mut inner.total);
        change(&mut inner.current);
    }

    fn take_current_second(&self) -> Counts {
        std::mem::take(&mut self.lock().current)
    }

    fn summary(&self) -> Summary {
        let inner = self.lock();
        let quantile = |quantile| inner.latencies.value_at_quantile(quantile) as f64 / 1e3;
        Summary {
            summary: inner.total.clone(),
            latencies: Latencies {
                p50_ms: quantile(0.5),
                p90_ms: quantile(0.9),
                p99_ms: quantile(0.99),
                max_ms: inner.latencies.max() as f64 / 1e3,
            },
        }
    }

    fn lock(&self) -> MutexGuard<'_, StatisticsState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for LoadStatistics {
    fn default() -> Self {
        LoadStatistics::new()
    }
}

/// Prints the request counts of each second at its end, until the task is aborted.
pub async fn print_seconds(clients: Arc<Clients>) {
    for second in 0.. {
        let end = clients.statistics.started + Duration::from_secs(second + 1);
        tokio::time::sleep_until(end).await;
        print_second(&clients, second);
    }
}

fn print_second(clients: &Clients, second: u64) {
    let counts = clients.statistics.take_current_second();
    if let Err(error) = json_lines::print(&SecondLine { second, counts }) {
        eprintln!("cannot write request counts to standard output: {error}");
    }
}

/// Prints the summary of the whole load.
pub fn print_summary(clients: &Clients) -> anyhow::Result<()> {
    Ok(json_lines::print(&clients.statistics.summary())?)
}
