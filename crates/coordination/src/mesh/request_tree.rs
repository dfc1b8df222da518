//! Which request a nested call belongs to.
//!
//! A request and all the calls it leads to are one tree, and are admitted or
//! refused as one: they share a [`Priority`], so that every server sheds the same
//! trees and no server works for a tree that fails elsewhere.
//!
//! A call doesn't name the request that it is made for. Its node knows what runs
//! on the server beside it, though: a call belongs to the run whose identity its
//! own begins with, or else to the run that has the same deadline.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use lifthollow_state::{Priority, PriorityClass, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use crate::inbound::InboundId;

/// Deadlines are told in whole milliseconds and arrive a little later.
const DEADLINE_TOLERANCE: Duration = Duration::from_micros(2500);
/// Separates the parts of the identity of a nested call.
const SEPARATOR: char = '.';
/// User priorities there are.
const USER_PRIORITIES: u64 = 128;
/// Ranks of routes that are told apart among requests of tenants with one rank.
const ROUTE_RANKS: u64 = 3;
/// User priorities of each of these.
const USERS_OF_ROUTE_RANK: u64 = USER_PRIORITIES / ROUTE_RANKS;

/// What a nested call takes over from the request that it is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parent {
    /// The run.
    pub run: InboundId,
    /// The tree's place in the order of shedding.
    pub priority: Priority,
    /// Whether the run was a repeat, which makes its calls repeats too.
    pub is_repeat: bool,
}

/// The runs on the server beside this node.
#[derive(Clone, Debug, Default)]
pub struct RunningRequests {
    by_id: HashMap<String, Run>,
    by_deadline: BTreeSet<(Timestamp, String)>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    parent: Parent,
    deadline: Timestamp,
}

impl RunningRequests {
    /// A run starts.
    pub fn started(&mut self, request_id: &str, deadline: Timestamp, as_parent: Parent) {
        let run = Run {
            parent: as_parent,
            deadline,
        };
        if let Some(former) = self.by_id.insert(request_id.to_owned(), run) {
            self.by_deadline
                .remove(&(former.deadline, request_id.to_owned()));
        }
        self.by_deadline.insert((deadline, request_id.to_owned()));
    }

    /// A run has ended.
    pub fn ended(&mut self, request_id: &str, run: InboundId) {
        let known = self.by_id.get(request_id).map(|known| known.parent.run);
        if known != Some(run) {
            return;
        }
        if let Some(run) = self.by_id.remove(request_id) {
            self.by_deadline
                .remove(&(run.deadline, request_id.to_owned()));
        }
    }

    /// The run that a call from the server beside this node is made for; none
    /// for requests of callers.
    pub fn parent_of(&self, request_id: &str, deadline: Timestamp) -> Option<Parent> {
        self.by_identity(request_id)
            .or_else(|| self.by_deadline(deadline))
    }

    /// Whether a call with this identity is made for a run on the server beside this node.
    pub fn has_parent(&self, request_id: &str) -> bool {
        self.by_identity(request_id).is_some()
    }

    fn by_identity(&self, request_id: &str) -> Option<Parent> {
        let (parent, _) = request_id.rsplit_once(SEPARATOR)?;
        Some(self.by_id.get(parent)?.parent)
    }

    fn by_deadline(&self, deadline: Timestamp) -> Option<Parent> {
        let earliest = (deadline.saturating_sub(DEADLINE_TOLERANCE), String::new());
        let distance = |known: Timestamp| {
            let after = known.saturating_since(deadline);
            after.max(deadline.saturating_since(known))
        };
        self.by_deadline
            .range(earliest..)
            .take_while(|(known, _)| *known <= deadline + DEADLINE_TOLERANCE)
            .min_by_key(|(known, _)| distance(*known))
            .and_then(|(_, id)| self.by_id.get(id))
            .map(|run| run.parent)
    }
}

/// What a caller's request is worth to the operators; 0 is the most important.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRank {
    /// Rank of its route.
    pub route: u8,
    /// Rank of its tenant, which goes before that of its route; none if it has no tenant.
    pub tenant: Option<u8>,
}

/// The place of a caller's request in the order of shedding: its tenant's rank, or its route's if
/// it has none, and inside that one drawn from its identity. Among requests of tenants with one
/// rank, those of the more important routes come first.
pub fn priority_of_request(rank: RequestRank, request_id: &str) -> Priority {
    let class = match rank.tenant.unwrap_or(rank.route) {
        0 => PriorityClass::Critical,
        1 => PriorityClass::Normal,
        _ => PriorityClass::Sheddable,
    };
    let root = request_id.split(SEPARATOR).next().unwrap_or(request_id);
    let drawn = xxh3_64(root.as_bytes());
    let user = match rank.tenant {
        None => drawn % USER_PRIORITIES,
        Some(_) => {
            let least_important = ROUTE_RANKS - 1;
            let place = least_important - u64::from(rank.route).min(least_important);
            place * USERS_OF_ROUTE_RANK + drawn % USERS_OF_ROUTE_RANK
        }
    };
    Priority {
        class,
        user: user as u8,
    }
}
