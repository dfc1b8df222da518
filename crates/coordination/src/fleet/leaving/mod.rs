//! Announces that this node leaves the fleet, because of a planned stop or because
//! the platform lists it as leaving.
//!
//! The node immediately informs several others, each of which informs several more,
//! so that callers stop sending work within a second or two. A caller that was not
//! informed and still sends work is refused by the leaving node, which reports the
//! work as not run.

use lifthollow_protocol::control::{MemberRecord, MemberStatus};
use lifthollow_state::{Incarnation, Timestamp};

use super::membership::Membership;
use super::membership::member::Listing;
use super::outbox::Outbox;

/// Number of nodes that the leaving node itself informs immediately.
const FANOUT: usize = 8;

/// Whether a planned stop of this node has begun.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    planned_stop: bool,
}

impl Leaving {
    /// Begins a planned stop, which is never undone while this process runs.
    pub fn begin_stop(&mut self, now: Timestamp, membership: &mut Membership, outbox: &mut Outbox) {
        self.planned_stop = true;
        membership.announce_leaving(now, outbox);
    }

    /// Handles how the platform's list, which lags, showed this node before and
    /// shows it now. A node that is no longer listed as leaving takes work again,
    /// unless a planned stop has begun.
    pub fn handle_own_listing(
        &self,
        now: Timestamp,
        (before, listing): (Listing, Listing),
        membership: &mut Membership,
        outbox: &mut Outbox,
    ) {
        match (before, listing) {
            (Listing::Leaving, Listing::Leaving) => {}
            (_, Listing::Leaving) => membership.announce_leaving(now, outbox),
            (Listing::Leaving, Listing::Listed) if !self.planned_stop => {
                membership.announce_return(now, outbox);
            }
            _ => {}
        }
    }
}

impl Membership {
    /// Whether this node takes new work, which it does unless it leaves.
    pub fn takes_new_work(&self) -> bool {
        self.own()
            .is_some_and(|own| own.status == MemberStatus::Alive)
    }

    fn announce_leaving(&mut self, now: Timestamp, outbox: &mut Outbox) {
        let Some(own) = self.own().cloned() else {
            return;
        };
        let status = MemberStatus::Leaving;
        self.announce_immediately(now, MemberRecord { status, ..own }, outbox);
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
        self.announce_immediately(now, record, outbox);
    }

    fn announce_immediately(&mut self, now: Timestamp, own: MemberRecord, outbox: &mut Outbox) {
        self.announce(now, own.clone());
        self.send_immediately(own, FANOUT, outbox);
    }
}
