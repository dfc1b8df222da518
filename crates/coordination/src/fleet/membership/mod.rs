//! Membership of the fleet: which nodes exist and whether they answer.
//!
//! Every node keeps a record of a few dozen bytes for every member. Records are
//! ordered by incarnation and status, so that all nodes converge on the same ones
//! whatever the order in which updates arrive.
//!
//! - [`prober`]: probes members directly and through other nodes;
//! - [`zones`]: distinguishes an unreachable zone from a failed member;
//! - [`failure_handling`]: handles a probe without an answer;
//! - [`updates`], [`update_queue`]: member records piggybacked on probes and answers;
//! - [`synchronization`]: compares all members, to repair what updates missed;
//! - [`listing`]: the platform's list of machines, as a seed and as second evidence;
//! - [`removal`]: removes members that are gone.

mod failure_handling;
mod listing;
pub(crate) mod member;
mod member_table;
mod message_handling;
mod prober;
mod removal;
mod synchronization;
mod update_queue;
mod updates;
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

/// Number of nodes asked in each round while the table is not confirmed or this
/// node knows few others; some may not answer.
const PEERS_ASKED_PER_ROUND: usize = 5;

/// All known members and the state of the protocols that keep them up to date.
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
    /// Members whose directory entries must be refreshed, with the services of
    /// their replaced or removed records.
    outdated_entries: BTreeMap<NodeId, Vec<ServiceName>>,
    /// First sequence of the pings that were sent since the start or the last pause;
    /// only answers to these confirm the table.
    first_trusted_sequence: ProbeSequence,
    last_list_read: Option<Timestamp>,
    next_removal: Timestamp,
}

impl Membership {
    /// Starts with this node as the only member.
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
            outdated_entries: BTreeMap::new(),
            first_trusted_sequence: ProbeSequence::default(),
            last_list_read: None,
            next_removal: Timestamp::ZERO,
        };
        membership.announce(Timestamp::ZERO, own_record(settings));
        membership
    }

    /// Copies the member table of `other` without its own record.
    pub fn copy_members_from(&mut self, other: &Membership) {
        let own = self.own().cloned();
        self.members = other.members.clone();
        self.members.delete(other.node);
        self.updates = UpdateQueue::default();
        if let Some(own) = own.filter(|_| self.own().is_none()) {
            self.announce(Timestamp::ZERO, own);
        }
    }

    /// The current incarnation of this node.
    pub fn incarnation(&self) -> Incarnation {
        self.own()
            .map_or(Incarnation::default(), |record| record.incarnation)
    }

    pub(in crate::fleet) fn own(&self) -> Option<&MemberRecord> {
        self.members.get(self.node).map(|member| &member.record)
    }

    /// Digest of the records of all members.
    pub fn digest(&self) -> u64 {
        self.members.digest()
    }

    /// All members, including this node.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// The member with this node id, if it is known.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.get(node)
    }

    /// Whether `node` is this node itself.
    pub fn is_own(&self, node: NodeId) -> bool {
        node == self.node
    }

    /// Whether members of the zone answer this node.
    pub fn is_zone_reachable(&self, zone: Zone) -> bool {
        self.zones.is_reachable(zone)
    }

    /// Number of other nodes that could be asked.
    pub fn known_peers(&self) -> usize {
        self.members.len().saturating_sub(1).max(self.seeds.len())
    }

    /// Takes the members whose directory entries may have changed, with the services
    /// of their replaced or removed records.
    pub fn take_outdated_entries(&mut self) -> BTreeMap<NodeId, Vec<ServiceName>> {
        std::mem::take(&mut self.outdated_entries)
    }

    /// Discards the probes in progress after a pause of the process, because missing
    /// answers then say nothing about other nodes, and allows an early comparison of
    /// all members.
    pub fn reset_probes(&mut self, now: Timestamp) {
        self.synchronization.expedite(now);
        self.prober.clear();
        self.first_trusted_sequence = self.prober.sequence();
    }

    /// Up to `count` random members with status `Alive`.
    pub fn random_peers(&mut self, count: usize) -> BTreeSet<NodeId> {
        let choices =
            (0..count).filter_map(|_| self.prober.choose_any(&self.members, &mut self.random));
        choices.collect()
    }

    /// A random node whose last message reported at least this table version as in
    /// force.
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

    /// Sends probes, handles failed ones and removes members that are gone.
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
            self.handle_failed_probe(now, failed, outbox);
        }
        self.ping_unreachable_zone(outbox);
        if self.members.len() <= PEERS_ASKED_PER_ROUND {
            self.ask_peers(outbox);
        }
        self.remove_members(now, outbox);
    }

    fn ping(&mut self, to: NodeId, sequence: ProbeSequence, outbox: &mut Outbox) {
        let updates = self.updates_for(to);
        outbox.send(to, FleetBody::Ping { sequence, updates });
    }

    /// Pings several random nodes at once, more than regular probes would, to learn
    /// quickly of newer tables and of other members.
    pub fn ask_peers(&mut self, outbox: &mut Outbox) {
        let mut peers = self.random_peers(PEERS_ASKED_PER_ROUND);
        if peers.len() < PEERS_ASKED_PER_ROUND {
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

    /// Marks the directory entries of all members of the zone for a refresh.
    fn mark_zone_outdated(&mut self, zone: Zone) {
        for node in self.members.in_zone(zone) {
            self.outdated_entries.entry(*node).or_default();
        }
    }

    /// Marks the member's directory entries for a refresh; `before` is the record that
    /// was replaced or removed.
    fn mark_outdated(&mut self, node: NodeId, before: Option<&MemberRecord>) {
        let services = self.outdated_entries.entry(node).or_default();
        let before = before.into_iter();
        services.extend(before.flat_map(|record| record.services.clone()));
    }

    fn forget(&mut self, node: NodeId) {
        let forgotten = self.members.delete(node);
        self.mark_outdated(node, forgotten.as_ref().map(|member| &member.record));
    }

    /// Estimated memory used for members and queued updates, in bytes.
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
