//! How long others go on choosing a server that is gone or leaving.

use std::collections::BTreeMap;

use lifthollow_state::{ServerState, Timestamp};

use super::nodes::Nodes;
use super::setup::{ScaleSetup, node_id};

/// Servers watched at once for one disturbance.
pub const WATCHED_AT_MOST: usize = 16;

/// One server, and since when others should know.
struct Watched {
    index: u32,
    since: Timestamp,
    /// Observers that still choose it.
    pending: Vec<u32>,
}

/// Seconds until each observer stopped choosing each watched server.
#[derive(Default)]
pub struct Watch {
    watched: BTreeMap<u32, Watched>,
    samples: Vec<f64>,
}

impl Watch {
    /// Begins to watch a server.
    pub fn begin(&mut self, now: Timestamp, index: u32, observers: Vec<u32>) {
        let watched = Watched {
            index,
            since: now,
            pending: observers,
        };
        self.watched.insert(index, watched);
    }

    /// The server runs anew: what others choose now says nothing of the old one.
    pub fn end(&mut self, now: Timestamp, index: u32) {
        if let Some(watched) = self.watched.remove(&index) {
            let seconds = (now - watched.since).as_secs_f64();
            self.samples.extend(watched.pending.iter().map(|_| seconds));
        }
    }

    /// How many servers are being watched.
    pub fn count(&self) -> usize {
        self.watched.len()
    }

    /// Looks at all observers.
    pub fn look(&mut self, now: Timestamp, setup: &ScaleSetup, nodes: &Nodes) {
        for watched in self.watched.values_mut() {
            let service = setup.service(watched.index);
            let target = node_id(watched.index);
            let seconds = (now - watched.since).as_secs_f64();
            let samples = &mut self.samples;
            watched.pending.retain(|observer| {
                let Some(fleet) = nodes.running(now, *observer) else {
                    return false;
                };
                let server = fleet.view().directory.server(&service, target);
                let chosen = server.is_some_and(|server| server.state == ServerState::Serving);
                if !chosen {
                    samples.push(seconds);
                }
                chosen
            });
        }
        self.watched
            .retain(|_, watched| !watched.pending.is_empty());
    }

    /// Ends all watches.
    pub fn finish(&mut self, now: Timestamp) {
        let indices: Vec<u32> = self.watched.keys().copied().collect();
        for index in indices {
            self.end(now, index);
        }
    }

    /// The longest time; zero if nothing was watched.
    pub fn longest_seconds(&self) -> f64 {
        self.samples.iter().copied().fold(0.0, f64::max)
    }

    /// 99th percentile of the times; zero if nothing was watched.
    pub fn p99_seconds(&self) -> f64 {
        let mut sorted = self.samples.clone();
        sorted.sort_by(f64::total_cmp);
        let position = (sorted.len() as f64 * 0.99).ceil() as usize;
        position
            .checked_sub(1)
            .and_then(|position| sorted.get(position).copied())
            .unwrap_or(0.0)
    }
}
