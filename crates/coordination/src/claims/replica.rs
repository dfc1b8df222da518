//! A member of the roster: stores which claim holds which key.

use std::time::Duration;

use lifthollow_protocol::{
    ClaimFinish, ClaimMessage, ClaimRelease, ClaimRequest, ClaimVote, KnownClaim, RejoinPage,
    RejoinRequest, Roster, RosterMember, RosterVersion, Verdict,
};
use lifthollow_state::{IdempotencyKey, NodeId, Timestamp};

use super::handover::{HandoverSender, Handovers};
use super::page::take_page;
use super::record::{Record, RecordState, RecordStore};
use super::rejoin::Rejoin;
use super::roster::{ReplicaSets, version_of};
use super::settings::ClaimSettings;

/// A message and where it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The receiver.
    pub to: NodeId,
    /// The message.
    pub message: ClaimMessage,
}

/// What one replica knows of a key, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyReport {
    /// Whether this node may vote on the key now.
    pub votes: bool,
    /// Its record.
    pub record: Option<Record>,
    /// The key's replicas by this node's roster.
    pub replicas: ReplicaSets,
    /// The epoch of that roster.
    pub roster_epoch: u32,
}

/// The replica's part of the claims of one node.
#[derive(Debug)]
pub struct Replica {
    node: NodeId,
    retention: Duration,
    roster: Roster,
    roster_version: RosterVersion,
    roster_since: Timestamp,
    /// From here on nothing that a predecessor voted for matters any more.
    votes_from: Timestamp,
    rejoin: Option<Rejoin>,
    handover: Option<HandoverSender>,
    handovers: Handovers,
    settings: ClaimSettings,
    store: RecordStore,
}

impl Replica {
    /// A replica that starts at `now` and remembers nothing.
    pub fn new(now: Timestamp, settings: &ClaimSettings) -> Self {
        let retention = settings.retention();
        let votes_from = match settings.bootstrap {
            true => now,
            false => now + retention,
        };
        Replica {
            node: settings.node,
            retention,
            roster: settings.roster.clone(),
            roster_version: version_of(&settings.roster),
            roster_since: now,
            votes_from,
            rejoin: rejoin_of(now, settings),
            handover: None,
            handovers: Handovers::default(),
            settings: settings.clone(),
            store: RecordStore::default(),
        }
    }

    /// The roster in force at this node.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The name of the roster in force at this node.
    pub fn roster_version(&self) -> RosterVersion {
        self.roster_version
    }

    /// The records stored.
    pub fn store(&self) -> &RecordStore {
        &self.store
    }

