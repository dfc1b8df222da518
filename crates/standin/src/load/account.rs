//! Counts per second and in sum.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::record::{Outcome, RequestRecord};
use super::request::Clients;
use crate::json_lines;

/// Counts for one priority class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// Requests started.
    pub offered: u64,
    /// Requests whose complete answer came in time.
    pub goodput: u64,
}

/// Counts of requests; offered by their start, all else by their end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests started.
    pub offered: u64,
    /// Requests whose complete answer came in time.
    pub goodput: u64,
    /// Requests whose complete answer came too late.
    pub late: u64,
    /// Requests that ended with a service's error.
    pub failed: u64,
    /// Requests that ended with an answer that is not theirs.
    pub corrupt: u64,
    /// Requests told in the end that they had not run, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests of which nothing is known in the end, by reason.
    pub unknown: BTreeMap<String, u64>,
    /// Attempts after the first.
    pub repeats: u64,
    /// Requests that the load program had no room to send.
    pub not_sent: u64,
    /// By priority class.
    pub classes: BTreeMap<String, ClassCounts>,
}

impl Counts {
    fn count_end(&mut self, record: &RequestRecord) {
        match record.outcome {
            Outcome::Useful => {
                self.goodput += 1;
                self.class(&record.class).goodput += 1;
            }
            Outcome::Late => self.late += 1,
            Outcome::Failed => self.failed += 1,
            Outcome::Corrupt => self.corrupt += 1,
            Outcome::NotRun => *self.refused.entry(record.reason.clone()).or_default() += 1,
            Outcome::Unknown => *self.unknown.entry(record.reason.clone()).or_default() += 1,
        }
    }

    fn class(&mut self, class: &str) -> &mut ClassCounts {
        self.classes.entry(class.to_owned()).or_default()
    }
}

/// One second of the load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SecondLine {
    /// Whole seconds since the load's start.
    pub second: u64,
    /// Counts of this second.
    #[serde(flatten)]
    pub counts: Counts,
}

/// Latencies of useful requests in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latencies {
    /// Median.
    pub p50_ms: f64,
    /// 90 in 100 are at most this.
    pub p90_ms: f64,
    /// 99 in 100 are at most this.
    pub p99_ms: f64,
    /// Largest.
    pub max_ms: f64,
}

/// The last line of the load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// Counts of the whole run.
    pub summary: Counts,
    /// Latencies of useful requests.
    pub latencies: Latencies,
}

/// Accounts for all requests of one load process.
pub struct Account {
    started: Instant,
    inner: Mutex<Inner>,
}

struct Inner {
    total: Counts,
    current: Counts,
    latencies: Histogram<u64>,
}

/// Latencies above this are counted as this, microseconds.
const LATENCY_HIGHEST_MICROS: u64 = 3_600_000_000;
const LATENCY_DIGITS: u8 = 3;

impl Account {
    /// An empty account that starts now.
    pub fn new() -> Self {
        let latencies = Histogram::new_with_bounds(1, LATENCY_HIGHEST_MICROS, LATENCY_DIGITS)
            .expect("constant bounds are valid");
        Account {
            started: Instant::now(),
            inner: Mutex::new(Inner {
                total: Counts::default(),
                current: Counts::default(),
                latencies,
            }),
        }
    }

    /// A request starts.
    pub fn offered(&self, class: &str) {
        self.change(|counts| {
            counts.offered += 1;
            counts.class(class).offered += 1;
        });
    }

    /// A request is repeated.
    pub fn repeated(&self) {
        self.change(|counts| counts.repeats += 1);
    }

    /// A request could not be sent for lack of room.
    pub fn not_sent(&self) {
        self.change(|counts| counts.not_sent += 1);
    }

    /// A request has ended.
    pub fn ended(&self, record: &RequestRecord, elapsed: Duration) {
        self.change(|counts| counts.count_end(record));
        if record.outcome == Outcome::Useful {
            let micros = elapsed.as_micros() as u64;
            self.lock().latencies.saturating_record(micros);
        }
    }

    fn change(&self, change: impl Fn(&mut Counts)) {
        let mut inner = self.lock();
        change(&mut inner.total);
        change(&mut inner.current);
    }

    fn take_second(&self) -> Counts {
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

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Account {
    fn default() -> Self {
        Account::new()
    }
}

/// Prints a line at the end of each second.
pub async fn print_seconds(clients: Arc<Clients>) {
    for second in 0.. {
        let end = clients.account.started + Duration::from_secs(second + 1);
        tokio::time::sleep_until(end).await;
        print_second(&clients, second);
    }
}

fn print_second(clients: &Clients, second: u64) {
    let counts = clients.account.take_second();
    if let Err(error) = json_lines::print(&SecondLine { second, counts }) {
        eprintln!("cannot print: {error}");
    }
}

/// Prints the sums.
pub fn print_summary(clients: &Clients) -> anyhow::Result<()> {
    Ok(json_lines::print(&clients.account.summary())?)
}
