//! What was published when, and what a reader gets to see of it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Editions of one document, oldest first.
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
    /// Adds an edition unless it is the same as the newest.
    pub fn publish(&mut self, now: Instant, text: String) {
        if self.editions.last().is_some_and(|last| last.text == text) {
            return;
        }
        let published = now;
        self.editions.push(Edition { published, text });
    }

    /// The newest edition that is at least `age` old, or the first one if all
    /// are younger, moved back by `editions_behind` editions.
    pub fn at(&self, now: Instant, age: Duration, editions_behind: usize) -> Option<&str> {
        let published = self
            .editions
            .iter()
            .filter(|edition| now.saturating_duration_since(edition.published) >= age)
            .count();
        let newest = published.saturating_sub(1);
        let index = newest.saturating_sub(editions_behind);
        self.editions
            .get(index)
            .map(|edition| edition.text.as_str())
    }
}

/// How the service treats one of its readers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReaderFault {
    /// Answers nothing but 503.
    pub down: bool,
    /// Answers this much later.
    pub slow_ms: u64,
    /// Answers as of this long ago.
    pub stale_ms: u64,
    /// Answers this many editions of the table behind.
    pub editions_behind: usize,
    /// Is up and down in turn for this long each; 0 means always up.
    pub flapping_ms: u64,
}

impl ReaderFault {
    /// Whether a request that arrives `elapsed` after the service's start gets 503.
    pub fn refuses(&self, elapsed: Duration) -> bool {
        if self.down {
            return true;
        }
        let period = u128::from(self.flapping_ms);
        period > 0 && (elapsed.as_millis() / period) % 2 == 1
    }
}

/// All that the platform knows.
#[derive(Debug)]
pub struct Platform {
    /// Editions of the table.
    pub tables: History,
    /// Editions of the list of machines.
    pub machines: History,
    /// One fault setting for each listener.
    pub faults: Vec<ReaderFault>,
    machines_lag: Duration,
    started: Instant,
}

impl Platform {
    /// An empty platform with `readers` listeners.
    pub fn new(readers: usize, machines_lag: Duration) -> Self {
        Platform {
            tables: History::default(),
            machines: History::default(),
            faults: vec![ReaderFault::default(); readers],
            machines_lag,
            started: Instant::now(),
        }
    }

    /// The fault setting of a listener at this moment.
    pub fn fault(&self, reader: usize) -> ReaderFault {
        self.faults.get(reader).copied().unwrap_or_default()
    }

    /// Whether the listener refuses a request that arrives now.
    pub fn refuses(&self, reader: usize) -> bool {
        self.fault(reader).refuses(self.started.elapsed())
    }

    /// The table as the listener shows it now.
    pub fn table_for(&self, reader: usize, now: Instant) -> Option<&str> {
        let fault = self.fault(reader);
        let stale = Duration::from_millis(fault.stale_ms);
        self.tables.at(now, stale, fault.editions_behind)
    }

    /// The list of machines as the listener shows it now.
    pub fn machines_for(&self, reader: usize, now: Instant) -> Option<&str> {
        let stale = Duration::from_millis(self.fault(reader).stale_ms);
        self.machines.at(now, stale + self.machines_lag, 0)
    }
}
