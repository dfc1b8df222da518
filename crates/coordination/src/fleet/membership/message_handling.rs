//! Handles membership messages from other nodes.

use lifthollow_protocol::control::{
    BucketDigests, FleetBody, FleetHeader, MemberRecord, ProbeSequence,
};
use lifthollow_state::{NodeId, Timestamp};

use super::member_table::Merge;
use super::updates::{Forwarding, is_refutable};
use super::{Membership, synchronization};
use crate::fleet::outbox::Outbox;
use crate::fleet::report::FleetReport;

impl Membership {
    /// Handles the header of any message, which shows that its sender runs and which
    /// table and members it knows. A sender that should refute its record receives it.
    pub fn handle_header(
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
            if outdated || is_refutable(member) && member.record.incarnation == header.incarnation {
                outbox.send_updates(from, vec![member.record.clone()]);
            }
        }
        self.synchronization
            .handle_digest(now, from, header.members, &self.members, outbox);
    }

    /// Answers a ping and applies its updates.
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

    /// Handles the answer to a ping. Returns whether the ping was sent since the start
    /// or the last pause of this process.
    pub fn handle_ack(
        &mut self,
        now: Timestamp,
        from: NodeId,
        sequence: ProbeSequence,
        updates: Vec<MemberRecord>,
        outbox: &mut Outbox,
    ) -> bool {
        self.apply_all(now, updates, outbox);
        if let Some((requester, sequence)) = self.prober.complete_probe(sequence) {
            outbox.send(requester, FleetBody::IndirectAck { sequence });
        }
        self.zone_answered(now, from, outbox);
        sequence >= self.first_trusted_sequence
    }

    fn zone_answered(&mut self, now: Timestamp, from: NodeId, outbox: &mut Outbox) {
        let Some(member) = self.members.get(from) else {
            return;
        };
        let zone = member.record.zone;
        if self.zones.record_answer(zone, now) {
            outbox.report(FleetReport::ZoneReachable { zone });
            self.synchronization.expedite(now);
            self.mark_zone_outdated(zone);
        }
    }

    /// Probes `target` on behalf of the node `from`.
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

    /// Records that another node reached the target of a probe.
    pub fn handle_indirect_ack(&mut self, sequence: ProbeSequence) {
        self.prober.record_indirect_answer(sequence);
    }

    /// Applies and forwards all updates.
    pub fn apply_all(&mut self, now: Timestamp, updates: Vec<MemberRecord>, outbox: &mut Outbox) {
        for record in updates {
            self.apply(now, record, Forwarding::Piggyback, outbox);
        }
    }

    /// Answers a request for the members in differing buckets.
    pub fn answer_digests(
        &mut self,
        now: Timestamp,
        from: NodeId,
        digests: &BucketDigests,
        outbox: &mut Outbox,
    ) {
        self.synchronization.answer_request(
            now,
            from,
            digests,
            &self.members,
            &mut self.random,
            outbox,
        );
    }

    /// Applies the members of differing buckets that another node sent, and sends back
    /// the records that it lacks. The records are not forwarded: nodes that lack them
    /// learn of them by the same comparison.
    pub fn handle_buckets(
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
            .map(|record| self.apply(now, record, Forwarding::Skip, outbox));
        let applied = merges
            .filter(|merge| matches!(merge, Merge::Applied(_)))
            .count();
        self.synchronization.count_applied(now, applied);
    }
}
