//! Which nodes exist and how they stand.
//!
//! Every node knows every member by a record of a few dozen bytes. Records are
//! ordered by incarnation and status, so that all nodes arrive at the same ones
//! in whatever order news comes in.
//!
//! - [`prober`]: probes, direct and through others;
//! - [`zones`]: silence of a whole zone is not held against its members;
//! - [`judgement`]: what follows from a probe without an answer;
//! - [`news`], [`update_queue`]: records that ride on probes and their answers;
//! - [`synchronization`]: comparison of all members, for what news missed;
//! - [`listing`]: the platform's list of machines, as a seed and a second witness;
//! - [`removal`]: when a member is forgotten.

mod contact;
mod judgement;
mod listing;
pub(crate) mod member;
mod member_table;
mod news;
mod prober;
mod removal;
mod synchronization;
mod update_queue;
mod zones;

use std::collections::{BTreeMap, BTreeSet};

use lifthollow_protocol::control::{FleetBody, MemberRecord, MemberStatus, ProbeSequence};
use lifthollow_state::{Incarnation, NodeId, ServiceName, TableVersion, Timestamp, Zone};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::event::FleetSettings;
use super::outbox::Outbox;
use member::{Listing, Member};
use member_table::MemberTable;
use prober::Prober;
use synchronization::Synchronization;
use update_queue::UpdateQueue;
use zones::ZoneReachability;

/// Nodes asked in each round while this node is in doubt or knows few others;
/// some may not answer.
const PEERS_ASKED_IN_DOUBT: usize = 5;

/// The members known and the work of keeping them up to date.
#[derive(Debug)]
pub(super) struct Membership {
    node: NodeId,
    seeds: Vec<NodeId>,
    members: MemberTable,
    updates: UpdateQueue,
    prober: Prober,
    zones: ZoneReachability,
    synchronization: Synchronization,
    random: ChaCha8Rng,
    /// Members whose place in the directory must be looked at again, with the
    /// services that they were known for.
    touched: BTreeMap<NodeId, Vec<ServiceName>>,
    /// Answers to pings from this sequence on were sent since the node last
    /// began to doubt.
    first_trusted: ProbeSequence,
    last_list: Option<Timestamp>,
    next_removal: Timestamp,
}

impl Membership {
    /// Only this node itself is known.
    pub fn new(settings: &FleetSettings) -> Self {
        let mut membership = Membership {
            node: settings.node,
            seeds: settings.seeds.clone(),
            members: MemberTable::new(),
            updates: UpdateQueue::default(),
            prober: Prober::new(settings.node),
            zones: ZoneReachability::default(),
            synchronization: Synchronization::new(),
            random: ChaCha8Rng::seed_from_u64(settings.seed ^ settings.node.as_u64()),
            touched: BTreeMap::new(),
            first_trusted: ProbeSequence::default(),
            last_list: None,
            next_removal: Timestamp::ZERO,
        };
        membership.announce(Timestamp::ZERO, own_record(settings));
        membership
    }

    /// Takes over all that `other` knows of members, but not of itself.
    pub fn know_members_of(&mut self, other: &Membership) {
        let own = self.own().cloned();
        self.members = other.members.clone();
        self.members.forget(other.node);
        self.updates = UpdateQueue::default();
        if let Some(own) = own.filter(|_| self.own().is_none()) {
            self.announce(Timestamp::ZERO, own);
        }
    }

