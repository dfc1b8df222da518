//! The replica of a node, which votes on claims and stores which claim holds which key.

mod exchange;

use std::time::Duration;

use lifthollow_protocol::{
    ClaimFinish, ClaimMessage, ClaimRelease, ClaimRequest, ClaimVote, Roster, RosterVersion,
    Verdict,
};
use lifthollow_state::{IdempotencyKey, NodeId, Timestamp};

use crate::claims::handover::{HandoverSender, Handovers};
use crate::claims::record::{Record, RecordState, RecordStore};
use crate::claims::rejoin::Rejoin;
use crate::claims::roster::{ReplicaSets, version_of};
use crate::claims::settings::ClaimSettings;

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The node that receives the message.
    pub to: NodeId,
    /// The message to send.
    pub message: ClaimMessage,
}

/// Report for operators on one replica's record for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyReport {
    /// Whether this node may vote on the key now.
    pub may_vote: bool,
    /// The record of the key, if there is one.
    pub record: Option<Record>,
    /// The replicas of the key according to this node's roster.
    pub replicas: ReplicaSets,
    /// The epoch of this node's roster.
    pub roster_epoch: u32,
}

/// The replica of one node: its roster, its records and its handovers.
#[derive(Debug)]
pub struct Replica {
    node: NodeId,
    retention: Duration,
    roster: Roster,
    roster_version: RosterVersion,
    roster_since: Timestamp,
    /// Time from which on the votes of a predecessor have expired, so this replica may
    /// vote on every key.
    votes_from: Timestamp,
    rejoin: Option<Rejoin>,
    handover: Option<HandoverSender>,
    handovers: Handovers,
    settings: ClaimSettings,
    store: RecordStore,
}

impl Replica {
    /// Creates a replica that starts at `now` without records.
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
            rejoin: new_rejoin(now, settings),
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

    /// The version of the roster in force at this node.
    pub fn roster_version(&self) -> RosterVersion {
        self.roster_version
    }

    /// The stored records.
    pub fn store(&self) -> &RecordStore {
        &self.store
    }

    /// When [`Replica::wake`] must be called next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let rejoin = self.rejoin.as_ref().and_then(Rejoin::next_wake);
        let handover = self.handover.as_ref().and_then(HandoverSender::next_wake);
        rejoin.into_iter().chain(handover).min()
    }

    /// Deletes expired records and returns the due messages of the rejoin and the
    /// handover.
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

    /// Votes on a claim.
    pub fn handle_request(&mut self, now: Timestamp, request: &ClaimRequest) -> ClaimVote {
        self.store.expire(now);
        ClaimVote {
            key: request.key,
            claim: request.claim,
            roster: self.roster_version,
            verdict: self.verdict(now, request),
        }
    }

    /// Frees a key that its holder released. A recovered record is kept, since another
    /// claim may hold the key too. Returns whether the release is confirmed: a sealed
    /// replica does not confirm, so that the claimant resends the release to the process
    /// that replaces it.
    pub fn handle_release(&mut self, now: Timestamp, release: &ClaimRelease) -> bool {
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
        // If the store is full, only the marker is lost that keeps a reordered request of the
        // released claim from taking the key again.
        let _ = self.store.put(release.key, record);
        true
    }

    /// Records how a run ended. Returns whether the outcome is confirmed: not if the
    /// replica is sealed or its store is full.
    pub fn handle_finish(&mut self, now: Timestamp, finish: &ClaimFinish) -> bool {
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

    /// Adopts a roster with a higher epoch. Returns whether the epoch was higher.
    ///
    /// The start of a change requires no waiting, since claims still need a majority of
    /// the previous members. After the end of a change, and after any missed step, the
    /// replica votes only when it has seen all claims of one retention period under the
    /// roster before.
    pub fn adopt_roster(&mut self, now: Timestamp, roster: Roster) -> bool {
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

    /// Reports this replica's record for a key.
    pub fn report(&self, now: Timestamp, key: IdempotencyKey) -> KeyReport {
        let replicas = ReplicaSets::of(&self.roster, key);
        KeyReport {
            may_vote: self.may_vote(now, &replicas),
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

    /// The verdict that follows from the record of the key; `None` if the key is free.
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
    pub fn has_learned_all_claims(&self, now: Timestamp) -> bool {
        let has_learned_all = self.rejoin.as_ref().is_some_and(Rejoin::has_learned_all);
        now >= self.votes_from || has_learned_all
    }
}

fn is_unreleased(record: &Record) -> bool {
    record.state != RecordState::Released
}

/// Creates the rejoin of a replica that starts. A replica reads from others only while
/// no change of the roster is in progress, and not at the first start of a fleet.
fn new_rejoin(now: Timestamp, settings: &ClaimSettings) -> Option<Rejoin> {
    if settings.bootstrap || !settings.roster.previous.is_empty() {
        return None;
    }
    let members = settings.roster.members.iter().map(|member| member.node);
    let starts_at = now + settings.predecessor_vote_expiry();
    let rejoin = Rejoin::new(settings.node, settings.incarnation, members, now, starts_at);
    Some(rejoin)
}
