//! Exchange of records between replicas: handovers at a planned stop, and answers to
//! the rejoin requests of replaced members.

use lifthollow_protocol::{
    ClaimMessage, KnownClaim, RejoinPage, RejoinRequest, Roster, RosterMember,
};
use lifthollow_state::{IdempotencyKey, NodeId, Timestamp};

use super::{Envelope, Replica, is_unreleased};
use crate::claims::handover::HandoverSender;
use crate::claims::page::take_page;
use crate::claims::record::{Record, RecordState};
use crate::claims::roster::ReplicaSets;

impl Replica {
    /// Starts the handover at a planned stop, except during a change of the roster. A
    /// replica that does not know all claims hands nothing over.
    pub fn start_handover(&mut self, now: Timestamp) {
        if self.handover.is_some() || !self.roster.previous.is_empty() {
            return;
        }
        let candidates = handover_candidates(&self.roster, self.node);
        let sender = HandoverSender::new(
            now,
            self.settings.incarnation,
            self.roster_version,
            candidates,
        );
        self.handover = Some(sender);
    }

    /// Handles a message about a handover and returns the answer.
    pub fn handle_handover(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: ClaimMessage,
    ) -> Option<ClaimMessage> {
        match message {
            // A replica that stops itself stores no records for others.
            ClaimMessage::HandoverBegin(_) if self.handover.is_some() => None,
            ClaimMessage::HandoverBegin(begin) => {
                let valid_until = now + self.settings.handover_validity;
                self.handovers.begin(now, from, &begin, valid_until)
            }
            ClaimMessage::HandoverPage(page) => self.handovers.store_page(now, from, page),
            ClaimMessage::HandoverReady(ready) => {
                let has_learned_all_claims = self.has_learned_all_claims(now);
                let sender = self.handover.as_mut().filter(|_| has_learned_all_claims);
                sender?.handle_ready(now, from, &ready);
                None
            }
            ClaimMessage::HandoverStored(stored) => {
                self.handover.as_mut()?.handle_stored(now, from, &stored);
                None
            }
            _ => None,
        }
    }

    /// Whether the replica does not vote any more because it hands over or has handed
    /// over its records.
    pub fn is_sealed(&self) -> bool {
        self.handover
            .as_ref()
            .is_some_and(HandoverSender::is_sealed)
    }

    /// Whether a handover is due or in progress.
    pub fn is_handing_over(&self) -> bool {
        let next_wake = self.handover.as_ref().and_then(HandoverSender::next_wake);
        next_wake.is_some()
    }

    pub(super) fn wake_handover(&mut self, now: Timestamp) -> Option<Envelope> {
        let records = self.store.from(IdempotencyKey(0));
        let records = records.filter(|(_, record)| record.state != RecordState::Released);
        let claims = records.map(|(key, record)| known_claim(key, record));
        self.handover.as_mut()?.wake(now, claims)
    }

    /// Answers a replaced member with handed-over records or, if this replica knows all
    /// claims of its own keys, with the records that both share.
    pub fn answer_rejoin(
        &mut self,
        now: Timestamp,
        from: NodeId,
        request: &RejoinRequest,
    ) -> Option<ClaimMessage> {
        self.store.expire(now);
        if !request.settled {
            return self.handovers.answer_successor(now, from, request);
        }
        if request.roster != self.roster_version
            || !self.has_learned_all_claims(now)
            || self.is_sealed()
        {
            return None;
        }
        let (claims, next) = take_page(self.shared_claims(from, request.from_key));
        Some(ClaimMessage::RejoinPage(RejoinPage {
            incarnation: request.incarnation,
            roster: self.roster_version,
            from_key: request.from_key,
            claims,
            next,
            settled: request.settled,
            handed_over: false,
        }))
    }

    /// Stores the claims that another member sent, and returns the next request.
    pub fn handle_rejoin_page(
        &mut self,
        now: Timestamp,
        from: NodeId,
        page: &RejoinPage,
    ) -> Option<ClaimMessage> {
        if page.roster != self.roster_version || self.rejoin.is_none() {
            return None;
        }
        for claim in &page.claims {
            self.recover(now, claim)?;
        }
        self.rejoin.as_mut()?.record_page(now, from, page)
    }

    fn shared_claims(
        &self,
        with: NodeId,
        from_key: IdempotencyKey,
    ) -> impl Iterator<Item = KnownClaim> {
        self.store
            .from(from_key)
            .filter(|(_, record)| record.state != RecordState::Released)
            .filter(move |(key, _)| ReplicaSets::of(&self.roster, *key).contains(with))
            .map(|(key, record)| known_claim(key, record))
    }

    /// Stores a claim that another member sent. Returns `None` if the store is full, so
    /// that the page is not counted as read.
    fn recover(&mut self, now: Timestamp, claim: &KnownClaim) -> Option<()> {
        let known = self.store.get(claim.key);
        let is_new_outcome =
            claim.outcome.is_some() && known.is_some_and(|known| known.outcome().is_none());
        if known.is_some_and(is_unreleased) && !is_new_outcome {
            return Some(());
        }
        let state = match &claim.outcome {
            Some(outcome) => RecordState::Finished(outcome.clone()),
            None => RecordState::Recovered,
        };
        let record = Record {
            holder: claim.claim,
            body_digest: claim.body_digest,
            state,
            expires_at: now + self.retention,
        };
        self.store.put(claim.key, record).ok()
    }
}

fn known_claim(key: IdempotencyKey, record: &Record) -> KnownClaim {
    KnownClaim {
        key,
        claim: record.holder,
        body_digest: record.body_digest,
        outcome: record.outcome().cloned(),
    }
}

/// The members to ask for a handover in order of preference. Members of the other side
/// come first, since a side is often replaced as a whole.
fn handover_candidates(roster: &Roster, node: NodeId) -> Vec<NodeId> {
    let own = roster.members.iter().find(|member| member.node == node);
    let Some(own) = own else {
        return Vec::new();
    };
    let mut others: Vec<&RosterMember> = roster.members.iter().collect();
    others.retain(|member| member.node != node);
    others.sort_by_key(|member| {
        (
            member.side == own.side,
            member.zone == own.zone,
            member.node,
        )
    });
    others.iter().map(|member| member.node).collect()
}
