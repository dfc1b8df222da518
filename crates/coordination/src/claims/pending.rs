//! Undecided claims, and granted claims under which calls run.

use std::collections::BTreeSet;

use lifthollow_protocol::{
    ClaimFinish, ClaimId, ClaimMessage, ClaimRelease, ClaimRequest, RefusalReason, RosterVersion,
};
use lifthollow_state::{IdempotencyKey, Timestamp};

use super::decision::{ClaimDecision, ClaimParameters, NO_QUORUM_RETRY_AFTER, RunEnd};
use super::replica::Envelope;
use super::roster::ReplicaSets;
use super::tally::Tally;

/// An undecided claim, for which votes are collected.
#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) parameters: ClaimParameters,
    pub(super) claim: ClaimId,
    /// This claim and the earlier claims of the same call, which are all released.
    pub(super) own_claims: BTreeSet<ClaimId>,
    pub(super) replicas: ReplicaSets,
    pub(super) roster: RosterVersion,
    pub(super) tally: Tally,
    pub(super) sent_at: Timestamp,
    /// When the request is sent again or, while backing off, the next round begins.
    pub(super) resend_at: Timestamp,
    pub(super) give_up_at: Timestamp,
    pub(super) backing_off: bool,
    pub(super) round: u32,
}

impl PendingClaim {
    /// The requests to all replicas that have not granted the claim.
    pub(super) fn requests(&self) -> impl Iterator<Item = Envelope> {
        let message = ClaimMessage::Request(ClaimRequest {
            key: self.parameters.key,
            claim: self.claim,
            body_digest: self.parameters.body_digest,
            roster: self.roster,
        });
        let replicas = self.replicas.all().into_iter();
        replicas
            .filter(|replica| !self.tally.has_granted(*replica))
            .map(move |to| Envelope {
                to,
                message: message.clone(),
            })
    }

    /// The message that releases the claim.
    pub(super) fn release_claim(&self) -> ClaimMessage {
        release_message(self.parameters.key, self.claim)
    }

    /// The decision if no majority was reached. If a replica reported another claim, its
    /// holder may have run the call.
    pub(super) fn decision_without_majority(&self) -> ClaimDecision {
        if self.tally.is_held_by_other(&self.own_claims) {
            return ClaimDecision::unknown(RefusalReason::AlreadyRunning);
        }
        let retry_after = self.tally.longest_abstention();
        ClaimDecision::no_quorum(retry_after.unwrap_or(NO_QUORUM_RETRY_AFTER))
    }
}

/// A claim that a majority granted.
#[derive(Debug)]
pub(super) struct GrantedClaim {
    pub(super) key: IdempotencyKey,
    pub(super) claim: ClaimId,
    pub(super) body_digest: u64,
    pub(super) replicas: ReplicaSets,
}

impl GrantedClaim {
    /// The message that reports the end of the run to the replicas.
    pub(super) fn end_message(&self, end: RunEnd) -> ClaimMessage {
        match end {
            RunEnd::NotStarted => release_message(self.key, self.claim),
            RunEnd::Ended(outcome) => ClaimMessage::Finish(ClaimFinish {
                key: self.key,
                claim: self.claim,
                body_digest: self.body_digest,
                outcome,
            }),
        }
    }
}

fn release_message(key: IdempotencyKey, claim: ClaimId) -> ClaimMessage {
    ClaimMessage::Release(ClaimRelease { key, claim })
}
