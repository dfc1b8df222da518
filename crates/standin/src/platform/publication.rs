//! Publication history of the documents, and the edition that each listener serves.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Published editions of one document, oldest first.
#[derive(Debug, Default)]
pub struct History {
    editions: Vec<Edition>,
}

#[derive(Debug)]
struct Edition {
    published: Instant,
    text: String,
}

impl History {
    /// Adds an edition published at `now`, unless its text equals that of the newest edition.
    pub fn publish(&mut self, now: Instant, text: String) {
        if self.editions.last().is_some_and(|last| last.text == text) {
            return;
        }
        let published = now;
        self.editions.push(Edition { published, text });
    }

    /// Returns the text of the newest edition that is at least `age` old, or of the first one if
    /// all are younger, moved back by `editions_behind` editions. Returns `None` if nothing has
    /// been published.
    pub fn at(&self, now: Instant, age: Duration, editions_behind: usize) -> Option<&str> {
        let old_enough_count = self
            .editions
            .iter()
            .filter(|edition| now.saturating_duration_since(edition.published) >= age)
            .count();
        let newest = old_enough_count.saturating_sub(1);
        let index = newest.saturating_sub(editions_behind);
        self.editions
            .get(index)
            .map(|edition| edition.text.as_str())
    }
}

/// Faults injected into one listener of the configuration service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReaderFault {
    /// Whether the listener answers every GET request with status 503.
    pub down: bool,
    /// Delay added to each response, in milliseconds.
    pub slow_ms: u64,
    /// Age of the state that the listener serves, in milliseconds.
    pub stale_ms: u64,
    /// Number of editions by which the served table is older than the newest.
    pub editions_behind: usize,
    /// Duration in milliseconds of each of the alternating periods in which the listener is up and
    /// down; 0 means always up.
    pub flapping_ms: u64,
}

impl ReaderFault {
    /// Returns whether a request that arrives `elapsed` after the start of the service is answered
    /// with status 503.
    pub fn refuses(&self, elapsed: Duration) -> bool {
        if self.down {
            return true;
        }
        let period = u128::from(self.flapping_ms);
        period > 0 && (elapsed.as_millis() / period) % 2 == 1
    }
}

/// State of the configuration service: publication histories and injected faults.
#[derive(Debug)]
pub struct Platform {
    /// Published editions of the configuration table.
    pub tables: History,
    /// Published editions of the list of machines.
    pub machines: History,
    /// Injected faults of each listener, by its index.
    pub faults: Vec<ReaderFault>,
    machines_lag: Duration,
    started: Instant,
}

impl Platform {
    /// Creates a platform with `readers` listeners and no published documents. The list of machines
    /// is served with a delay of `machines_lag` after its publication.
    pub fn new(readers: usize, machines_lag: Duration) -> Self {
        Platform {
            tables: History::default(),
            machines: History::default(),
            faults: vec![ReaderFault::default(); readers],
            machines_lag,
            started: Instant::now(),
        }
    }

    /// Returns the faults injected at present into the listener with index `reader`.
    pub fn fault(&self, reader: usize) -> ReaderFault {
        self.faults.get(reader).copied().unwrap_or_default()
    }

    /// Returns whether the listener with index `reader` answers a request that arrives now with
    /// status 503.
    pub fn refuses(&self, reader: usize) -> bool {
        self.fault(reader).refuses(self.started.elapsed())
    }

    /// Returns the table that the listener with index `reader` serves at `now`.
    pub fn table_for(&self, reader: usize, now: Instant) -> Option<&str> {
        let fault = self.fault(reader);
        let min_age = Duration::from_millis(fault.stale_ms);
        self.tables.at(now, min_age, fault.editions_behind)
    }

    /// Returns the list of machines that the listener with index `reader` serves at `now`.
    pub fn machines_for(&self, reader: usize, now: Instant) -> Option<&str> {
        let min_age = Duration::from_millis(self.fault(reader).stale_ms);
        self.machines.at(now, min_age + self.machines_lag, 0)
    }
}
