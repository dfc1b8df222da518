//! Queue of attempts that wait for a free slot at the back end.
//!
//! The attempts are ordered by priority, then by deadline. The attempt with the
//! lowest priority can be evicted for a more important one, and attempts that can
//! no longer finish in time are found without a scan.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use lifthollow_state::{Priority, Timestamp};

use super::InboundId;

/// An attempt that waits in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedAttempt {
    /// Number of the attempt.
    pub id: InboundId,
    /// Priority of the attempt, by which the queue is ordered first.
    pub priority: Priority,
    /// Time at which the attempt's caller stops waiting.
    pub deadline: Timestamp,
}

/// Sort key of a queued attempt; the lowest rank is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: Reverse<Priority>,
    deadline: Timestamp,
    id: InboundId,
}

impl Rank {
    fn of(attempt: &QueuedAttempt) -> Self {
        Rank {
            priority: Reverse(attempt.priority),
            deadline: attempt.deadline,
            id: attempt.id,
        }
    }

    fn attempt(&self) -> QueuedAttempt {
        QueuedAttempt {
            id: self.id,
            priority: self.priority.0,
            deadline: self.deadline,
        }
    }
}

/// The queue of one service's waiting attempts.
#[derive(Debug, Default)]
pub struct PriorityQueue {
    by_rank: BTreeSet<Rank>,
    by_deadline: BTreeSet<(Timestamp, InboundId)>,
    ranks: BTreeMap<InboundId, Rank>,
}

impl PriorityQueue {
    /// Number of attempts that wait.
    pub fn len(&self) -> usize {
        self.by_rank.len()
    }

    /// Whether no attempt waits.
    pub fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }

    /// Adds an attempt to the queue.
    pub fn push(&mut self, attempt: QueuedAttempt) {
        let rank = Rank::of(&attempt);
        self.by_rank.insert(rank);
        self.by_deadline.insert((attempt.deadline, attempt.id));
        self.ranks.insert(attempt.id, rank);
    }

    /// Removes an attempt and returns whether it was in the queue.
    pub fn remove(&mut self, id: InboundId) -> bool {
        let Some(rank) = self.ranks.remove(&id) else {
            return false;
        };
        self.by_rank.remove(&rank);
        self.by_deadline.remove(&(rank.deadline, id));
        true
    }

    /// The priority of the most important attempt that waits.
    pub fn highest_priority(&self) -> Option<Priority> {
        self.by_rank.first().map(|rank| rank.priority.0)
    }

    /// Removes and returns the attempt that is to be served first.
    pub fn pop_most_important(&mut self) -> Option<QueuedAttempt> {
        let attempt = self.by_rank.first()?.attempt();
        self.remove(attempt.id);
        Some(attempt)
    }

    /// Removes and returns the least important attempt if its priority is below
    /// `priority`.
    pub fn evict_below(&mut self, priority: Priority) -> Option<QueuedAttempt> {
        let attempt = self.by_rank.last()?.attempt();
        if attempt.priority >= priority {
            return None;
        }
        self.remove(attempt.id);
        Some(attempt)
    }

    /// Removes and returns the attempt with the earliest deadline if that lies
    /// before `earliest_end`.
    pub fn pop_deadline_before(&mut self, earliest_end: Timestamp) -> Option<QueuedAttempt> {
        let &(deadline, id) = self.by_deadline.first()?;
        if deadline >= earliest_end {
            return None;
        }
        let attempt = self.ranks.get(&id)?.attempt();
        self.remove(id);
        Some(attempt)
    }

    /// The earliest deadline of all waiting attempts.
    pub fn earliest_deadline(&self) -> Option<Timestamp> {
        self.by_deadline.first().map(|(deadline, _)| *deadline)
    }

    /// Number of waiting attempts that would be served before a new attempt of
    /// `priority`.
    pub fn count_ahead_of(&self, priority: Priority) -> usize {
        self.by_rank
            .iter()
            .take_while(|rank| rank.priority.0 >= priority)
            .count()
    }
}
