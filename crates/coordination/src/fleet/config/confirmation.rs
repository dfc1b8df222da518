//! Asking peers before acting: after the start, and after a pause.

use std::collections::BTreeSet;
use std::time::Duration;

use lifthollow_state::{NodeId, TableVersion, Timestamp};

/// Peers whose answers are enough.
const PEERS_ASKED: usize = 3;
/// Without any answer for this long, the node acts on what it has.
const NO_PEER_BOUND: Duration = Duration::from_secs(2);
/// With a known newer version that nobody delivers, it waits this long.
const TRANSFER_BOUND: Duration = Duration::from_secs(10);

/// Whether the node may act on its table.
#[derive(Clone, Debug)]
pub(in crate::fleet) struct Confirmation {
    since: Timestamp,
    answered: BTreeSet<NodeId>,
    newest: TableVersion,
    confirmed: bool,
}

impl Confirmation {
    /// Nobody was asked yet.
    pub fn new(now: Timestamp) -> Self {
        Confirmation {
            since: now,
            answered: BTreeSet::new(),
            newest: TableVersion::default(),
            confirmed: false,
        }
    }

    /// Whether the node may act.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// A peer that has this version in force has answered.
    pub fn peer_answered(&mut self, from: NodeId, version: TableVersion) {
        if !self.confirmed {
            self.answered.insert(from);
            self.newest = self.newest.max(version);
        }
    }

    /// Confirms if enough is known; says then whether any peer answered.
    /// `at_hand` is the newest version that the node could act on.
    pub fn settle(
        &mut self,
        now: Timestamp,
        at_hand: TableVersion,
        known_peers: usize,
    ) -> Option<bool> {
        if self.confirmed || !self.may_settle(now, at_hand, known_peers) {
            return None;
        }
        self.confirmed = true;
        Some(!self.answered.is_empty())
    }

    fn may_settle(&self, now: Timestamp, at_hand: TableVersion, known_peers: usize) -> bool {
        let waited = now - self.since;
        if waited >= TRANSFER_BOUND {
            return true;
        }
        if self.newest > at_hand {
            return false;
        }
        let enough = PEERS_ASKED.min(known_peers.max(1));
        waited >= NO_PEER_BOUND || self.answered.len() >= enough
    }
}
