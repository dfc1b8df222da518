//! How long an accepted table takes to come into force everywhere.

use std::collections::BTreeSet;
use std::time::Duration;

use lifthollow_state::{TableVersion, Timestamp};

use super::setup::WARM_UP;

/// Parts of the fleet that may be cut from each other.
const PARTS: usize = 2;

/// One node as this observer sees it.
#[derive(Clone, Copy, Default)]
struct Seen {
    version: TableVersion,
    /// Since when the node runs and could have been told.
    eligible: Option<Timestamp>,
}

/// Watches every node's version.
pub struct Convergence {
    nodes: Vec<Seen>,
    /// When each version was first in force anywhere in a part, by number.
    first: Vec<[Option<Timestamp>; PARTS]>,
    /// Among nodes that had a table before.
    longest: Duration,
    /// Among nodes that had just started with nothing.
    longest_fresh: Duration,
    reversions: u64,
    started: Option<Timestamp>,
    /// Nodes that have not had a table yet.
    fresh: BTreeSet<usize>,
}

impl Convergence {
    /// Nobody runs yet.
    pub fn new(nodes: usize) -> Self {
        Convergence {
            nodes: vec![Seen::default(); nodes],
            first: Vec::new(),
            longest: Duration::ZERO,
            longest_fresh: Duration::ZERO,
            reversions: 0,
            started: None,
            fresh: (0..nodes).collect(),
        }
    }

    /// A node starts with nothing.
    pub fn node_started(&mut self, now: Timestamp, index: usize) {
        self.nodes[index] = Seen {
            version: TableVersion::default(),
            eligible: Some(now),
        };
    }

    /// A node runs again after a pause, or can be reached again.
    pub fn node_reachable(&mut self, now: Timestamp, index: usize) {
        if self.nodes[index].eligible.is_some() {
            self.nodes[index].eligible = Some(now);
        }
    }

    /// A node is gone or paused.
    pub fn node_stopped(&mut self, index: usize) {
        self.nodes[index].eligible = None;
        self.fresh.remove(&index);
    }

    /// A paused node runs again.
    pub fn node_resumed(&mut self, now: Timestamp, index: usize) {
        self.nodes[index].eligible = Some(now);
    }

    /// Looks at the version in force on a node that has just handled an event.
    pub fn look(&mut self, now: Timestamp, index: usize, version: TableVersion, part: usize) {
        let seen = self.nodes[index];
        if version == seen.version {
            return;
        }
        if version < seen.version {
            self.reversions += 1;
        }
        self.nodes[index].version = version;
        let number = version.number as usize;
        if self.first.len() <= number {
            self.first.resize(number + 1, [None; PARTS]);
        }
        self.first[number][part].get_or_insert(now);
        let fresh = seen.version == TableVersion::default();
        let before = if fresh {
            number - 1
        } else {
            seen.version.number as usize
        };
        for reached in before + 1..=number {
            self.measure(now, index, reached, part, fresh);
        }
        if self.fresh.remove(&index) && self.fresh.is_empty() {
            self.started = Some(now);
        }
    }

    fn measure(&mut self, now: Timestamp, index: usize, number: usize, part: usize, fresh: bool) {
        let first = self.first.get(number).and_then(|first| first[part]);
        let (Some(first), Some(eligible)) = (first, self.nodes[index].eligible) else {
            return;
        };
        let since = first.max(eligible);
        if since < Timestamp::ZERO + WARM_UP {
            return;
        }
        let longest = match fresh {
            true => &mut self.longest_fresh,
            false => &mut self.longest,
        };
        *longest = (*longest).max(now - since);
    }

    /// The run ends: nodes that are still behind count as well.
    pub fn finish(&mut self, now: Timestamp, part: impl Fn(usize) -> usize) {
        let newest = self.first.len().saturating_sub(1);
        for index in 0..self.nodes.len() {
            let version = self.nodes[index].version;
            let fresh = version == TableVersion::default();
            for number in version.number as usize + 1..=newest {
                self.measure(now, index, number, part(index), fresh);
            }
        }
    }

    /// The longest time from a version's first acceptance, or from the moment a
    /// node could be reached, to its acceptance.
    pub fn longest_seconds(&self) -> f64 {
        self.longest.max(self.longest_fresh).as_secs_f64()
    }

    /// The longest time from a node's start with nothing to its first table.
    pub fn longest_fresh_seconds(&self) -> f64 {
        self.longest_fresh.as_secs_f64()
    }

    /// How often a node went to an older version.
    pub fn reversions(&self) -> u64 {
        self.reversions
    }

    /// When every node had a table after the start of the whole fleet.
    pub fn started_seconds(&self) -> Option<f64> {
        self.started.map(Timestamp::as_secs_f64)
    }
}
