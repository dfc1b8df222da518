//! Which nodes did not answer, and whether they can still lend.
//!
//! A node that stands in for a lender must not lend as much as that one could if both lend at
//! once. A refused connection says that no process is there. Silence says it only after a time
//! that no slow node needs for an answer.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use lifthollow_state::Timestamp;

/// A node that has been silent for so long does not lend any more: one that runs ten times
/// slower answers within 0.3 s.
const GONE_AFTER: Duration = Duration::from_secs(1);
/// A node that did not answer is asked again after this time.
const TRY_AGAIN_AFTER: Duration = Duration::from_millis(300);

/// What is known of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may be asked.
    Present,
    /// It did not answer a moment ago, and may be slow.
    Unsure,
    /// It lends nothing.
    Gone,
}

/// How a node failed to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No process listens there.
    Refused,
    /// There was no answer in time.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct Missing {
    since: Timestamp,
    tried: Timestamp,
    is_refused: bool,
}

/// Nodes that did not answer when they were asked last.
#[derive(Clone, Debug, Default)]
pub struct MissingNodes {
    missing: HashMap<SocketAddrV4, Missing>,
}

impl MissingNodes {
    /// Whether `node` is worth a question.
    pub fn may_ask(&self, now: Timestamp, node: SocketAddrV4) -> bool {
        let known = self.missing.get(&node);
        known.is_none_or(|known| now.saturating_since(known.tried) >= TRY_AGAIN_AFTER)
    }

    /// `node` answered.
    pub fn answered(&mut self, node: SocketAddrV4) {
        self.missing.remove(&node);
    }

    /// `node` did not answer.
    pub fn failed(&mut self, now: Timestamp, node: SocketAddrV4, failure: Failure) {
        let known = self.missing.entry(node).or_insert(Missing {
            since: now,
            tried: now,
            is_refused: false,
        });
        known.tried = now;
        known.is_refused = failure == Failure::Refused;
    }

    /// What is known of `node`.
    pub fn standing(&self, now: Timestamp, node: SocketAddrV4) -> Standing {
        match self.missing.get(&node) {
            None => Standing::Present,
            Some(known) if known.is_refused => Standing::Gone,
            Some(known) if now.saturating_since(known.since) >= GONE_AFTER => Standing::Gone,
            Some(_) => Standing::Unsure,
        }
    }

    /// Forgets all but `nodes`.
    pub fn retain(&mut self, nodes: &[SocketAddrV4]) {
        self.missing.retain(|node, _| nodes.contains(node));
    }
}
