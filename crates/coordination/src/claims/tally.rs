//! Counts the votes on one claim.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lifthollow_protocol::{ClaimId, Verdict};
use lifthollow_state::NodeId;

use super::roster::ReplicaSets;

/// Result of counting the votes received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// A majority granted the claim.
    Granted,
    /// A majority reports that this claim holds the key.
    HeldBy(ClaimId),
    /// The votes received rule out a majority for the claim.
    Impossible,
    /// More votes are needed.
    Open,
}

/// The part of a replica's verdict that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Vote {
    Granted,
    Held(ClaimId),
    Abstained(Duration),
    Full,
}

/// The votes on one claim: the latest of each replica.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    votes: BTreeMap<NodeId, Vote>,
}

impl Tally {
    /// Adds the vote of a replica. A verdict that is not a vote removes the replica's
    /// earlier vote.
    pub fn add(&mut self, replica: NodeId, verdict: &Verdict) {
        let vote = match verdict {
            Verdict::Granted => Vote::Granted,
            Verdict::Held { by } => Vote::Held(*by),
            Verdict::Abstained { votes_in } => Vote::Abstained(*votes_in),
            Verdict::Full => Vote::Full,
            Verdict::Finished(_) | Verdict::KeyReused | Verdict::OtherRoster => {
                self.votes.remove(&replica);
                return;
            }
        };
        self.votes.insert(replica, vote);
    }

    /// Counts the votes against the majorities of `replicas`.
    pub fn count(&self, replicas: &ReplicaSets) -> Count {
        if replicas.has_majority(|node| self.votes.get(&node) == Some(&Vote::Granted)) {
            return Count::Granted;
        }
        if let Some(holder) = self.majority_holder(replicas) {
            return Count::HeldBy(holder);
        }
        if replicas.has_majority(|node| self.may_grant(node)) {
            return Count::Open;
        }
        Count::Impossible
    }

    /// Whether a replica reported a holder that is not one of the claims `own`.
    pub fn is_held_by_other(&self, own: &BTreeSet<ClaimId>) -> bool {
        let is_other = |vote: &Vote| matches!(vote, Vote::Held(holder) if !own.contains(holder));
        self.votes.values().any(is_other)
    }

    /// Whether a replica reported any holder.
    pub fn is_held(&self) -> bool {
        let is_held = |vote: &Vote| matches!(vote, Vote::Held(_));
        self.votes.values().any(is_held)
    }

    /// Whether this replica granted the claim.
    pub fn has_granted(&self, replica: NodeId) -> bool {
        self.votes.get(&replica) == Some(&Vote::Granted)
    }

    /// Time until all abstaining replicas vote again; `None` if no replica abstains.
    pub fn longest_abstention(&self) -> Option<Duration> {
        let abstention = |vote: &Vote| match vote {
            Vote::Abstained(votes_in) => Some(*votes_in),
            _ => None,
        };
        self.votes.values().filter_map(abstention).max()
    }

    fn majority_holder(&self, replicas: &ReplicaSets) -> Option<ClaimId> {
        let holder_of = |vote: &Vote| match vote {
            Vote::Held(holder) => Some(*holder),
            _ => None,
        };
        let mut holders = self.votes.values().filter_map(holder_of);
        holders.find(|holder| {
            replicas.has_majority(|node| self.votes.get(&node) == Some(&Vote::Held(*holder)))
        })
    }

    fn may_grant(&self, replica: NodeId) -> bool {
        matches!(self.votes.get(&replica), None | Some(Vote::Granted))
    }
}
