//! Requests a claim on a key from the key's replicas and collects the votes, before a
//! call runs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lifthollow_protocol::{ClaimId, ClaimMessage, ClaimVote, RefusalReason, Roster, Verdict};
use lifthollow_state::{NodeId, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::decision::{ClaimDecision, ClaimParameters, NO_QUORUM_RETRY_AFTER, RunEnd};
use super::delivery::Deliveries;
use super::pending::{GrantedClaim, PendingClaim};
use super::replica::Envelope;
use super::roster::{ReplicaSets, version_of};
use super::settings::ClaimSettings;
use super::tally::{Count, Tally};
use crate::inbound::InboundId;

/// Time after which a claim that has no majority is abandoned.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);
const RESEND_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum number of rounds for one call if concurrent claims on its key split the
/// votes.
const MAX_ROUNDS: u32 = 5;
const BACKOFF_MIN_MILLIS: u64 = 2;
const BACKOFF_MAX_MILLIS: u64 = 12;

/// Actions that the caller must carry out for the claimant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimantEffect {
    /// Send a message to a node, which may be this one.
    Send(Envelope),
    /// Apply the decision on the claim of a call.
    Decided {
        /// The call whose claim was decided.
        id: InboundId,
        /// The decision on the claim.
        decision: ClaimDecision,
    },
}

/// The claimant of one node: its undecided and granted claims.
#[derive(Debug)]
pub struct Claimant {
    settings: ClaimSettings,
    next_sequence: u64,
    pending: BTreeMap<InboundId, PendingClaim>,
    ids: BTreeMap<ClaimId, InboundId>,
    granted: BTreeMap<InboundId, GrantedClaim>,
    deliveries: Deliveries,
    random: ChaCha8Rng,
}

impl Claimant {
    /// Creates a claimant without claims.
    pub fn new(settings: ClaimSettings) -> Self {
        let random = ChaCha8Rng::seed_from_u64(settings.seed);
        Claimant {
            settings,
            next_sequence: 0,
            pending: BTreeMap::new(),
            ids: BTreeMap::new(),
            granted: BTreeMap::new(),
            deliveries: Deliveries::default(),
            random,
        }
    }