    /// When [`Replica::wake`] is wanted next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let rejoin = self.rejoin.as_ref().and_then(Rejoin::next_wake);
        let handover = self.handover.as_ref().and_then(HandoverSender::next_wake);
        rejoin.into_iter().chain(handover).min()
    }

    /// Forgets what has expired and goes on with rejoining.
    pub fn wake(&mut self, now: Timestamp) -> Vec<Envelope> {
        self.store.expire(now);
        if now >= self.votes_from {
            self.rejoin = None;
        }
        let version = self.roster_version;
        let rejoin = self.rejoin.as_mut();
        let requests = rejoin.map_or(Vec::new(), |rejoin| rejoin.wake(now, version));
        requests
            .into_iter()
            .map(|(to, message)| Envelope { to, message })
            .chain(self.wake_handover(now))
            .collect()
    }

    /// A planned stop has begun. A replica that does not know all claims has
    /// nothing to hand over.
    pub fn leave(&mut self, now: Timestamp) {
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

    /// Takes in a message about a handover and returns the answer.
    pub fn handover_message(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: ClaimMessage,
    ) -> Option<ClaimMessage> {
        match message {
            // A replica that stops itself keeps nothing for others.
            ClaimMessage::HandoverBegin(_) if self.handover.is_some() => None,
            ClaimMessage::HandoverBegin(begin) => {
                let valid_until = now + self.settings.handover_validity;
                self.handovers.begin(now, from, &begin, valid_until)
            }
            ClaimMessage::HandoverPage(page) => self.handovers.page(now, from, page),
            ClaimMessage::HandoverReady(ready) => {
                let is_informed = self.is_informed(now);
                let sender = self.handover.as_mut().filter(|_| is_informed);
                sender?.ready(now, from, &ready);
                None
            }
            ClaimMessage::HandoverStored(stored) => {
                self.handover.as_mut()?.stored(now, from, &stored);
                None
            }
            _ => None,
        }
    }

    /// Whether the replica has handed its records over and votes no more.
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

    fn wake_handover(&mut self, now: Timestamp) -> Option<Envelope> {
        let records = self.store.from(IdempotencyKey(0));
        let records = records.filter(|(_, record)| record.state != RecordState::Released);
        let claims = records.map(|(key, record)| known_claim(key, record));
        self.handover.as_mut()?.wake(now, claims)
    }

    /// Votes on a claim.
    pub fn request(&mut self, now: Timestamp, request: &ClaimRequest) -> ClaimVote {
        self.store.expire(now);
        ClaimVote {
            key: request.key,
            claim: request.claim,
            roster: self.roster_version,
            verdict: self.verdict(now, request),
        }
    }

    /// Frees a key whose holder gave it back. A key that was learned from others
    /// stays, since another claim may hold it too.
    /// False if the replica stops and the process that replaces it is to be told.
    pub fn release(&mut self, now: Timestamp, release: &ClaimRelease) -> bool {
        self.store.expire(now);
        if self.is_sealed() {
            return false;
        }
        let expires_at = now + self.retention;
        let body_digest = match self.store.get(release.key) {
            None => 0,
            Some(known) if known.holder != release.claim => return true,
            Some(known) if known.state != RecordState::Claimed => return true,
            Some(known) => known.body_digest,
        };
        let record = Record {
            holder: release.claim,
            body_digest,
            state: RecordState::Released,
            expires_at,
        };
        // A full store only loses a note that guards against reordering.
        let _ = self.store.put(release.key, record);
        true
    }

    /// Records how a run ended. False if there is no room.
    pub fn finish(&mut self, now: Timestamp, finish: &ClaimFinish) -> bool {
        self.store.expire(now);
        if self.is_sealed() {
            return false;
        }
        let known = self.store.get(finish.key);
        if known.is_some_and(|known| known.outcome().is_some()) {
            return true;
        }
        let record = Record {
            holder: finish.claim,
            body_digest: finish.body_digest,
            state: RecordState::Finished(finish.outcome.clone()),
            expires_at: now + self.retention,
        };
        self.store.put(finish.key, record).is_ok()
    }

    /// Answers a member that was replaced, if this replica knows enough itself.
    pub fn rejoin_request(
        &mut self,
        now: Timestamp,
        from: NodeId,
        request: &RejoinRequest,
    ) -> Option<ClaimMessage> {
        self.store.expire(now);
        if !request.settled {
            return self.handovers.take_over(now, from, request);
        }
        if request.roster != self.roster_version || !self.is_informed(now) || self.is_sealed() {
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

    /// Takes in what another member knows, and returns the next request.
    pub fn rejoin_page(
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
        self.rejoin.as_mut()?.page_arrived(now, from, page)
    }

    /// Takes over a roster with a higher epoch.
    ///
    /// The start of a change needs no waiting, since claims go on needing a
    /// majority of the members before it. After its end, and after any step
    /// that was missed, the replica votes only when it has seen all claims of
    /// one retention under the roster before.
    pub fn adopt(&mut self, now: Timestamp, roster: Roster) -> bool {
        if roster.epoch <= self.roster.epoch {
            return false;
        }
        let is_next = roster.epoch == self.roster.epoch + 1;
        let starts_change = !self.roster.members.is_empty()
            && self.roster.previous.is_empty()
            && roster.previous == self.roster.members;
        let ends_change = roster.previous.is_empty() && roster.members == self.roster.members;
        let votes_from = match (is_next, starts_change, ends_change) {
            (true, true, _) => self.votes_from,
            (true, false, true) => self.votes_from.max(self.roster_since + self.retention),
            _ => now + self.retention,
        };
        self.votes_from = votes_from;
        self.rejoin = None;
        self.roster_since = now;
        self.roster_version = version_of(&roster);
        self.roster = roster;
        true
    }

    /// What this replica knows of a key.
    pub fn report(&self, now: Timestamp, key: IdempotencyKey) -> KeyReport {
        let replicas = ReplicaSets::of(&self.roster, key);
        KeyReport {
            votes: self.may_vote(now, &replicas),
            record: self.store.get(key).cloned(),
            replicas,
            roster_epoch: self.roster.epoch,
        }
    }

    fn verdict(&mut self, now: Timestamp, request: &ClaimRequest) -> Verdict {
        if request.roster != self.roster_version {
            return Verdict::OtherRoster;
        }
        if let Some(verdict) = self.known_verdict(request) {
            return verdict;
        }
        let replicas = ReplicaSets::of(&self.roster, request.key);
        if !self.may_vote(now, &replicas) {
            return self.abstention(now);
        }
        let record = Record {
            holder: request.claim,
            body_digest: request.body_digest,
            state: RecordState::Claimed,
            expires_at: now + self.retention,
        };
        match self.store.put(request.key, record) {
            Ok(()) => Verdict::Granted,
            Err(_) => Verdict::Full,
        }
    }

    /// The verdict that follows from the record alone; none if the key is free.
    fn known_verdict(&self, request: &ClaimRequest) -> Option<Verdict> {
        let record = self.store.get(request.key)?;
        let same_claim = record.holder == request.claim;
        let same_body = record.body_digest == request.body_digest;
        let held = Verdict::Held { by: record.holder };
        match &record.state {
            RecordState::Released if same_claim => Some(held),
            RecordState::Released => None,
            _ if !same_body => Some(Verdict::KeyReused),
            RecordState::Claimed if same_claim => Some(Verdict::Granted),
            RecordState::Claimed | RecordState::Recovered => Some(held),
            RecordState::Finished(outcome) => Some(Verdict::Finished(outcome.clone())),
        }
    }

    fn may_vote(&self, now: Timestamp, replicas: &ReplicaSets) -> bool {
        let has_learned = |rejoin: &Rejoin| rejoin.has_learned(&replicas.current);
        let is_replica = replicas.contains(self.node) && !self.is_sealed();
        is_replica && (now >= self.votes_from || self.rejoin.as_ref().is_some_and(has_learned))
    }

    fn abstention(&self, now: Timestamp) -> Verdict {
        let rejoining = self.rejoin.as_ref().and_then(Rejoin::next_wake);
        let votes_at = rejoining.unwrap_or(self.votes_from).min(self.votes_from);
        Verdict::Abstained {
            votes_in: votes_at - now,
        }
    }

    /// Whether this replica knows every claim that its predecessor voted for.
    pub fn is_informed(&self, now: Timestamp) -> bool {
        let has_learned_all = self.rejoin.as_ref().is_some_and(Rejoin::has_learned_all);
        now >= self.votes_from || has_learned_all
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

    /// None if there is no room, so that the page is not counted as read.
    fn recover(&mut self, now: Timestamp, claim: &KnownClaim) -> Option<()> {
        let known = self.store.get(claim.key);
        let is_news =
            claim.outcome.is_some() && known.is_some_and(|known| known.outcome().is_none());
        if known.is_some_and(is_unreleased) && !is_news {
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

/// Members of the other side first, since a side is often replaced as a whole.
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

fn is_unreleased(record: &Record) -> bool {
    record.state != RecordState::Released
}

/// A replica reads from others only while no change of the roster is in progress.
fn rejoin_of(now: Timestamp, settings: &ClaimSettings) -> Option<Rejoin> {
    if settings.bootstrap || !settings.roster.previous.is_empty() {
        return None;
    }
    let members = settings.roster.members.iter().map(|member| member.node);
    let starts_at = now + settings.settle_time();
    let rejoin = Rejoin::new(settings.node, settings.incarnation, members, now, starts_at);
    Some(rejoin)
}
