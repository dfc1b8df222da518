//! A replica that stops as planned hands its records to another member, from
//! which the process that replaces it takes them over and votes at once.
//!
//! Safety rests on three rules. The stopping replica votes no more once the
//! other member is ready. The handover is valid for a short time from the moment
//! at which the other member became ready, when the stopping process was still
//! alive; a process that rejoins in the other way waits for longer than that, so
//! no later process can take over what an earlier one has outdated. And only one
//! process may take it over.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_protocol::{
    ClaimMessage, HandoverBegin, HandoverPage, HandoverReady, HandoverStored, KnownClaim, NextPage,
    RejoinPage, RejoinRequest, RosterVersion,
};
use lifthollow_state::{IdempotencyKey, Incarnation, NodeId, Timestamp};

use super::page::take_page;
use super::replica::Envelope;

/// From the announcement of a planned stop to the handover: until then the
/// replica goes on voting.
pub const HANDOVER_DELAY: Duration = Duration::from_secs(3);
/// How long the other member is waited for before the next one is asked.
const READY_TIMEOUT: Duration = Duration::from_millis(300);
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Handovers kept at once for others.
const MAX_HANDOVERS: usize = 4;

#[derive(Debug)]
enum Stage {
    Waiting,
    Asking,
    Sending { from_key: IdempotencyKey },
    Done,
}

/// The side of the replica that stops.
#[derive(Debug)]
pub struct HandoverSender {
    incarnation: Incarnation,
    roster: RosterVersion,
    /// Members to ask, the best first.
    candidates: Vec<NodeId>,
    asked: usize,
    stage: Stage,
    next_at: Timestamp,
}

impl HandoverSender {
    /// A handover of a process to the first candidate that is ready.
    pub fn new(
        now: Timestamp,
        incarnation: Incarnation,
        roster: RosterVersion,
        candidates: Vec<NodeId>,
    ) -> Self {
        HandoverSender {
            incarnation,
            roster,
            candidates,
            asked: 0,
            stage: Stage::Waiting,
            next_at: now + HANDOVER_DELAY,
        }
    }

    /// Whether the replica must not vote any more.
    pub fn is_sealed(&self) -> bool {
        matches!(self.stage, Stage::Sending { .. } | Stage::Done)
    }

    /// When [`HandoverSender::wake`] is wanted; none if nothing is left to do.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let is_over = matches!(self.stage, Stage::Done) || self.candidates.is_empty();
        (!is_over).then_some(self.next_at)
    }

    /// Asks the next member, or sends a page again.
    pub fn wake(
        &mut self,
        now: Timestamp,
        records: impl Iterator<Item = KnownClaim>,
    ) -> Option<Envelope> {
        if self.next_wake().is_none_or(|at| now < at) {
            return None;
        }
        match self.stage {
            Stage::Waiting | Stage::Asking => self.ask(now),
            Stage::Sending { from_key } => Some(self.page(now, from_key, records)),
            Stage::Done => None,
        }
    }

    /// A member is ready: from here on the replica is sealed.
    pub fn ready(&mut self, now: Timestamp, from: NodeId, ready: &HandoverReady) {
        let is_asked = Some(from) == self.receiver();
        let is_asking = matches!(self.stage, Stage::Asking);
        if is_asked && is_asking && ready.incarnation == self.incarnation {
            let from_key = IdempotencyKey(0);
            self.stage = Stage::Sending { from_key };
            self.next_at = now;
        }
    }

    /// A page was stored.
    pub fn stored(&mut self, now: Timestamp, from: NodeId, stored: &HandoverStored) {
        let Stage::Sending { from_key } = self.stage else {
            return;
        };
        let is_expected = stored.from_key == from_key && stored.incarnation == self.incarnation;
        if Some(from) != self.receiver() || !is_expected {
            return;
        }
        self.next_at = now;
        self.stage = match stored.next {
            Some(NextPage(from_key)) => Stage::Sending { from_key },
            None => Stage::Done,
        };
    }

    fn receiver(&self) -> Option<NodeId> {
        let index = self.asked.checked_sub(1)?;
        let count = self.candidates.len();
        self.candidates.get(index.checked_rem(count)?).copied()
    }

    fn ask(&mut self, now: Timestamp) -> Option<Envelope> {
        self.asked += 1;
        self.stage = Stage::Asking;
        self.next_at = now + READY_TIMEOUT;
        let begin = HandoverBegin {
            incarnation: self.incarnation,
            roster: self.roster,
        };
        Some(Envelope {
            to: self.receiver()?,
            message: ClaimMessage::HandoverBegin(begin),
        })
    }

    fn page(
        &mut self,
        now: Timestamp,
        from_key: IdempotencyKey,
        records: impl Iterator<Item = KnownClaim>,
    ) -> Envelope {
        self.next_at = now + RESEND_INTERVAL;
        let wanted = records.skip_while(|claim| claim.key < from_key);
        let (claims, next) = take_page(wanted);
        let page = HandoverPage {
            incarnation: self.incarnation,
            from_key,
            claims,
            next,
        };
        Envelope {
            to: self.receiver().unwrap_or_else(|| NodeId::from_u64(0)),
            message: ClaimMessage::HandoverPage(page),
        }
    }
}

