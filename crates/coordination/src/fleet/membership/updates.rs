//! Applies and forwards updates of member records, and refutes wrong updates about
//! this node itself.

use lifthollow_protocol::control::{MemberRecord, MemberStatus, encoded_length};
use lifthollow_state::{Incarnation, NodeId, Timestamp};

use super::Membership;
use super::member::Member;
use super::member_table::Merge;
use super::update_queue::forward_limit;
use crate::fleet::outbox::Outbox;
use crate::fleet::report::FleetReport;

/// Maximum bytes of member records in one probe or answer.
const UPDATE_BYTES: usize = 350;
/// Number of nodes to which an urgent update is sent immediately.
const URGENT_FANOUT: usize = 6;

/// Whether a record that is new to this node is forwarded to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Forwarding {
    /// The record is forwarded with the next probes and answers.
    Piggyback,
    /// The record is not forwarded.
    Skip,
}

impl Membership {
    /// Selects the updates to send to node `to`: first the record of `to` itself if
    /// it has reason to refute it, then the records that were forwarded least often.
    pub(super) fn updates_for(&mut self, to: NodeId) -> Vec<MemberRecord> {
        let mut updates = Vec::new();
        let mut bytes = 0;
        if let Some(member) = self.members.get(to).filter(|member| is_refutable(member)) {
            bytes += encoded_length(&member.record);
            updates.push(member.record.clone());
        }
        if self.updates.len() == 0 {
            return updates;
        }
        let members = &self.members;
        let fits = |node| {
            let length = members
                .get(node)
                .map_or(0, |member| encoded_length(&member.record));
            bytes += length;
            bytes <= UPDATE_BYTES
        };
        let chosen = self.updates.take(forward_limit(members.len()), fits);
        let records = chosen.into_iter().filter_map(|node| self.members.get(node));
        updates.extend(records.map(|member| member.record.clone()));
        updates
    }

    /// Merges a received record, forwards it if `forwarding` says so, and reports a
    /// changed status to operators.
    pub(super) fn apply(
        &mut self,
        now: Timestamp,
        record: MemberRecord,
        forwarding: Forwarding,
        outbox: &mut Outbox,
    ) -> Merge {
        if record.node == self.node {
            self.handle_own_record(now, record, outbox);
            return Merge::Known;
        }
        let node = record.node;
        let merge = self.members.merge(now, record);
        match &merge {
            Merge::Applied(before) => self.after_merge(node, before.as_ref(), forwarding, outbox),
            Merge::Known => {
                let limit = forward_limit(self.members.len());
                self.updates.record_duplicate(node, limit);
            }
            Merge::Older | Merge::Ignored => {}
        }
        merge
    }

    fn after_merge(
        &mut self,
        node: NodeId,
        before: Option<&MemberRecord>,
        forwarding: Forwarding,
        outbox: &mut Outbox,
    ) {
        self.mark_outdated(node, before);
        let Some(member) = self.members.get(node) else {
            return;
        };
        if !member.is_announced() {
            return;
        }
        if forwarding == Forwarding::Piggyback {
            self.updates.push(node);
        }
        let status_before = before.map(|record| record.status);
        if status_before == Some(member.record.status) {
            return;
        }
        let record = member.record.clone();
        report_status(&record, status_before, outbox);
        let refuted = status_before == Some(MemberStatus::Suspected);
        let urgent = record.status == MemberStatus::Leaving || refuted;
        if urgent && forwarding == Forwarding::Piggyback {
            self.send_immediately(record, URGENT_FANOUT, outbox);
        }
    }

    /// Sends a record to `fanout` random nodes without waiting for the next probe.
    pub(in crate::fleet) fn send_immediately(
        &mut self,
        record: MemberRecord,
        fanout: usize,
        outbox: &mut Outbox,
    ) {
        for peer in self.random_peers(fanout) {
            outbox.send_updates(peer, vec![record.clone()]);
        }
    }

    /// Handles a record about this node itself. If it supersedes this node's own
    /// record, because of a worse status or another incarnation, this node refutes it
    /// with a larger incarnation. A record that says that the current incarnation is
    /// leaving is accepted, since others may have read so in the platform's list.
    fn handle_own_record(&mut self, now: Timestamp, claimed: MemberRecord, outbox: &mut Outbox) {
        let Some(own) = self.own().cloned() else {
            return;
        };
        if !claimed.supersedes(&own) {
            let limit = forward_limit(self.members.len());
            self.updates.record_duplicate(self.node, limit);
            return;
        }
        let same_incarnation = claimed.incarnation == own.incarnation;
        let claim = match claimed.status {
            MemberStatus::Leaving if same_incarnation => claimed,
            _ => MemberRecord {
                incarnation: Incarnation(claimed.incarnation.0 + 1),
                ..own
            },
        };
        self.announce(now, claim.clone());
        self.send_immediately(claim, URGENT_FANOUT, outbox);
    }

    pub(in crate::fleet) fn announce(&mut self, now: Timestamp, own: MemberRecord) {
        self.members.merge(now, own);
        self.mark_outdated(self.node, None);
        self.updates.push(self.node);
    }
}

/// Whether the member has the status `Suspected` or `Removed`, which it would refute
/// if it runs.
pub(super) fn is_refutable(member: &Member) -> bool {
    matches!(
        member.record.status,
        MemberStatus::Suspected | MemberStatus::Removed
    )
}

/// Reports the status of a member to operators. A member that appears for the first
/// time as `Alive` is not reported.
fn report_status(record: &MemberRecord, before: Option<MemberStatus>, outbox: &mut Outbox) {
    let (node, incarnation) = (record.node, record.incarnation);
    let report = match record.status {
        MemberStatus::Alive if before.is_none() => return,
        MemberStatus::Alive => FleetReport::MemberAlive { node, incarnation },
        MemberStatus::Suspected => FleetReport::MemberSuspected { node, incarnation },
        MemberStatus::Leaving => FleetReport::MemberLeaving { node, incarnation },
        MemberStatus::Removed => FleetReport::MemberRemoved { node, incarnation },
    };
    outbox.report(report);
}
