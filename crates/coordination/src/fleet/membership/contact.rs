//! Messages from other nodes.

use lifthollow_protocol::control::{
    BucketDigests, FleetBody, FleetHeader, MemberRecord, ProbeSequence,
};
use lifthollow_state::{NodeId, Timestamp};

use super::member_table::Merge;
use super::news::{Passing, is_doubted};
use super::{Membership, synchronization};
use crate::fleet::outbox::Outbox;
use crate::fleet::report::FleetReport;

impl Membership {
    /// Any message shows that its sender runs, and what it has.
    pub fn heard(
        &mut self,
        now: Timestamp,
        from: NodeId,
        header: &FleetHeader,
        outbox: &mut Outbox,
    ) {
        if let Some(member) = self.members.get_mut(from) {
            member.heard = Some(now);
            member.table = header.table;
            let outdated = header.incarnation < member.record.incarnation;
            if outdated || is_doubted(member) && member.record.incarnation == header.incarnation {
                outbox.send_updates(from, vec![member.record.clone()]);
            }
        }
        self.synchronization
            .contact(now, from, header.members, &self.members, outbox);
    }

    /// A node asks for an answer.
    pub fn answer_ping(
        &mut self,
        now: Timestamp,
        from: NodeId,
        sequence: ProbeSequence,
        updates: Vec<MemberRecord>,
        outbox: &mut Outbox,
    ) {
        self.apply_all(now, updates, outbox);
        let updates = self.updates_for(from);
        outbox.send(from, FleetBody::Ack { sequence, updates });
    }

    /// A node has answered. True if the ping was sent since this node last
    /// began to doubt.
    pub fn take_ack(
        &mut self,
        now: Timestamp,
        from: NodeId,
        sequence: ProbeSequence,
        updates: Vec<MemberRecord>,
        outbox: &mut Outbox,
    ) -> bool {
        self.apply_all(now, updates, outbox);
        if let Some((requester, sequence)) = self.prober.answered(sequence) {
            outbox.send(requester, FleetBody::IndirectAck { sequence });
        }
        self.zone_answered(now, from, outbox);
        sequence >= self.first_trusted
    }

    fn zone_answered(&mut self, now: Timestamp, from: NodeId, outbox: &mut Outbox) {
        let Some(member) = self.members.get(from) else {
            return;
        };
        let zone = member.record.zone;
        if self.zones.answered(zone, now) {
            outbox.report(FleetReport::ZoneReachable { zone });
            self.synchronization.hurry(now);
            self.touch_zone(zone);
        }
    }

    /// A node asks for a probe on its behalf.
    pub fn relay_ping(
        &mut self,
        from: NodeId,
        sequence: ProbeSequence,
        target: NodeId,
        outbox: &mut Outbox,
    ) {
        let sequence = self.prober.relay(from, sequence);
        self.ping(target, sequence, outbox);
    }

    /// A node was reached through another one.
    pub fn take_indirect_ack(&mut self, sequence: ProbeSequence) {
        self.prober.answered_by_relay(sequence);
    }

    /// News of members.
    pub fn apply_all(&mut self, now: Timestamp, updates: Vec<MemberRecord>, outbox: &mut Outbox) {
        for record in updates {
            self.apply(now, record, Passing::On, outbox);
        }
    }

    /// A node asks for members that differ.
    pub fn answer_digests(
        &mut self,
        now: Timestamp,
        from: NodeId,
        digests: &BucketDigests,
        outbox: &mut Outbox,
    ) {
        self.synchronization
            .answer(now, from, digests, &self.members, &mut self.random, outbox);
    }

    /// Members that differed, as another node knows them. They are not passed on:
    /// whoever lacks them finds out by the same comparison.
    pub fn take_buckets(
        &mut self,
        now: Timestamp,
        from: NodeId,
        complete: &[u16],
        records: Vec<MemberRecord>,
        outbox: &mut Outbox,
    ) {
        let unknown = synchronization::unknown_to_peer(complete, &records, &self.members);
        if !unknown.is_empty() {
            outbox.send_updates(from, unknown);
        }
        let merges = records
            .into_iter()
            .map(|record| self.apply(now, record, Passing::Silent, outbox));
        let applied = merges
            .filter(|merge| matches!(merge, Merge::Applied(_)))
            .count();
        self.synchronization.applied(now, applied);
    }
}
