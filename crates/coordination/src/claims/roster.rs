//! Which members of the roster are the replicas of a key, and what a majority is.

use std::collections::BTreeSet;

use lifthollow_protocol::{Roster, RosterMember, RosterVersion};
use lifthollow_state::{IdempotencyKey, NodeId, Side};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Replicas of each key; smaller rosters use all their members.
pub const REPLICAS_PER_KEY: usize = 5;

/// The replicas of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSets {
    /// By the roster's members.
    pub current: Vec<NodeId>,
    /// By the members before a change in progress; empty if there is none.
    pub previous: Vec<NodeId>,
}

impl ReplicaSets {
    /// The replicas of `key` by `roster`. It depends on nothing else, so every
    /// node with this roster chooses the same.
    pub fn of(roster: &Roster, key: IdempotencyKey) -> Self {
        ReplicaSets {
            current: choose(&roster.members, key),
            previous: choose(&roster.previous, key),
        }
    }

    /// All replicas, each once.
    pub fn all(&self) -> BTreeSet<NodeId> {
        self.current.iter().chain(&self.previous).copied().collect()
    }

    /// Whether `node` is a replica.
    pub fn contains(&self, node: NodeId) -> bool {
        self.current.contains(&node) || self.previous.contains(&node)
    }

    /// Whether the replicas that satisfy `accepts` are a majority of the current
    /// set and, during a change, of the previous one too.
    pub fn has_majority(&self, accepts: impl Fn(NodeId) -> bool) -> bool {
        let reached = |set: &[NodeId]| {
            set.iter().filter(|node| accepts(**node)).count() >= majority(set.len())
        };
        let current_reached = !self.current.is_empty() && reached(&self.current);
        current_reached && (self.previous.is_empty() || reached(&self.previous))
    }
}

/// The smallest count of replicas of which any two sets share one.
pub fn majority(replicas: usize) -> usize {
    replicas / 2 + 1
}

/// The name of a roster inside messages.
pub fn version_of(roster: &Roster) -> RosterVersion {
    let mut hasher = Xxh3::new();
    for members in [&roster.members, &roster.previous] {
        hasher.update(&(members.len() as u64).to_le_bytes());
        for member in members {
            hasher.update(&member.node.as_u64().to_le_bytes());
            hasher.update(&member.zone.0.to_le_bytes());
            hasher.update(member.side.as_str().as_bytes());
        }
    }
    RosterVersion {
        epoch: roster.epoch,
        digest: hasher.digest(),
    }
}

/// Takes members by rendezvous hashing, from zones and sides not yet used as
/// long as there are any: no zone twice and at most a majority from one side.
fn choose(members: &[RosterMember], key: IdempotencyKey) -> Vec<NodeId> {
    let mut ranked: Vec<&RosterMember> = members.iter().collect();
    ranked.sort_by_cached_key(|member| (rank(member.node, key), member.node));
    let mut chosen: Vec<&RosterMember> = Vec::with_capacity(REPLICAS_PER_KEY);
    for allowed in [zone_and_side_free, zone_free, not_chosen] {
        take(&ranked, allowed, &mut chosen);
    }
    chosen.iter().map(|member| member.node).collect()
}

type Allowed = fn(&[&RosterMember], &RosterMember) -> bool;

fn take<'a>(ranked: &[&'a RosterMember], allowed: Allowed, chosen: &mut Vec<&'a RosterMember>) {
    for member in ranked {
        if chosen.len() < REPLICAS_PER_KEY && allowed(chosen, member) {
            chosen.push(member);
        }
    }
}

fn zone_and_side_free(chosen: &[&RosterMember], member: &RosterMember) -> bool {
    zone_free(chosen, member) && side_free(chosen, member.side)
}

fn zone_free(chosen: &[&RosterMember], member: &RosterMember) -> bool {
    let same_zone = |other: &&RosterMember| (other.side, other.zone) == (member.side, member.zone);
    !chosen.iter().any(same_zone)
}

fn side_free(chosen: &[&RosterMember], side: Side) -> bool {
    let on_side = chosen.iter().filter(|other| other.side == side).count();
    on_side < majority(REPLICAS_PER_KEY)
}

fn not_chosen(chosen: &[&RosterMember], member: &RosterMember) -> bool {
    !chosen.iter().any(|other| other.node == member.node)
}

fn rank(node: NodeId, key: IdempotencyKey) -> u64 {
    xxh3_64_with_seed(&key.0.to_le_bytes(), node.as_u64())
}
