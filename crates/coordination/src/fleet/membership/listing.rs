//! Applies the platform's list of machines. The list lags, so it only names initial
//! members and supports other evidence; alone it removes no announced member.

use std::collections::BTreeMap;

use lifthollow_protocol::control::{MemberRecord, MemberStatus};
use lifthollow_state::{Incarnation, NodeId, Timestamp};

use super::updates::Forwarding;
use super::{Listing, Membership};
use crate::fleet::event::Machine;
use crate::fleet::outbox::Outbox;

/// Changes that a fetched list of machines made to the membership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListChange {
    /// Whether the list contained something that was not known.
    pub changed: bool,
    /// Listing of this node itself before and after the list was applied; none if the
    /// list does not contain this node.
    pub own: Option<(Listing, Listing)>,
}

impl Membership {
    /// Applies a list that was read.
    pub fn apply_list(
        &mut self,
        now: Timestamp,
        machines: &[Machine],
        outbox: &mut Outbox,
    ) -> ListChange {
        self.last_list_read = Some(now);
        let mut change = ListChange::default();
        let listed = records_by_node(machines);
        for (record, listing) in listed.values() {
            change.changed |=
                self.apply_listed_record(now, record, *listing, &mut change.own, outbox);
        }
        change.changed |= self.mark_dropped(&listed);
        change
    }

    fn apply_listed_record(
        &mut self,
        now: Timestamp,
        record: &MemberRecord,
        listing: Listing,
        own: &mut Option<(Listing, Listing)>,
        outbox: &mut Outbox,
    ) -> bool {
        let node = record.node;
        let known = self.members.get(node);
        let outdated =
            known.is_some_and(|known| !known.is_announced() && placement_differs(known, record));
        if outdated {
            self.forget(node);
        }
        let is_new = self.members.get(node).is_none();
        if is_new {
            self.members.merge(now, record.clone());
        }
        let Some(member) = self.members.get_mut(node) else {
            return is_new;
        };
        let before = std::mem::replace(&mut member.listing, listing);
        if node == self.node {
            *own = Some((before, listing));
        }
        if before != listing || is_new {
            self.mark_outdated(node, None);
        }
        let newly_leaving = before != listing && listing == Listing::Leaving;
        is_new || newly_leaving && self.apply_listed_leaving(now, node, outbox)
    }

    /// Marks a member that is listed as leaving and forwards that to other nodes, which
    /// may not be able to read the list. Returns whether it was not known before.
    fn apply_listed_leaving(&mut self, now: Timestamp, node: NodeId, outbox: &mut Outbox) -> bool {
        let Some(member) = self.members.get(node) else {
            return false;
        };
        if member.record.status >= MemberStatus::Leaving || node == self.node {
            return false;
        }
        let status = MemberStatus::Leaving;
        let record = MemberRecord {
            status,
            ..member.record.clone()
        };
        if member.is_announced() {
            self.apply(now, record, Forwarding::Piggyback, outbox);
        }
        true
    }

    /// Marks the members that the list no longer contains as dropped. Returns whether
    /// there were any.
    fn mark_dropped(&mut self, listed: &BTreeMap<NodeId, (MemberRecord, Listing)>) -> bool {
        let dropped: Vec<NodeId> = self
            .members
            .iter()
            .filter(|member| matches!(member.listing, Listing::Listed | Listing::Leaving))
            .map(|member| member.record.node)
            .filter(|node| !listed.contains_key(node))
            .collect();
        for node in &dropped {
            self.mark_outdated(*node, None);
            if let Some(member) = self.members.get_mut(*node) {
                member.listing = Listing::Dropped;
            }
        }
        !dropped.is_empty()
    }
}

fn placement_differs(known: &super::Member, listed: &MemberRecord) -> bool {
    let known = &known.record;
    known.services != listed.services || known.zone != listed.zone || known.side != listed.side
}

/// Builds one record for each node, whose services may be listed in several rows. A
/// node is leaving if any of its rows says so.
fn records_by_node(machines: &[Machine]) -> BTreeMap<NodeId, (MemberRecord, Listing)> {
    let mut records = BTreeMap::new();
    for machine in machines {
        let (record, listing) = records
            .entry(machine.node)
            .or_insert_with(|| (empty_record(machine), Listing::Listed));
        if !record.services.contains(&machine.service) {
            record.services.push(machine.service.clone());
        }
        if machine.leaving {
            *listing = Listing::Leaving;
        }
    }
    records
}

fn empty_record(machine: &Machine) -> MemberRecord {
    MemberRecord {
        node: machine.node,
        incarnation: Incarnation::default(),
        status: MemberStatus::Alive,
        side: machine.side,
        zone: machine.zone,
        services: Vec::new(),
    }
}
