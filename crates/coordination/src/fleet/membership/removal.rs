//! Removes members that are gone.
//!
//! Missing answers alone do not remove a member: a paused or partitioned process is
//! only suspected. A member is removed when it has not answered for a while and the
//! platform's list, read during that time, no longer contains it.

use std::time::Duration;

use lifthollow_protocol::control::{MemberRecord, MemberStatus};
use lifthollow_state::{NodeId, Timestamp};

use super::Membership;
use super::member::{Listing, Member};
use super::updates::Forwarding;
use crate::fleet::outbox::Outbox;

/// Time between two checks for members to remove.
const CHECK_INTERVAL: Duration = Duration::from_secs(30);
/// Time without an answer after which a member is removed that the platform's list
/// no longer contains.
const DROPPED_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without an answer after which a member is removed that no list has contained
/// so far.
const NEVER_LISTED_TIMEOUT: Duration = Duration::from_secs(600);
/// Time without an answer after which a leaving member is removed that the platform's
/// list no longer contains; it may still finish work for long after that.
const LEAVING_DROPPED_TIMEOUT: Duration = Duration::from_secs(600);
/// Time without an answer after which a member is removed while no valid list is
/// available.
const NO_LIST_TIMEOUT: Duration = Duration::from_secs(2 * 3600);
/// Time after which a list that was read is no longer used as evidence.
const LIST_VALIDITY: Duration = Duration::from_secs(600);
/// Time for which the record of a removed member is kept, so that older updates do
/// not restore the member.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(600);

impl Membership {
    /// Removes members that are gone and deletes the records of members that were
    /// removed long ago.
    pub(super) fn remove_members(&mut self, now: Timestamp, outbox: &mut Outbox) {
        if now < self.next_removal {
            return;
        }
        self.next_removal = now + CHECK_INTERVAL;
        let gone: Vec<MemberRecord> = self
            .members
            .iter()
            .filter(|member| member.record.node != self.node && self.is_gone(now, member))
            .map(|member| member.record.clone())
            .collect();
        for record in gone {
            self.remove(now, record, outbox);
        }
    }

    fn remove(&mut self, now: Timestamp, record: MemberRecord, outbox: &mut Outbox) {
        let node = record.node;
        if record.status == MemberStatus::Removed || !self.is_announced(node) {
            self.forget(node);
            return;
        }
        let status = MemberStatus::Removed;
        self.apply(
            now,
            MemberRecord { status, ..record },
            Forwarding::Piggyback,
            outbox,
        );
    }

    fn is_announced(&self, node: NodeId) -> bool {
        self.members.get(node).is_some_and(Member::is_announced)
    }

    fn is_gone(&self, now: Timestamp, member: &Member) -> bool {
        let silent_since = self.silent_since(member);
        let silent = silent_since.map_or(Duration::ZERO, |since| now - since);
        if member.record.status == MemberStatus::Removed {
            return silent >= TOMBSTONE_LIFETIME;
        }
        let Some(list) = self
            .last_list_read
            .filter(|list| now - *list <= LIST_VALIDITY)
        else {
            return silent >= NO_LIST_TIMEOUT;
        };
        let list_is_newer = silent_since.is_some_and(|since| list > since);
        let leaving = member.record.status == MemberStatus::Leaving;
        let timeout = match member.listing {
            Listing::Listed | Listing::Leaving => return false,
            Listing::Dropped if !member.is_announced() => Duration::ZERO,
            Listing::Dropped if leaving => LEAVING_DROPPED_TIMEOUT,
            Listing::Dropped => DROPPED_TIMEOUT,
            Listing::Never => NEVER_LISTED_TIMEOUT,
        };
        let unlisted_seed = timeout == Duration::ZERO;
        unlisted_seed || list_is_newer && silent >= timeout
    }

    /// Since when the member does not answer, or else its whole zone.
    fn silent_since(&self, member: &Member) -> Option<Timestamp> {
        let zone = member.record.zone;
        member
            .not_alive_since
            .or_else(|| self.zones.unreachable_since(zone))
    }
}
