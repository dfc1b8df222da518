//! When a member is forgotten.
//!
//! Silence alone removes nobody: a paused or cut-off process is only suspected.
//! A member is removed when it has been silent for a while and the platform's
//! list, read meanwhile, no longer has it.

use std::time::Duration;

use lifthollow_protocol::control::{MemberRecord, MemberStatus};
use lifthollow_state::{NodeId, Timestamp};

use super::Membership;
use super::member::{Listing, Member};
use super::news::Passing;
use crate::fleet::outbox::Outbox;

/// Between two looks.
const INTERVAL: Duration = Duration::from_secs(30);
/// Silence, beside the platform's word, after which a member is removed.
const SILENT_AND_DROPPED: Duration = Duration::from_secs(60);
/// Silence of a member that no list has had yet.
const SILENT_AND_NEVER_LISTED: Duration = Duration::from_secs(600);
/// A leaving member may finish work for long after the platform dropped it.
const LEAVING_AND_DROPPED: Duration = Duration::from_secs(600);
/// Silence after which a member is removed without the platform's word, while
/// no list can be read.
const SILENT_WITHOUT_LIST: Duration = Duration::from_secs(2 * 3600);
/// A list read longer ago than this says nothing.
const LIST_VALID: Duration = Duration::from_secs(600);
/// For this long after its removal a member is remembered as gone, so that older
/// news of it is not believed.
const TOMBSTONE: Duration = Duration::from_secs(600);

impl Membership {
    /// Removes who is gone, and forgets who was removed long ago.
    pub(super) fn remove_members(&mut self, now: Timestamp, outbox: &mut Outbox) {
        if now < self.next_removal {
            return;
        }
        self.next_removal = now + INTERVAL;
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
        self.apply(now, MemberRecord { status, ..record }, Passing::On, outbox);
    }

    fn is_announced(&self, node: NodeId) -> bool {
        self.members.get(node).is_some_and(Member::is_announced)
    }

    fn is_gone(&self, now: Timestamp, member: &Member) -> bool {
        let silent_since = self.silent_since(member);
        let silent = silent_since.map_or(Duration::ZERO, |since| now - since);
        if member.record.status == MemberStatus::Removed {
            return silent >= TOMBSTONE;
        }
        let Some(list) = self.last_list.filter(|list| now - *list <= LIST_VALID) else {
            return silent >= SILENT_WITHOUT_LIST;
        };
        let list_is_newer = silent_since.is_some_and(|since| list > since);
        let leaving = member.record.status == MemberStatus::Leaving;
        let bound = match member.listing {
            Listing::Live | Listing::Leaving => return false,
            Listing::Dropped if !member.is_announced() => Duration::ZERO,
            Listing::Dropped if leaving => LEAVING_AND_DROPPED,
            Listing::Dropped => SILENT_AND_DROPPED,
            Listing::Never => SILENT_AND_NEVER_LISTED,
        };
        let unlisted_seed = bound == Duration::ZERO;
        unlisted_seed || list_is_newer && silent >= bound
    }

    /// Since when the member, or its whole zone, does not answer.
    fn silent_since(&self, member: &Member) -> Option<Timestamp> {
        let zone = member.record.zone;
        member
            .not_alive_since
            .or_else(|| self.zones.unreachable_since(zone))
    }
}
