//! Recovery of a replaced replica: reads from other members the claims that its
//! predecessor may have voted for.
//!
//! A claim counts votes only within its start window. Once that time has passed since
//! the replica's start, each claim that counted the predecessor's vote has its majority,
//! and all other replicas of that majority know the claim. The replica then reads the
//! claims of the other members. It has learned every claim on a key that can have been
//! granted when the unread replicas of that key and the replica itself are not a majority.
//!
//! Before that time the replica asks whether a member stores the records that the
//! predecessor handed over (see [`super::handover`]).
//!
//! Only a member that has learned every claim of all its own keys answers. Otherwise
//! replicas that were replaced at the same time would read each other's empty records.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_protocol::{ClaimMessage, RejoinPage, RejoinRequest, RosterVersion};
use lifthollow_state::{IdempotencyKey, Incarnation, NodeId, Timestamp};

use super::roster::{REPLICAS_PER_KEY, majority};

const FIRST_KEY: IdempotencyKey = IdempotencyKey(0);
const MIN_RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time between two requests; the interval doubles up to this while no member
/// answers.
const MAX_RESEND_INTERVAL: Duration = Duration::from_millis(3_200);
/// Maximum number of members that are read from at the same time.
const MAX_READS_AT_ONCE: usize = 8;

/// Progress of reading the claims of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Reading { from_key: IdempotencyKey },
    Complete,
}

/// Reads the claims of the other members after a start.
#[derive(Debug)]
pub struct Rejoin {
    incarnation: Incarnation,
    starts_at: Timestamp,
    resend_at: Timestamp,
    resend_interval: Duration,
    turn: usize,
    /// The member from which handed-over records are read, if any answered.
    handover_source: Option<NodeId>,
    /// Whether all handed-over records have been read.
    is_handover_read: bool,
    /// Whether the votes of the predecessor have expired and the claims of all members are
    /// being read.
    is_reading_all: bool,
    progress: BTreeMap<NodeId, Progress>,
}

impl Rejoin {
    /// Starts to read from `members`; before `starts_at`, only handed-over records are
    /// read.
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        members: impl Iterator<Item = NodeId>,
        now: Timestamp,
        starts_at: Timestamp,
    ) -> Self {
        let begin = Progress::Reading {
            from_key: FIRST_KEY,
        };
        let others = members.filter(|member| *member != node);
        Rejoin {
            incarnation,
            starts_at,
            resend_at: now,
            handover_source: None,
            is_handover_read: false,
            is_reading_all: false,
            resend_interval: MIN_RESEND_INTERVAL,
            turn: 0,
            progress: others.map(|member| (member, begin)).collect(),
        }
    }

    /// When [`Rejoin::wake`] must be called next; `None` if everything has been read.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let is_read = self.is_handover_read || self.unread().next().is_none();
        (!is_read).then_some(self.resend_at)
    }

    /// Returns the requests to members that have not been read completely.
    pub fn wake(&mut self, now: Timestamp, roster: RosterVersion) -> Vec<(NodeId, ClaimMessage)> {
        if self.next_wake().is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.start_full_read(now);
        self.resend_at = now + self.resend_interval;
        self.resend_interval = (self.resend_interval * 2).min(MAX_RESEND_INTERVAL);
        let mut reading: Vec<NodeId> = self.unread().collect();
        let rotation = self.rotation(reading.len());
        reading.rotate_left(rotation);
        reading.truncate(MAX_READS_AT_ONCE);
        reading
            .into_iter()
            .filter_map(|member| Some((member, self.request(now, member, roster)?)))
            .collect()
    }

    /// Records that a page was read and returns the request for the next one.
    pub fn record_page(
        &mut self,
        now: Timestamp,
        from: NodeId,
        page: &RejoinPage,
    ) -> Option<ClaimMessage> {
        let expected = Progress::Reading {
            from_key: page.from_key,
        };
        let is_expected = self.progress.get(&from) == Some(&expected);
        if page.incarnation != self.incarnation || !is_expected || !self.may_read(now, from, page) {
            return None;
        }
        let progress = match page.next {
            Some(next) => Progress::Reading { from_key: next.0 },
            None => Progress::Complete,
        };
        self.progress.insert(from, progress);
        self.is_handover_read |= page.handed_over && progress == Progress::Complete;
        self.resend_interval = MIN_RESEND_INTERVAL;
        self.request(now, from, page.roster)
    }

    /// Whether every claim on a key with these replicas has been learned.
    pub fn has_learned(&self, replicas: &[NodeId]) -> bool {
        if self.is_handover_read {
            return true;
        }
        let is_read = |replica: &&NodeId| self.progress.get(replica) == Some(&Progress::Complete);
        let read = replicas.iter().filter(is_read).count();
        read > replicas.len() - majority(replicas.len())
    }

    /// Whether every claim on all keys of this replica has been learned: so few members
    /// are unread that they and this one are not a majority for any key.
    pub fn has_learned_all(&self) -> bool {
        let members = self.progress.len() + 1;
        let replicas = members.min(REPLICAS_PER_KEY);
        let allowed_unread = majority(replicas).saturating_sub(2);
        self.is_handover_read || self.unread().count() <= allowed_unread
    }

    /// Members that have not been read completely.
    fn unread(&self) -> impl Iterator<Item = NodeId> {
        self.progress
            .iter()
            .filter(|(_, progress)| **progress != Progress::Complete)
            .map(|(member, _)| *member)
    }

    /// Once `starts_at` has come, starts to read the claims of all members from the first
    /// key.
    fn start_full_read(&mut self, now: Timestamp) {
        if now < self.starts_at || self.is_reading_all {
            return;
        }
        self.is_reading_all = true;
        self.handover_source = None;
        let begin = Progress::Reading {
            from_key: FIRST_KEY,
        };
        self.progress
            .values_mut()
            .for_each(|progress| *progress = begin);
    }

    /// Whether a page may be read. Handed-over records are read from one member only,
    /// and only before the claims of all members are read; those must be marked as
    /// settled.
    fn may_read(&mut self, now: Timestamp, from: NodeId, page: &RejoinPage) -> bool {
        if page.handed_over {
            let from_one = *self.handover_source.get_or_insert(from) == from;
            return from_one && !self.is_reading_all && !page.settled;
        }
        self.is_reading_all && page.settled && now >= self.starts_at
    }

    fn request(
        &self,
        now: Timestamp,
        member: NodeId,
        roster: RosterVersion,
    ) -> Option<ClaimMessage> {
        let Some(Progress::Reading { from_key }) = self.progress.get(&member) else {
            return None;
        };
        Some(ClaimMessage::RejoinRequest(RejoinRequest {
            incarnation: self.incarnation,
            roster,
            from_key: *from_key,
            settled: self.is_reading_all && now >= self.starts_at,
        }))
    }

    /// The index of the member to ask first, which changes each time so that members that
    /// do not answer do not block others.
    fn rotation(&mut self, members: usize) -> usize {
        self.turn = self.turn.wrapping_add(MAX_READS_AT_ONCE);
        self.turn.checked_rem(members).unwrap_or(0)
    }
}
