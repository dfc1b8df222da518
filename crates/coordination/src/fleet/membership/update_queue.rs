//! News of members that are passed on with probes until they have spread.

use std::collections::{BTreeMap, BTreeSet};

use lifthollow_state::NodeId;

/// Records that are passed on at once at most. When more change, those passed on
/// most often are dropped; comparison of all members brings them to the rest.
const LONGEST: usize = 128;

/// Nodes whose records are to be passed on, least often passed on first.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    passes: BTreeMap<NodeId, u32>,
    order: BTreeSet<(u32, NodeId)>,
}

impl UpdateQueue {
    /// The record of `node` is new.
    pub fn push(&mut self, node: NodeId) {
        self.remove(node);
        self.insert(node, 0);
        if self.order.len() > LONGEST
            && let Some((_, dropped)) = self.order.pop_last()
        {
            self.passes.remove(&dropped);
        }
    }

    /// How many records are being passed on.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Another node passed on the same record: it counts as a pass of ours.
    pub fn heard_again(&mut self, node: NodeId, limit: u32) {
        if let Some(passes) = self.remove(node) {
            self.count_pass(node, passes, limit);
        }
    }

    /// Nodes to pass on next, as long as `fits` accepts them.
    pub fn take(&mut self, limit: u32, mut fits: impl FnMut(NodeId) -> bool) -> Vec<NodeId> {
        let chosen: Vec<(u32, NodeId)> = self
            .order
            .iter()
            .copied()
            .take_while(|(_, node)| fits(*node))
            .collect();
        for (passes, node) in &chosen {
            self.remove(*node);
            self.count_pass(*node, *passes, limit);
        }
        chosen.into_iter().map(|(_, node)| node).collect()
    }

    fn count_pass(&mut self, node: NodeId, passes: u32, limit: u32) {
        if passes + 1 < limit {
            self.insert(node, passes + 1);
        }
    }

    fn insert(&mut self, node: NodeId, passes: u32) {
        self.passes.insert(node, passes);
        self.order.insert((passes, node));
    }

    fn remove(&mut self, node: NodeId) -> Option<u32> {
        let passes = self.passes.remove(&node)?;
        self.order.remove(&(passes, node));
        Some(passes)
    }
}

/// How often a record is passed on or heard again in a fleet of `members`: enough
/// to reach nearly all, so that comparison has to mend only the rest.
pub fn pass_limit(members: usize) -> u32 {
    2 * (members.max(2) as f64).ln().ceil() as u32 + 2
}