    /// This node's present incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.own()
            .map_or(Incarnation::default(), |record| record.incarnation)
    }

    pub(in crate::fleet) fn own(&self) -> Option<&MemberRecord> {
        self.members.get(self.node).map(|member| &member.record)
    }

    /// Digest of all members.
    pub fn digest(&self) -> u64 {
        self.members.digest()
    }

    /// All members, this node included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// The member, if it is known.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.get(node)
    }

    /// Whether `node` is this node itself.
    pub fn is_own(&self, node: NodeId) -> bool {
        node == self.node
    }

    /// Whether the zone answers this node.
    pub fn is_zone_reachable(&self, zone: Zone) -> bool {
        self.zones.is_reachable(zone)
    }

    /// How many other nodes could be asked.
    pub fn known_peers(&self) -> usize {
        self.members.len().saturating_sub(1).max(self.seeds.len())
    }

    /// Members whose place in the directory may have changed, with the services
    /// that they were known for before.
    pub fn take_touched(&mut self) -> BTreeMap<NodeId, Vec<ServiceName>> {
        std::mem::take(&mut self.touched)
    }

    /// The process was paused: what was under way says nothing about others.
    pub fn doubt(&mut self, now: Timestamp) {
        self.synchronization.hurry(now);
        self.prober.clear();
        self.first_trusted = self.prober.sequence();
    }

    /// Random members that answer as far as is known.
    pub fn random_peers(&mut self, count: usize) -> BTreeSet<NodeId> {
        let choices =
            (0..count).filter_map(|_| self.prober.choose_any(&self.members, &mut self.random));
        choices.collect()
    }

    /// A random node that had at least this version in force when last heard.
    pub fn peer_with_table(&mut self, version: TableVersion) -> Option<NodeId> {
        let has_version = |member: &&Member| {
            member.table >= version && member.record.status == MemberStatus::Alive
        };
        let members = self.members.iter().filter(has_version);
        let nodes: Vec<NodeId> = members.map(|member| member.record.node).collect();
        if nodes.is_empty() {
            return None;
        }
        Some(nodes[self.random.random_range(0..nodes.len())])
    }

    fn random_seed(&mut self) -> Option<NodeId> {
        let others: Vec<NodeId> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.node)
            .collect();
        if others.is_empty() {
            return None;
        }
        Some(others[self.random.random_range(0..others.len())])
    }

    /// Probes, judges probes that failed, and forgets who is gone.
    pub fn tick(&mut self, now: Timestamp, outbox: &mut Outbox) {
        let round = self
            .prober
            .tick(now, &self.members, &self.zones, &mut self.random);
        for (to, sequence) in round.pings {
            self.ping(to, sequence, outbox);
        }
        for request in round.relay_requests {
            let (sequence, target) = (request.sequence, request.target);
            outbox.send(request.relay, FleetBody::IndirectPing { sequence, target });
        }
        for failed in round.failed {
            self.judge(now, failed, outbox);
        }
        self.ping_unreachable_zone(outbox);
        if self.members.len() <= PEERS_ASKED_IN_DOUBT {
            self.ask_peers(outbox);
        }
        self.remove_members(now, outbox);
    }

    fn ping(&mut self, to: NodeId, sequence: ProbeSequence, outbox: &mut Outbox) {
        let updates = self.updates_for(to);
        outbox.send(to, FleetBody::Ping { sequence, updates });
    }

    /// While this node is in doubt, it asks more nodes than probes would.
    pub fn ask_peers(&mut self, outbox: &mut Outbox) {
        let mut peers = self.random_peers(PEERS_ASKED_IN_DOUBT);
        if peers.len() < PEERS_ASKED_IN_DOUBT {
            peers.extend(self.random_seed());
        }
        for peer in peers {
            let sequence = self.prober.sequence();
            self.ping(peer, sequence, outbox);
        }
    }

    fn ping_unreachable_zone(&mut self, outbox: &mut Outbox) {
        let zones: Vec<Zone> = self.zones.unreachable().collect();
        if zones.is_empty() {
            return;
        }
        let zone = zones[self.random.random_range(0..zones.len())];
        let chosen = self
            .prober
            .choose_in_zone(zone, None, &self.members, &mut self.random);
        if let Some(node) = chosen {
            let sequence = self.prober.sequence();
            self.ping(node, sequence, outbox);
        }
    }

    /// The places in the directory of the zone's members must be looked at again.
    fn touch_zone(&mut self, zone: Zone) {
        for node in self.members.in_zone(zone) {
            self.touched.entry(*node).or_default();
        }
    }

    /// The member's place in the directory must be looked at again.
    fn touch(&mut self, node: NodeId, before: Option<&MemberRecord>) {
        let services = self.touched.entry(node).or_default();
        let before = before.into_iter();
        services.extend(before.flat_map(|record| record.services.clone()));
    }

    fn forget(&mut self, node: NodeId) {
        let forgotten = self.members.forget(node);
        self.touch(node, forgotten.as_ref().map(|member| &member.record));
    }

    /// Bytes of everything known of members.
    pub fn state_bytes(&self) -> usize {
        const QUEUED_UPDATE_BYTES: usize = 64;
        self.members.state_bytes() + self.updates.len() * QUEUED_UPDATE_BYTES
    }
}

fn own_record(settings: &FleetSettings) -> MemberRecord {
    MemberRecord {
        node: settings.node,
        incarnation: settings.incarnation.max(Incarnation(1)),
        status: MemberStatus::Alive,
        side: settings.side,
        zone: settings.zone,
        services: settings.services.clone(),
    }
}
