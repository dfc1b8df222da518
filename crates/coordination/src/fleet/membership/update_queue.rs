//! Queue of member updates that are piggybacked on probes until they have spread.

use std::collections::{BTreeMap, BTreeSet};

use lifthollow_state::NodeId;

/// Maximum number of records in the queue. When more change, those forwarded most
/// often are dropped; synchronization brings them to the remaining nodes.
const MAX_QUEUED: usize = 128;

/// Nodes whose records are to be forwarded, least often forwarded first.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    forwards: BTreeMap<NodeId, u32>,
    order: BTreeSet<(u32, NodeId)>,
}

impl UpdateQueue {
    /// Queues the new record of `node`. If the queue is full, the entry that was
    /// forwarded most often is dropped.
    pub fn push(&mut self, node: NodeId) {
        self.remove(node);
        self.insert(node, 0);
        if self.order.len() > MAX_QUEUED
            && let Some((_, dropped)) = self.order.pop_last()
        {
            self.forwards.remove(&dropped);
        }
    }

    /// Number of queued records.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Counts a record received again from another node as if this node had forwarded
    /// it.
    pub fn record_duplicate(&mut self, node: NodeId, limit: u32) {
        if let Some(forwards) = self.remove(node) {
            self.count_forward(node, forwards, limit);
        }
    }

    /// Takes the nodes whose records are forwarded next, as long as `fits` accepts
    /// them, and counts them as forwarded. `limit` is the count at which a record
    /// leaves the queue.
    pub fn take(&mut self, limit: u32, mut fits: impl FnMut(NodeId) -> bool) -> Vec<NodeId> {
        let chosen: Vec<(u32, NodeId)> = self
            .order
            .iter()
            .copied()
            .take_while(|(_, node)| fits(*node))
            .collect();
        for (forwards, node) in &chosen {
            self.remove(*node);
            self.count_forward(*node, *forwards, limit);
        }
        chosen.into_iter().map(|(_, node)| node).collect()
    }

    fn count_forward(&mut self, node: NodeId, forwards: u32, limit: u32) {
        if forwards + 1 < limit {
            self.insert(node, forwards + 1);
        }
    }

    fn insert(&mut self, node: NodeId, forwards: u32) {
        self.forwards.insert(node, forwards);
        self.order.insert((forwards, node));
    }

    fn remove(&mut self, node: NodeId) -> Option<u32> {
        let forwards = self.forwards.remove(&node)?;
        self.order.remove(&(forwards, node));
        Some(forwards)
    }
}

/// Number of times that a record is forwarded or received again in a fleet of `members` nodes
/// before it leaves the queue: enough to reach nearly all nodes, so that
/// synchronization has to repair only the rest.
pub fn forward_limit(members: usize) -> u32 {
    2 * (members.max(2) as f64).ln().ceil() as u32 + 2
}
