//! Chooses the members of the roster that are the replicas of a key, and defines
//! majorities.

use std::collections::BTreeSet;

use lifthollow_protocol::{Roster, RosterMember, RosterVersion};
use lifthollow_state::{IdempotencyKey, NodeId, Side};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Number of replicas of each key; smaller rosters use all their members.
pub const REPLICAS_PER_KEY: usize = 5;

/// The replicas of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSets {
    /// Replicas chosen from the members of the roster.
    pub current: Vec<NodeId>,
    /// Replicas chosen from the members before a roster change in progress; empty if no
    /// change is in progress.
    pub previous: Vec<NodeId>,
}

impl ReplicaSets {
    /// Chooses the replicas of `key` from `roster`. The choice depends on nothing else,
    /// so every node with the same roster chooses the same replicas.
    pub fn of(roster: &Roster, key: IdempotencyKey) -> Self {
        ReplicaSets {
            current: choose(&roster.members, key),
            previous: choose(&roster.previous, key),
        }
    }

    /// All current and previous replicas, each once.
    pub fn all(&self) -> BTreeSet<NodeId> {
        self.current.iter().chain(&self.previous).copied().collect()
    }

    /// Whether `node` is a current or previous replica.
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

/// The smallest size at which any two subsets of the replicas share a replica.
pub fn majority(replicas: usize) -> usize {
    replicas / 2 + 1
}

/// The version that identifies a roster in messages.
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

/// Chooses members by rendezvous hashing. As long as there are enough members, no two
/// come from one zone and at most a majority comes from one side.
fn choose(members: &[RosterMember], key: IdempotencyKey) -> Vec<NodeId> {
    let mut ranked: Vec<&RosterMember> = members.iter().collect();
    ranked.sort_by_cached_key(|member| (rank(member.node, key), member.node));
    let mut chosen: Vec<&RosterMember> = Vec::with_capacity(REPLICAS_PER_KEY);
    for allowed in [has_free_zone_and_side, has_free_zone, is_not_chosen] {
        add_allowed(&ranked, allowed, &mut chosen);
    }
    chosen.iter().map(|member| member.node).collect()
}

type Constraint = fn(&[&RosterMember], &RosterMember) -> bool;

fn add_allowed<'a>(
    ranked: &[&'a RosterMember],
    allowed: Constraint,
    chosen: &mut Vec<&'a RosterMember>,
) {
    for member in ranked {
        if chosen.len() < REPLICAS_PER_KEY && allowed(chosen, member) {
            chosen.push(member);
        }
    }
}

fn has_free_zone_and_side(chosen: &[&RosterMember], member: &RosterMember) -> bool {
    has_free_zone(chosen, member) && has_free_side(chosen, member.side)
}

fn has_free_zone(chosen: &[&RosterMember], member: &RosterMember) -> bool {
    let same_zone = |other: &&RosterMember| (other.side, other.zone) == (member.side, member.zone);
    !chosen.iter().any(same_zone)
}

fn has_free_side(chosen: &[&RosterMember], side: Side) -> bool {
    let on_side = chosen.iter().filter(|other| other.side == side).count();
    on_side < majority(REPLICAS_PER_KEY)
}

fn is_not_chosen(chosen: &[&RosterMember], member: &RosterMember) -> bool {
    !chosen.iter().any(|other| other.node == member.node)
}

fn rank(node: NodeId, key: IdempotencyKey) -> u64 {
    xxh3_64_with_seed(&key.0.to_le_bytes(), node.as_u64())
}
