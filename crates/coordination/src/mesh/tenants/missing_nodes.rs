//! Which nodes did not answer, and whether they can still lend.
//!
//! A node that stands in for a lender must not lend as much as that one could if both lend at
//! once. A refused connection says that no process is there. Silence says it only after a time
//! that no slow node needs for an answer. Neither says so to a node whose own view is old: it may
//! be cut off itself, and others go on without it. Without that, a third of twelve nodes that
//! were cut off lent themselves so much that a tenant at 7.5 times its usual had 1.16 of what may
//! run in 5 s (test `mesh_quota`).

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use lifthollow_state::Timestamp;

use crate::mesh::tenants::fleet_quota::Standing;

/// A node that has been silent for so long does not lend any more. One that runs ten times
/// slower answers within 0.3 s, and the view of one that is cut off is older than
/// [`FRESH_VIEW`] by then.
const GONE_AFTER: Duration = Duration::from_millis(2500);
/// A node with an older view may be cut off. Nodes in touch check theirs after 2.0 s at the latest,
/// if nothing asks them anything, and look each 0.25 s whether it is time. With 1.5 s, a node that
/// had been idle lent a twelfth of the limit when it began to stand in, and requests below the
/// limit got 429 (test `a_tenant_below_its_limit_is_served_while_any_one_node_is_away`).
const FRESH_VIEW: Duration = Duration::from_millis(2400);
/// A node that did not answer is asked again after this time.
const TRY_AGAIN_AFTER: Duration = Duration::from_millis(300);

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

    /// How a node stands that lends after `before`, whose own view is at most `view_age` old.
    pub fn standing(
        &self,
        now: Timestamp,
        before: &[SocketAddrV4],
        view_age: Option<Duration>,
    ) -> Standing {
        if view_age.is_none_or(|age| age > FRESH_VIEW) {
            return Standing::MayBeCutOff;
        }
        match before.iter().all(|node| self.is_gone(now, *node)) {
            true => Standing::Alone,
            false => Standing::Unsure,
        }
    }

    fn is_gone(&self, now: Timestamp, node: SocketAddrV4) -> bool {
        self.missing.get(&node).is_some_and(|known| {
            known.is_refused || now.saturating_since(known.since) >= GONE_AFTER
        })
    }

    /// Forgets all but `nodes`.
    pub fn retain(&mut self, nodes: &[SocketAddrV4]) {
        self.missing.retain(|node, _| nodes.contains(node));
    }
}