    /// Number of undecided claims.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Time at which [`Claimant::wake`] must be called next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let claims = self
            .pending
            .values()
            .map(|pending| pending.resend_at.min(pending.give_up_at));
        claims.chain(self.deliveries.next_wake()).min()
    }

    /// Requests a claim on the key of a call.
    pub fn start_claim(
        &mut self,
        now: Timestamp,
        id: InboundId,
        parameters: ClaimParameters,
        roster: &Roster,
        effects: &mut Vec<ClaimantEffect>,
    ) {
        let claim = self.next_claim();
        let pending = PendingClaim {
            parameters,
            claim,
            own_claims: BTreeSet::from([claim]),
            replicas: ReplicaSets::of(roster, parameters.key),
            roster: version_of(roster),
            tally: Tally::default(),
            sent_at: now,
            resend_at: now + RESEND_INTERVAL,
            give_up_at: parameters.deadline.min(now + CLAIM_TIMEOUT),
            backing_off: false,
            round: 1,
        };
        if pending.replicas.current.is_empty() {
            return decide(id, ClaimDecision::no_quorum(NO_QUORUM_RETRY_AFTER), effects);
        }
        send_requests(&pending, effects);
        self.ids.insert(claim, id);
        self.pending.insert(id, pending);
    }

    /// Counts a replica's vote and decides the claim if possible. A vote that arrives
    /// after the start window begins the next round instead.
    pub fn handle_vote(
        &mut self,
        now: Timestamp,
        from: NodeId,
        vote: &ClaimVote,
        roster: &Roster,
        effects: &mut Vec<ClaimantEffect>,
    ) {
        let Some(id) = self.ids.get(&vote.claim).copied() else {
            return;
        };
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if now >= pending.sent_at + self.settings.start_window {
            return self.next_round(now, id, roster, effects);
        }
        if vote.roster != pending.roster {
            return;
        }
        match &vote.verdict {
            Verdict::Finished(outcome) => {
                let decision = ClaimDecision::from_outcome(outcome);
                return self.give_up(now, id, decision, effects);
            }
            Verdict::KeyReused => {
                let decision = ClaimDecision::not_run(RefusalReason::KeyReused, Duration::ZERO);
                return self.give_up(now, id, decision, effects);
            }
            verdict => pending.tally.add(from, verdict),
        }
        self.evaluate(now, id, effects);
    }

    /// Records that replica `by` has stored a release or a finish.
    pub fn record_stored(&mut self, claim: ClaimId, by: NodeId) {
        self.deliveries.confirm(claim, by);
    }

    /// Releases the undecided claim of a call whose caller has disconnected or cancelled.
    pub fn abandon(&mut self, now: Timestamp, id: InboundId, effects: &mut Vec<ClaimantEffect>) {
        if let Some(pending) = self.remove(id) {
            self.release(now, &pending, effects);
        }
    }

    /// Tells the replicas how a call with a granted claim ended.
    pub fn end_run(
        &mut self,
        now: Timestamp,
        id: InboundId,
        end: RunEnd,
        effects: &mut Vec<ClaimantEffect>,
    ) {
        let Some(granted) = self.granted.remove(&id) else {
            return;
        };
        let message = granted.end_message(end);
        self.deliver(now, granted.claim, &granted.replicas, message, effects);
    }

    /// Replaces all undecided claims by new ones, after a pause of the process or a
    /// change of the roster.
    pub fn restart_all(
        &mut self,
        now: Timestamp,
        roster: &Roster,
        effects: &mut Vec<ClaimantEffect>,
    ) {
        let ids: Vec<InboundId> = self.pending.keys().copied().collect();
        for id in ids {
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.give_up_at = pending.parameters.deadline.min(now + CLAIM_TIMEOUT);
            }
            self.next_round(now, id, roster, effects);
        }
    }

    /// Resends due messages, begins due rounds and abandons claims that timed out.
    pub fn wake(&mut self, now: Timestamp, roster: &Roster, effects: &mut Vec<ClaimantEffect>) {
        let resent = self.deliveries.wake(now);
        effects.extend(resent.into_iter().map(ClaimantEffect::Send));
        let ids: Vec<InboundId> = self.pending.keys().copied().collect();
        for id in ids {
            self.wake_claim(now, id, roster, effects);
        }
    }

    fn wake_claim(
        &mut self,
        now: Timestamp,
        id: InboundId,
        roster: &Roster,
        effects: &mut Vec<ClaimantEffect>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if now >= pending.give_up_at {
            let decision = pending.decision_without_majority();
            return self.give_up(now, id, decision, effects);
        }
        if now < pending.resend_at {
            return;
        }
        if pending.backing_off {
            return self.next_round(now, id, roster, effects);
        }
        pending.resend_at = now + RESEND_INTERVAL;
        send_requests(pending, effects);
    }

    fn evaluate(&mut self, now: Timestamp, id: InboundId, effects: &mut Vec<ClaimantEffect>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        match pending.tally.count(&pending.replicas) {
            Count::Granted => self.grant(id, effects),
            Count::HeldBy(holder) if !pending.own_claims.contains(&holder) => {
                let decision = ClaimDecision::unknown(RefusalReason::AlreadyRunning);
                self.give_up(now, id, decision, effects);
            }
            Count::HeldBy(_) | Count::Impossible => self.back_off(now, id, effects),
            Count::Open => {}
        }
    }

    fn grant(&mut self, id: InboundId, effects: &mut Vec<ClaimantEffect>) {
        let Some(pending) = self.remove(id) else {
            return;
        };
        let start_before = pending.sent_at + self.settings.start_window;
        let granted = GrantedClaim {
            key: pending.parameters.key,
            claim: pending.claim,
            body_digest: pending.parameters.body_digest,
            replicas: pending.replicas,
        };
        self.granted.insert(id, granted);
        decide(id, ClaimDecision::Granted { start_before }, effects);
    }

    /// Releases a claim that cannot reach a majority and waits for a random time before
    /// the next round, in case concurrent claims split the votes. If no replica reported
    /// a holder, waiting cannot help and the claim is abandoned.
    fn back_off(&mut self, now: Timestamp, id: InboundId, effects: &mut Vec<ClaimantEffect>) {
        let wait = Duration::from_millis(
            self.random
                .random_range(BACKOFF_MIN_MILLIS..=BACKOFF_MAX_MILLIS),
        );
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if !pending.tally.is_held() || pending.round >= MAX_ROUNDS {
            let decision = pending.decision_without_majority();
            return self.give_up(now, id, decision, effects);
        }
        pending.backing_off = true;
        pending.resend_at = now + wait * pending.round;
        let (claim, replicas) = (pending.claim, pending.replicas.clone());
        let message = pending.release_claim();
        self.ids.remove(&claim);
        self.deliver(now, claim, &replicas, message, effects);
    }

    /// Releases the claim of a call and requests a new one, unless the call has timed
    /// out or used all rounds.
    fn next_round(
        &mut self,
        now: Timestamp,
        id: InboundId,
        roster: &Roster,
        effects: &mut Vec<ClaimantEffect>,
    ) {
        let Some(pending) = self.remove(id) else {
            return;
        };
        if !pending.backing_off {
            self.release(now, &pending, effects);
        }
        if now >= pending.give_up_at || pending.round >= MAX_ROUNDS {
            return decide(id, pending.decision_without_majority(), effects);
        }
        let claim = self.next_claim();
        let mut own_claims = pending.own_claims;
        own_claims.insert(claim);
        let next = PendingClaim {
            claim,
            own_claims,
            replicas: ReplicaSets::of(roster, pending.parameters.key),
            roster: version_of(roster),
            tally: Tally::default(),
            sent_at: now,
            resend_at: now + RESEND_INTERVAL,
            backing_off: false,
            round: pending.round + 1,
            ..pending
        };
        send_requests(&next, effects);
        self.ids.insert(claim, id);
        self.pending.insert(id, next);
    }

    fn give_up(
        &mut self,
        now: Timestamp,
        id: InboundId,
        decision: ClaimDecision,
        effects: &mut Vec<ClaimantEffect>,
    ) {
        let Some(pending) = self.remove(id) else {
            return;
        };
        if !pending.backing_off {
            self.release(now, &pending, effects);
        }
        decide(id, decision, effects);
    }

    fn remove(&mut self, id: InboundId) -> Option<PendingClaim> {
        let pending = self.pending.remove(&id)?;
        self.ids.remove(&pending.claim);
        Some(pending)
    }

    fn release(
        &mut self,
        now: Timestamp,
        pending: &PendingClaim,
        effects: &mut Vec<ClaimantEffect>,
    ) {
        let message = pending.release_claim();
        self.deliver(now, pending.claim, &pending.replicas, message, effects);
    }

    fn deliver(
        &mut self,
        now: Timestamp,
        claim: ClaimId,
        replicas: &ReplicaSets,
        message: ClaimMessage,
        effects: &mut Vec<ClaimantEffect>,
    ) {
        let envelopes = self.deliveries.start(now, claim, replicas.all(), message);
        effects.extend(envelopes.into_iter().map(ClaimantEffect::Send));
    }

    fn next_claim(&mut self) -> ClaimId {
        self.next_sequence += 1;
        ClaimId {
            node: self.settings.node,
            incarnation: self.settings.incarnation,
            sequence: self.next_sequence,
        }
    }
}

fn decide(id: InboundId, decision: ClaimDecision, effects: &mut Vec<ClaimantEffect>) {
    effects.push(ClaimantEffect::Decided { id, decision });
}

fn send_requests(pending: &PendingClaim, effects: &mut Vec<ClaimantEffect>) {
    effects.extend(pending.requests().map(ClaimantEffect::Send));
}
