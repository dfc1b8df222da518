//! Nodes that did not answer, and whether they may still lend.
//!
//! A node that stands in for a lender must not lend the full limit while the lender may still lend
//! as well. A refused connection shows that no process is running there. A missing answer shows it
//! only after a time within which even a slow node would have answered. Neither is conclusive for a
//! node whose own configuration view is old: that node may be cut off itself, while the others
//! continue without it. Without the check of the view's age, a third of twelve nodes that were cut
//! off lent themselves so much that a tenant at 7.5 times its usual load ran 1.16 times the
//! requests that may run in 5 s (test `mesh_quota`).

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use lifthollow_state::Timestamp;

use crate::mesh::tenants::fleet_quota::Standing;

/// Time without an answer after which a node is assumed not to lend any more. A node that runs ten
/// times slower than usual still answers within 0.3 s, and the view of a node that is cut off is
/// older than [`MAX_FRESH_VIEW_AGE`] by then.
const ASSUMED_GONE_AFTER: Duration = Duration::from_millis(2500);
/// View age above which a node may be cut off. Connected nodes check their view after 2.0 s at the
/// latest if they receive no requests, and test every 0.25 s whether it is time to. With 1.5 s, a
/// node that had been idle lent only a twelfth of the limit when it began to stand in, and requests
/// below the limit were answered with 429 (test
/// `a_tenant_below_its_limit_is_served_while_any_one_node_is_away`).
const MAX_FRESH_VIEW_AGE: Duration = Duration::from_millis(2400);
/// Time after which a node that did not answer may be asked again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(300);

/// Kind of failure of a node to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was refused: no process listens at the node's address.
    Refused,
    /// The node did not answer in time.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct FailedNode {
    first_failed_at: Timestamp,
    last_failed_at: Timestamp,
    is_refused: bool,
}

/// Nodes that did not answer when they were last asked.
#[derive(Clone, Debug, Default)]
pub struct UnresponsiveNodes {
    unresponsive: HashMap<SocketAddrV4, FailedNode>,
}

impl UnresponsiveNodes {
    /// Returns whether `node` may be asked now: it did not recently fail to answer.
    pub fn may_ask(&self, now: Timestamp, node: SocketAddrV4) -> bool {
        let entry = self.unresponsive.get(&node);
        entry.is_none_or(|entry| now.saturating_since(entry.last_failed_at) >= ASK_AGAIN_AFTER)
    }

    /// Records that `node` answered.
    pub fn answered(&mut self, node: SocketAddrV4) {
        self.unresponsive.remove(&node);
    }

    /// Records that `node` did not answer.
    pub fn failed(&mut self, now: Timestamp, node: SocketAddrV4, failure: Failure) {
        let entry = self.unresponsive.entry(node).or_insert(FailedNode {
            first_failed_at: now,
            last_failed_at: now,
            is_refused: false,
        });
        entry.last_failed_at = now;
        entry.is_refused = failure == Failure::Refused;
    }

    /// Returns the standing of a node that lends after the nodes `before` it. `view_age` is an
    /// upper bound of the age of the node's own view, `None` if the view was never confirmed.
    pub fn standing(
        &self,
        now: Timestamp,
        before: &[SocketAddrV4],
        view_age: Option<Duration>,
    ) -> Standing {
        if view_age.is_none_or(|age| age > MAX_FRESH_VIEW_AGE) {
            return Standing::MayBeCutOff;
        }
        match before.iter().all(|node| self.is_gone(now, *node)) {
            true => Standing::Alone,
            false => Standing::Unsure,
        }
    }

    fn is_gone(&self, now: Timestamp, node: SocketAddrV4) -> bool {
        self.unresponsive.get(&node).is_some_and(|entry| {
            entry.is_refused || now.saturating_since(entry.first_failed_at) >= ASSUMED_GONE_AFTER
        })
    }

    /// Forgets all nodes but `nodes`.
    pub fn retain(&mut self, nodes: &[SocketAddrV4]) {
        self.unresponsive.retain(|node, _| nodes.contains(node));
    }
}
