//! A back end: slots, a queue of its own, connections, cold start and faults.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use lifthollow_state::Timestamp;

use super::ids::WireId;

/// A restarted back end works this much slower at first.
pub const RESTART_COLD_FACTOR: f64 = 2.5;
/// Time constant of the warm-up after a restart.
pub const RESTART_WARM_UP: Duration = Duration::from_secs(3);

/// What disturbs a back end now.
#[derive(Clone, Debug, Default)]
pub struct BackEndFaults {
    /// Factors on its service times, one for each slow fault in force.
    pub slow: Vec<f64>,
    /// Rates of errors, one for each fault in force.
    pub errors: Vec<f64>,
    /// Number of faults that keep it from answering.
    pub silent: u32,
}

/// How slow a back end is since its start.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// When it started.
    pub since: Timestamp,
    /// How much slower it is at first.
    pub factor: f64,
    /// Time constant of the exponential warm-up.
    pub warm_up: Duration,
}

/// One back end.
#[derive(Clone, Debug)]
pub struct BackEnd {
    /// Runs that it executes at once.
    pub slots: u32,
    /// Runs that hold a slot.
    pub running: BTreeSet<WireId>,
    /// Runs that wait for a slot.
    pub queue: VecDeque<WireId>,
    /// Open connections from the node beside it, idle ones included.
    pub connections: u32,
    /// Open connections that carry no run.
    pub idle_connections: u32,
    /// Connections that it accepts.
    pub max_connections: u32,
    /// What disturbs it.
    pub faults: BackEndFaults,
    /// Its cold start, if it is not long ago.
    pub cold: Option<ColdStart>,
    /// Runs that will not answer before a fault ends.
    pub stuck: BTreeSet<WireId>,
}

/// What opening or reusing a connection costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// An idle connection is taken.
    Reused,
    /// A new one is opened.
    Opened,
    /// The back end accepts no more.
    Refused,
}

impl BackEnd {
    /// An idle, warm back end.
    pub fn new(slots: u32, max_connections: u32) -> Self {
        BackEnd {
            slots,
            running: BTreeSet::new(),
            queue: VecDeque::new(),
            connections: 0,
            idle_connections: 0,
            max_connections,
            faults: BackEndFaults::default(),
            cold: None,
            stuck: BTreeSet::new(),
        }
    }

    /// A connection for one run.
    pub fn connect(&mut self) -> Connection {
        if self.idle_connections > 0 {
            self.idle_connections -= 1;
            return Connection::Reused;
        }
        if self.connections < self.max_connections {
            self.connections += 1;
            return Connection::Opened;
        }
        Connection::Refused
    }

    /// Gives a connection back; a cancelled run closes its connection.
    pub fn release(&mut self, reusable: bool) {
        if reusable {
            self.idle_connections += 1;
        } else {
            self.connections = self.connections.saturating_sub(1);
        }
    }

    /// Whether a run may start now.
    pub fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots as usize
    }

    /// Whether another run may wait: the back end sheds the rest itself.
    pub fn may_queue(&self) -> bool {
        self.queue.len() < self.max_connections.saturating_sub(self.slots) as usize
    }

    /// Factor on service times at a time.
    pub fn slowness(&self, now: Timestamp) -> f64 {
        let slow: f64 = self.faults.slow.iter().product();
        slow * self.cold.map_or(1.0, |cold| cold.factor_at(now))
    }

    /// Probability that an answer is an error.
    pub fn error_rate(&self) -> f64 {
        let well: f64 = self.faults.errors.iter().map(|rate| 1.0 - rate).product();
        1.0 - well
    }
}

impl ColdStart {
    /// Factor on service times at a time.
    pub fn factor_at(&self, now: Timestamp) -> f64 {
        let age = now.saturating_since(self.since).as_secs_f64();
        let decay = (-age / self.warm_up.as_secs_f64().max(f64::EPSILON)).exp();
        1.0 + (self.factor - 1.0) * decay
    }
}
