//! The queue of what happens next.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lifthollow_state::Timestamp;

use super::schedule::Occurrence;

/// What happens next.
pub enum Happening {
    /// A node asked to be woken.
    Wake {
        /// The node.
        index: u32,
        /// The life in which it asked.
        life: u32,
    },
    /// A datagram arrives.
    Deliver {
        /// The node that sent it.
        from: u32,
        /// The node that it is for.
        to: u32,
        /// Its bytes.
        datagram: Box<[u8]>,
    },
    /// Something happens to nodes or to the platform.
    Occur(Occurrence),
    /// Observers look at all nodes.
    Look,
}

struct Scheduled {
    at: Timestamp,
    order: u64,
    happening: Happening,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Everything that will happen, ordered by time and then by when it was scheduled.
#[derive(Default)]
pub struct EventQueue {
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
}

impl EventQueue {
    /// Adds something to happen.
    pub fn schedule(&mut self, at: Timestamp, happening: Happening) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(Scheduled {
            at,
            order,
            happening,
        }));
    }

    /// What happens next, unless it is later than `end`.
    pub fn next(&mut self, end: Timestamp) -> Option<(Timestamp, Happening)> {
        let Reverse(next) = self.queue.pop()?;
        (next.at <= end).then_some((next.at, next.happening))
    }
}
