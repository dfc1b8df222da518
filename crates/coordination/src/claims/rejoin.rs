//! How a replaced replica learns what its predecessor may have voted for.
//!
//! A claim counts votes only within its start window. Once that time has passed
//! since the replica's start, each claim that counted the predecessor's vote has
//! its majority, and all other members of it know the claim. The replica then
//! reads the claims of the other members. For a key whose other replicas it has
//! read from, up to so few that they and itself are no majority, it has learned
//! every claim that can have been granted.
//!
//! Before that time the replica asks whether a member keeps the records of the
//! process before, which has then handed them over (see [`super::handover`]).
//!
//! Only a member that has learned every claim of all its own keys answers.
//! Otherwise replicas that were replaced together would inform each other of
//! nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_protocol::{ClaimMessage, RejoinPage, RejoinRequest, RosterVersion};
use lifthollow_state::{IdempotencyKey, Incarnation, NodeId, Timestamp};

use super::roster::{REPLICAS_PER_KEY, majority};

const FIRST_KEY: IdempotencyKey = IdempotencyKey(0);
const MIN_RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// The interval doubles up to this while nobody answers.
const MAX_RESEND_INTERVAL: Duration = Duration::from_millis(3_200);
/// Members read from at the same time.
const MAX_READS_AT_ONCE: usize = 8;

/// What has been read from one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Reading { from_key: IdempotencyKey },
    Complete,
}

/// Reading of other members' claims after a start.
#[derive(Debug)]
pub struct Rejoin {
    incarnation: Incarnation,
    starts_at: Timestamp,
    resend_at: Timestamp,
    resend_interval: Duration,
    turn: usize,
    /// The member from which handed over records are read.
    took_over: Option<NodeId>,
    /// All handed over records have been read.
    is_complete: bool,
    /// Everything has settled and the claims of all members are read.
    is_reading: bool,
    progress: BTreeMap<NodeId, Progress>,
}

impl Rejoin {
    /// Reads from `members`; before `starts_at` only what was handed over.
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
            took_over: None,
            is_complete: false,
            is_reading: false,
            resend_interval: MIN_RESEND_INTERVAL,
            turn: 0,
            progress: others.map(|member| (member, begin)).collect(),
        }
    }

    /// When [`Rejoin::wake`] is wanted; none if all is read.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let is_read = self.is_complete || self.unread().next().is_none();
        (!is_read).then_some(self.resend_at)
    }

    /// Asks members that have not answered.
    pub fn wake(&mut self, now: Timestamp, roster: RosterVersion) -> Vec<(NodeId, ClaimMessage)> {
        if self.next_wake().is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.begin_reading(now);
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

    /// Takes in a page and returns the request for the next one.
    pub fn page_arrived(
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
        self.is_complete |= page.handed_over && progress == Progress::Complete;
        self.resend_interval = MIN_RESEND_INTERVAL;
        self.request(now, from, page.roster)
    }

    /// Whether every claim of a key with these replicas has been learned.
    pub fn has_learned(&self, replicas: &[NodeId]) -> bool {
        if self.is_complete {
            return true;
        }
        let is_read = |replica: &&NodeId| self.progress.get(replica) == Some(&Progress::Complete);
        let read = replicas.iter().filter(is_read).count();
        read > replicas.len() - majority(replicas.len())
    }

    /// Whether every claim of all keys of this replica has been learned: so few
    /// members are unread that they and this one are a majority of no key.
    pub fn has_learned_all(&self) -> bool {
        let members = self.progress.len() + 1;
        let replicas = members.min(REPLICAS_PER_KEY);
        let may_miss = majority(replicas).saturating_sub(2);
        self.is_complete || self.unread().count() <= may_miss
    }

    /// Members that have not been read to the end.
    fn unread(&self) -> impl Iterator<Item = NodeId> {
        self.progress
            .iter()
            .filter(|(_, progress)| **progress != Progress::Complete)
            .map(|(member, _)| *member)
    }

    /// From here on the claims of all members are read, from their beginning.
    fn begin_reading(&mut self, now: Timestamp) {
        if now < self.starts_at || self.is_reading {
            return;
        }
        self.is_reading = true;
        self.took_over = None;
        let begin = Progress::Reading {
            from_key: FIRST_KEY,
        };
        self.progress
            .values_mut()
            .for_each(|progress| *progress = begin);
    }

    /// Handed over records are read from one member, and only until the claims
    /// of all members are read; those are read as settled.
    fn may_read(&mut self, now: Timestamp, from: NodeId, page: &RejoinPage) -> bool {
        if page.handed_over {
            let from_one = *self.took_over.get_or_insert(from) == from;
            return from_one && !self.is_reading && !page.settled;
        }
        self.is_reading && page.settled && now >= self.starts_at
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
            settled: self.is_reading && now >= self.starts_at,
        }))
    }

    /// Starts with another member each time, so that silent ones block nobody.
    fn rotation(&mut self, members: usize) -> usize {
        self.turn = self.turn.wrapping_add(MAX_READS_AT_ONCE);
        self.turn.checked_rem(members).unwrap_or(0)
    }
}
