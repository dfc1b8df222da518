//! Finds the request that a nested call belongs to.
//!
//! A request and all the calls it leads to form a tree, and are admitted or
//! refused together: they share a [`Priority`], so that every server sheds the same
//! trees and no server works for a tree that fails elsewhere.
//!
//! A call doesn't identify the request that it is made for. However, its node knows which
//! requests its local server runs: a call belongs to the run whose request ID is the
//! prefix of the call's own, or else to the run that has the same deadline.
//!
//! The server decides when a run ends: it may work on after its caller has left, or after another
//! server has answered, and it may not know of either. Such a run is abandoned. Its calls are recognized
//! until its deadline, at which the server stops its work.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use lifthollow_state::{Priority, PriorityClass, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use crate::inbound::InboundId;

/// Maximum difference between the deadlines of a run and of its calls: deadlines are transmitted in
/// whole milliseconds and arrive a little later.
const DEADLINE_TOLERANCE: Duration = Duration::from_micros(2500);
/// Separates the parts of the request ID of a nested call.
const SEPARATOR: char = '.';
/// Maximum number of abandoned runs that are remembered. When it is exceeded, the one with the earliest
/// deadline is forgotten.
const MAX_ABANDONED_RUNS: usize = 4096;
/// Number of user priorities within each priority class.
const USER_PRIORITIES_PER_CLASS: u64 = 128;
/// Number of route ranks that are distinguished among requests of tenants with the same rank.
const DISTINGUISHED_ROUTE_RANKS: u64 = 3;
/// Number of user priorities for each of the distinguished route ranks.
const USER_PRIORITIES_PER_ROUTE_RANK: u64 = USER_PRIORITIES_PER_CLASS / DISTINGUISHED_ROUTE_RANKS;

/// The properties that a nested call inherits from the run that makes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parent {
    /// Identifies the run that makes the call.
    pub run: InboundId,
    /// The priority of the request tree, which determines the order of load shedding.
    pub priority: Priority,
    /// Whether the run was a retry, which makes its calls count as retries too.
    pub is_retry: bool,
}

/// The requests that this node's local server is running.
#[derive(Clone, Debug, Default)]
pub struct RunningRequests {
    by_id: HashMap<String, Run>,
    /// The runs that are not abandoned. A caller that has left may come back with the same deadline, so
    /// that of an abandoned run doesn't tell its calls.
    by_deadline: BTreeSet<(Timestamp, String)>,
    abandoned: BTreeSet<(Timestamp, String)>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    parent: Parent,
    deadline: Timestamp,
    is_abandoned: bool,
}

impl RunningRequests {
    /// Records that a run starts, with the properties that its calls inherit.
    pub fn started(&mut self, request_id: &str, deadline: Timestamp, inherited: Parent) {
        self.remove(request_id);
        let run = Run {
            parent: inherited,
            deadline,
            is_abandoned: false,
        };
        self.by_id.insert(request_id.to_owned(), run);
        self.by_deadline.insert((deadline, request_id.to_owned()));
    }

    /// Removes a run that has ended, unless it is abandoned or another run has taken over its request ID.
    pub fn ended(&mut self, request_id: &str, run: InboundId) {
        let known = self.by_id.get(request_id);
        if known.is_some_and(|known| known.parent.run == run && !known.is_abandoned) {
            self.remove(request_id);
        }
    }

    /// Records that nobody waits for a run any more, although the server may work on. It is remembered
    /// until its deadline, unless another run has taken over its request ID.
    pub fn abandoned(&mut self, request_id: &str, run: InboundId) {
        let Some(known) = self.by_id.get_mut(request_id) else {
            return;
        };
        if known.parent.run != run || known.is_abandoned {
            return;
        }
        known.is_abandoned = true;
        let key = (known.deadline, request_id.to_owned());
        self.by_deadline.remove(&key);
        self.abandoned.insert(key);
        if self.abandoned.len() > MAX_ABANDONED_RUNS {
            self.forget_next_abandoned();
        }
    }