#[derive(Debug)]
struct Handover {
    incarnation: Incarnation,
    roster: RosterVersion,
    valid_until: Timestamp,
    claims: BTreeMap<IdempotencyKey, KnownClaim>,
    expected: Option<IdempotencyKey>,
    taken_by: Option<Incarnation>,
}

/// Records kept for members that stopped.
#[derive(Debug, Default)]
pub struct Handovers {
    kept: BTreeMap<NodeId, Handover>,
}

impl Handovers {
    /// A member wants to hand over; its records are kept until `valid_until`.
    pub fn begin(
        &mut self,
        now: Timestamp,
        from: NodeId,
        begin: &HandoverBegin,
        valid_until: Timestamp,
    ) -> Option<ClaimMessage> {
        self.kept.retain(|_, handover| now < handover.valid_until);
        if let Some(known) = self.kept.get(&from)
            && known.incarnation >= begin.incarnation
        {
            return None;
        }
        if self.kept.len() >= MAX_HANDOVERS {
            return None;
        }
        let incarnation = begin.incarnation;
        let handover = Handover {
            incarnation,
            roster: begin.roster,
            valid_until,
            claims: BTreeMap::new(),
            expected: Some(IdempotencyKey(0)),
            taken_by: None,
        };
        self.kept.insert(from, handover);
        Some(ClaimMessage::HandoverReady(HandoverReady { incarnation }))
    }

    /// Stores a page; a page that was stored before is confirmed again.
    pub fn page(
        &mut self,
        now: Timestamp,
        from: NodeId,
        page: HandoverPage,
    ) -> Option<ClaimMessage> {
        let handover = self.kept.get_mut(&from)?;
        if handover.incarnation != page.incarnation || now >= handover.valid_until {
            return None;
        }
        let next = page.next;
        if handover.expected == Some(page.from_key) {
            handover.expected = next.map(|next| next.0);
            let claims = page.claims.into_iter();
            handover
                .claims
                .extend(claims.map(|claim| (claim.key, claim)));
        }
        Some(ClaimMessage::HandoverStored(HandoverStored {
            incarnation: page.incarnation,
            from_key: page.from_key,
            next,
        }))
    }

    /// Gives the records of a stopped process to the one that replaces it.
    pub fn take_over(
        &mut self,
        now: Timestamp,
        from: NodeId,
        request: &RejoinRequest,
    ) -> Option<ClaimMessage> {
        let handover = self.kept.get_mut(&from)?;
        let is_complete = handover.expected.is_none() && now < handover.valid_until;
        let is_successor =
            request.incarnation > handover.incarnation && request.roster == handover.roster;
        let taker = *handover.taken_by.get_or_insert(request.incarnation);
        if !is_complete || !is_successor || taker != request.incarnation {
            self.kept.remove(&from);
            return None;
        }
        let wanted = handover.claims.range(request.from_key..);
        let (claims, next) = take_page(wanted.map(|(_, claim)| claim.clone()));
        Some(ClaimMessage::RejoinPage(RejoinPage {
            incarnation: request.incarnation,
            roster: request.roster,
            from_key: request.from_key,
            claims,
            next,
            settled: request.settled,
            handed_over: true,
        }))
    }
}
