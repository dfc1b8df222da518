//! A node that leaves: by a planned stop, or because the platform lists it.
//!
//! The node tells several others at once, each of which tells several more, so
//! that callers stop within a second or two. Whoever is not reached by that and
//! still sends work is refused by the leaving node itself, as not run.

use lifthollow_protocol::control::{MemberRecord, MemberStatus};
use lifthollow_state::{Incarnation, Timestamp};

use super::membership::Membership;
use super::membership::member::Listing;
use super::outbox::Outbox;

/// Nodes told at once by the leaving node itself.
const FANOUT: usize = 8;

/// Whether this node leaves, and why.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    planned_stop: bool,
}

impl Leaving {
    /// A planned stop has begun. It is not undone in this life of the node.
    pub fn stop(&mut self, now: Timestamp, membership: &mut Membership, outbox: &mut Outbox) {
        self.planned_stop = true;
        membership.announce_leaving(now, outbox);
    }

    /// How the platform's list, which lags, shows this node: before and now. A
    /// node that is no longer listed as leaving takes work again.
    pub fn listed(
        &self,
        now: Timestamp,
        (before, listing): (Listing, Listing),
        membership: &mut Membership,
        outbox: &mut Outbox,
    ) {
        match (before, listing) {
            (Listing::Leaving, Listing::Leaving) => {}
            (_, Listing::Leaving) => membership.announce_leaving(now, outbox),
            (Listing::Leaving, Listing::Live) if !self.planned_stop => {
                membership.announce_return(now, outbox);
            }
            _ => {}
        }
    }
}

impl Membership {
    /// Whether this node takes new work.
    pub fn takes_new_work(&self) -> bool {
        self.own()
            .is_some_and(|own| own.status == MemberStatus::Alive)
    }

    fn announce_leaving(&mut self, now: Timestamp, outbox: &mut Outbox) {
        let Some(own) = self.own().cloned() else {
            return;
        };
        let status = MemberStatus::Leaving;
        self.announce_urgently(now, MemberRecord { status, ..own }, outbox);
    }

    fn announce_return(&mut self, now: Timestamp, outbox: &mut Outbox) {
        let Some(own) = self.own().cloned() else {
            return;
        };
        let record = MemberRecord {
            incarnation: Incarnation(own.incarnation.0 + 1),
            status: MemberStatus::Alive,
            ..own
        };
        self.announce_urgently(now, record, outbox);
    }

    fn announce_urgently(&mut self, now: Timestamp, own: MemberRecord, outbox: &mut Outbox) {
        self.announce(now, own.clone());
        self.tell_at_once(own, FANOUT, outbox);
    }
}