    /// Forgets the abandoned runs whose deadline has passed.
    pub fn forget_overdue(&mut self, now: Timestamp) {
        let is_overdue = |next: &(Timestamp, String)| next.0 + DEADLINE_TOLERANCE < now;
        while self.abandoned.first().is_some_and(is_overdue) {
            self.forget_next_abandoned();
        }
    }

    /// Forgets all abandoned runs: the server that ran them has ended.
    pub fn forget_abandoned(&mut self) {
        while !self.abandoned.is_empty() {
            self.forget_next_abandoned();
        }
    }

    /// Number of abandoned runs that are remembered.
    pub fn abandoned_count(&self) -> usize {
        self.abandoned.len()
    }

    fn forget_next_abandoned(&mut self) {
        if let Some((_, request_id)) = self.abandoned.pop_first() {
            self.by_id.remove(&request_id);
        }
    }

    fn remove(&mut self, request_id: &str) {
        if let Some(run) = self.by_id.remove(request_id) {
            let key = (run.deadline, request_id.to_owned());
            self.by_deadline.remove(&key);
            self.abandoned.remove(&key);
        }
    }

    /// The run that makes a call from this node's local server; `None` for requests of
    /// callers.
    pub fn parent_of(
        &self,
        now: Timestamp,
        request_id: &str,
        deadline: Timestamp,
    ) -> Option<Parent> {
        self.by_request_id(now, request_id)
            .or_else(|| self.by_deadline(deadline))
    }

    /// Whether the request ID shows that a run on this node's local server makes the call.
    pub fn has_parent(&self, now: Timestamp, request_id: &str) -> bool {
        self.by_request_id(now, request_id).is_some()
    }

    fn by_request_id(&self, now: Timestamp, request_id: &str) -> Option<Parent> {
        let run = self.by_id.get(parent_id(request_id)?)?;
        let is_overdue = run.is_abandoned && run.deadline + DEADLINE_TOLERANCE < now;
        (!is_overdue).then_some(run.parent)
    }

    fn by_deadline(&self, deadline: Timestamp) -> Option<Parent> {
        let range_start = (deadline.saturating_sub(DEADLINE_TOLERANCE), String::new());
        let distance = |known: Timestamp| {
            let after = known.saturating_since(deadline);
            after.max(deadline.saturating_since(known))
        };
        self.by_deadline
            .range(range_start..)
            .take_while(|(known, _)| *known <= deadline + DEADLINE_TOLERANCE)
            .min_by_key(|(known, _)| distance(*known))
            .and_then(|(_, id)| self.by_id.get(id))
            .map(|run| run.parent)
    }
}

/// Returns the ID of the request that a nested call is made for, if the call's ID names it.
pub fn parent_id(request_id: &str) -> Option<&str> {
    let (parent, _) = request_id.rsplit_once(SEPARATOR)?;
    Some(parent)
}

/// The importance that operators have assigned to a caller's request; rank 0 is the most important.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRank {
    /// Rank of the request's route.
    pub route: u8,
    /// Rank of the request's tenant, which takes precedence over that of the route; `None` if the
    /// request has no tenant.
    pub tenant: Option<u8>,
}

/// The priority of a caller's request for load shedding. Its class follows from its tenant's rank,
/// or from its route's if it has no tenant, and its user priority from a hash of its request ID.
/// Among requests of tenants with the same rank, those of more important routes rank higher.
pub fn priority_of_request(rank: RequestRank, request_id: &str) -> Priority {
    let class = match rank.tenant.unwrap_or(rank.route) {
        0 => PriorityClass::Critical,
        1 => PriorityClass::Normal,
        _ => PriorityClass::Sheddable,
    };
    let root = request_id.split(SEPARATOR).next().unwrap_or(request_id);
    let hash = xxh3_64(root.as_bytes());
    let user = match rank.tenant {
        None => hash % USER_PRIORITIES_PER_CLASS,
        Some(_) => {
            let least_important = DISTINGUISHED_ROUTE_RANKS - 1;
            let importance = least_important - u64::from(rank.route).min(least_important);
            importance * USER_PRIORITIES_PER_ROUTE_RANK + hash % USER_PRIORITIES_PER_ROUTE_RANK
        }
    };
    Priority {
        class,
        user: user as u8,
    }
}
