//! The platform's list of machines. It lags, so it is a seed and a second
//! witness, never the only one.

use std::collections::BTreeMap;

use lifthollow_protocol::control::{MemberRecord, MemberStatus};
use lifthollow_state::{Incarnation, NodeId, Timestamp};

use super::news::Passing;
use super::{Listing, Membership};
use crate::fleet::event::Machine;
use crate::fleet::outbox::Outbox;

/// What a list that was read has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListChange {
    /// It told something that was not known.
    pub news: bool,
    /// How this node itself was and is listed.
    pub own: Option<(Listing, Listing)>,
}

impl Membership {
    /// Takes in a list.
    pub fn read_list(
        &mut self,
        now: Timestamp,
        machines: &[Machine],
        outbox: &mut Outbox,
    ) -> ListChange {
        self.last_list = Some(now);
        let mut change = ListChange::default();
        let listed = records_by_node(machines);
        for (record, listing) in listed.values() {
            change.news |= self.list(now, record, *listing, &mut change.own, outbox);
        }
        change.news |= self.drop_unlisted(&listed);
        change
    }

    fn list(
        &mut self,
        now: Timestamp,
        record: &MemberRecord,
        listing: Listing,
        own: &mut Option<(Listing, Listing)>,
        outbox: &mut Outbox,
    ) -> bool {
        let node = record.node;
        let known = self.members.get(node);
        let outdated = known.is_some_and(|known| !known.is_announced() && differs(known, record));
        if outdated {
            self.forget(node);
        }
        let news = self.members.get(node).is_none();
        if news {
            self.members.merge(now, record.clone());
        }
        let Some(member) = self.members.get_mut(node) else {
            return news;
        };
        let before = std::mem::replace(&mut member.listing, listing);
        if node == self.node {
            *own = Some((before, listing));
        }
        if before != listing || news {
            self.touch(node, None);
        }
        let newly_leaving = before != listing && listing == Listing::Leaving;
        news || newly_leaving && self.believe_leaving(now, node, outbox)
    }

    /// Tells others, who may not be able to read the list. True if it is news.
    fn believe_leaving(&mut self, now: Timestamp, node: NodeId, outbox: &mut Outbox) -> bool {
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
            self.apply(now, record, Passing::On, outbox);
        }
        true
    }

    /// Members that the list no longer has.
    fn drop_unlisted(&mut self, listed: &BTreeMap<NodeId, (MemberRecord, Listing)>) -> bool {
        let dropped: Vec<NodeId> = self
            .members
            .iter()
            .filter(|member| matches!(member.listing, Listing::Live | Listing::Leaving))
            .map(|member| member.record.node)
            .filter(|node| !listed.contains_key(node))
            .collect();
        for node in &dropped {
            self.touch(*node, None);
            if let Some(member) = self.members.get_mut(*node) {
                member.listing = Listing::Dropped;
            }
        }
        !dropped.is_empty()
    }
}

fn differs(known: &super::Member, listed: &MemberRecord) -> bool {
    let known = &known.record;
    known.services != listed.services || known.zone != listed.zone || known.side != listed.side
}

/// One record for each node, whose services may stand in several rows. A node is
/// leaving if any row says so.
fn records_by_node(machines: &[Machine]) -> BTreeMap<NodeId, (MemberRecord, Listing)> {
    let mut records = BTreeMap::new();
    for machine in machines {
        let (record, listing) = records
            .entry(machine.node)
            .or_insert_with(|| (empty_record(machine), Listing::Live));
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
