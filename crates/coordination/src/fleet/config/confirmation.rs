//! Delays the use of the table after a start or a pause until peers have been
//! asked whether they have a newer version.

use std::collections::BTreeSet;
use std::time::Duration;

use lifthollow_state::{NodeId, TableVersion, Timestamp};

/// Number of answering peers that is enough to confirm the table; fewer if this
/// node knows fewer peers.
const REQUIRED_ANSWERS: usize = 3;
/// If too few peers answer within this time and none of them has a newer version,
/// the node acts on the table it has.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// If a peer has a newer version but no node delivers it within this time, the
/// node acts on the table it has.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

/// Tracks whether this node may act on its table.
#[derive(Clone, Debug)]
pub(in crate::fleet) struct Confirmation {
    started_at: Timestamp,
    answered_peers: BTreeSet<NodeId>,
    newest_seen: TableVersion,
    confirmed: bool,
}

impl Confirmation {
    /// Starts an unconfirmed state in which no peer has answered yet.
    pub fn new(now: Timestamp) -> Self {
        Confirmation {
            started_at: now,
            answered_peers: BTreeSet::new(),
            newest_seen: TableVersion::default(),
            confirmed: false,
        }
    }

    /// Whether this node may act on its table.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Records that peer `from` answered and has `version` in force.
    pub fn record_answer(&mut self, from: NodeId, version: TableVersion) {
        if !self.confirmed {
            self.answered_peers.insert(from);
            self.newest_seen = self.newest_seen.max(version);
        }
    }

    /// Confirms the table if enough peers answered or a time limit has passed.
    /// Returns whether any peer answered, or `None` if nothing was confirmed now.
    /// `newest_available` is the newest version that this node could act on.
    pub fn try_confirm(
        &mut self,
        now: Timestamp,
        newest_available: TableVersion,
        known_peers: usize,
    ) -> Option<bool> {
        if self.confirmed || !self.can_confirm(now, newest_available, known_peers) {
            return None;
        }
        self.confirmed = true;
        Some(!self.answered_peers.is_empty())
    }

    fn can_confirm(
        &self,
        now: Timestamp,
        newest_available: TableVersion,
        known_peers: usize,
    ) -> bool {
        let waited = now - self.started_at;
        if waited >= TRANSFER_TIMEOUT {
            return true;
        }
        if self.newest_seen > newest_available {
            return false;
        }
        let required = REQUIRED_ANSWERS.min(known_peers.max(1));
        waited >= ANSWER_TIMEOUT || self.answered_peers.len() >= required
    }
}
