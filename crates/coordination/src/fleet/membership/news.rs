//! News of members: taken over, passed on, and refuted when it is wrong news of
//! this node itself.

use lifthollow_protocol::control::{MemberRecord, MemberStatus, encoded_length};
use lifthollow_state::{Incarnation, NodeId, Timestamp};

use super::Membership;
use super::member::Member;
use super::member_table::Merge;
use super::update_queue::pass_limit;
use crate::fleet::outbox::Outbox;
use crate::fleet::report::FleetReport;

/// Bytes of news in one probe or answer.
const UPDATE_BYTES: usize = 350;
/// Nodes told at once of news that cannot wait.
const URGENT_FANOUT: usize = 6;

/// Whether a record that is new here is passed on to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Passing {
    /// With the next probes and answers.
    On,
    /// Not at all.
    Silent,
}

impl Membership {
    /// News for a node: what it should know of itself first, then what has
    /// spread least.
    pub(super) fn updates_for(&mut self, to: NodeId) -> Vec<MemberRecord> {
        let mut updates = Vec::new();
        let mut bytes = 0;
        if let Some(member) = self.members.get(to).filter(|member| is_doubted(member)) {
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
        let chosen = self.updates.take(pass_limit(members.len()), fits);
        let records = chosen.into_iter().filter_map(|node| self.members.get(node));
        updates.extend(records.map(|member| member.record.clone()));
        updates
    }

    /// Takes over news of a member, passes it on and shows it to operators.
    pub(super) fn apply(
        &mut self,
        now: Timestamp,
        record: MemberRecord,
        passing: Passing,
        outbox: &mut Outbox,
    ) -> Merge {
        if record.node == self.node {
            self.defend(now, record, outbox);
            return Merge::Known;
        }
        let node = record.node;
        let merge = self.members.merge(now, record);
        match &merge {
            Merge::Applied(before) => self.applied(node, before.as_ref(), passing, outbox),
            Merge::Known => {
                let limit = pass_limit(self.members.len());
                self.updates.heard_again(node, limit);
            }
            Merge::Older | Merge::Ignored => {}
        }
        merge
    }

    fn applied(
        &mut self,
        node: NodeId,
        before: Option<&MemberRecord>,
        passing: Passing,
        outbox: &mut Outbox,
    ) {
        self.touch(node, before);
        let Some(member) = self.members.get(node) else {
            return;
        };
        if !member.is_announced() {
            return;
        }
        if passing == Passing::On {
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
        if urgent && passing == Passing::On {
            self.tell_at_once(record, URGENT_FANOUT, outbox);
        }
    }

    /// Sends a record to a few nodes without waiting for the next probe.
    pub(in crate::fleet) fn tell_at_once(
        &mut self,
        record: MemberRecord,
        fanout: usize,
        outbox: &mut Outbox,
    ) {
        for peer in self.random_peers(fanout) {
            outbox.send_updates(peer, vec![record.clone()]);
        }
    }

    /// Others hold this node for worse than it is, or for another life of it: it
    /// refutes that by a larger incarnation. That it is leaving it believes, since
    /// others may have read so in the platform's list.
    fn defend(&mut self, now: Timestamp, claimed: MemberRecord, outbox: &mut Outbox) {
        let Some(own) = self.own().cloned() else {
            return;
        };
        if !claimed.supersedes(&own) {
            let limit = pass_limit(self.members.len());
            self.updates.heard_again(self.node, limit);
            return;
        }
        let same_life = claimed.incarnation == own.incarnation;
        let claim = match claimed.status {
            MemberStatus::Leaving if same_life => claimed,
            _ => MemberRecord {
                incarnation: Incarnation(claimed.incarnation.0 + 1),
                ..own
            },
        };
        self.announce(now, claim.clone());
        self.tell_at_once(claim, URGENT_FANOUT, outbox);
    }

    pub(in crate::fleet) fn announce(&mut self, now: Timestamp, own: MemberRecord) {
        self.members.merge(now, own);
        self.touch(self.node, None);
        self.updates.push(self.node);
    }
}

/// Whether the member has reason to refute what is known of it.
pub(super) fn is_doubted(member: &Member) -> bool {
    matches!(
        member.record.status,
        MemberStatus::Suspected | MemberStatus::Removed
    )
}

/// Members that appear for the first time are not reported.
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
