//! Handover of records at a planned stop: the stopping replica sends its records to
//! another member. The process that replaces it reads them there and votes immediately.
//!
//! Three rules make this safe:
//!
//! - The stopping replica does not vote any more once the other member is ready.
//! - The handover is valid for a short time from the moment at which the other member
//!   became ready, when the stopping process was still running. A process that rejoins
//!   without a handover waits for longer than that, so no later process can read records
//!   that are outdated by votes of an earlier one.
//! - Only one process may read the records of a handover.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_protocol::{
    ClaimMessage, HandoverBegin, HandoverPage, HandoverReady, HandoverStored, KnownClaim, NextPage,
    RejoinPage, RejoinRequest, RosterVersion,
};
use lifthollow_state::{IdempotencyKey, Incarnation, NodeId, Timestamp};

use super::page::take_page;
use super::replica::Envelope;

/// Time from the announcement of a planned stop to the handover, during which the
/// replica still votes.
pub const HANDOVER_DELAY: Duration = Duration::from_secs(3);
/// Time to wait for the answer of a member before the next one is asked.
const READY_TIMEOUT: Duration = Duration::from_millis(300);
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of handovers of other members that are stored at once.
const MAX_HANDOVERS: usize = 4;

#[derive(Debug)]
enum Stage {
    Waiting,
    Asking,
    Sending { from_key: IdempotencyKey },
    Done,
}

/// The handover as seen by the replica that stops.
#[derive(Debug)]
pub struct HandoverSender {
    incarnation: Incarnation,
    roster: RosterVersion,
    /// Members that are asked to store the records, the most suitable first.
    candidates: Vec<NodeId>,
    asked: usize,
    stage: Stage,
    next_send_at: Timestamp,
}

impl HandoverSender {
    /// Starts a handover to the first candidate that is ready.
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
            next_send_at: now + HANDOVER_DELAY,
        }
    }

    /// Whether the replica must not vote any more, because a member is ready.
    pub fn is_sealed(&self) -> bool {
        matches!(self.stage, Stage::Sending { .. } | Stage::Done)
    }

    /// When [`HandoverSender::wake`] must be called next; `None` if the handover is done
    /// or has no candidates.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let is_over = matches!(self.stage, Stage::Done) || self.candidates.is_empty();
        (!is_over).then_some(self.next_send_at)
    }

    /// Asks the next member, or sends the current page.
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
            Stage::Sending { from_key } => Some(self.send_page(now, from_key, records)),
            Stage::Done => None,
        }
    }

    /// Handles the answer of a member that is ready, from which on the replica is sealed.
    pub fn handle_ready(&mut self, now: Timestamp, from: NodeId, ready: &HandoverReady) {
        let is_asked = Some(from) == self.receiver();
        let is_asking = matches!(self.stage, Stage::Asking);
        if is_asked && is_asking && ready.incarnation == self.incarnation {
            let from_key = IdempotencyKey(0);
            self.stage = Stage::Sending { from_key };
            self.next_send_at = now;
        }
    }

    /// Handles the confirmation of a stored page.
    pub fn handle_stored(&mut self, now: Timestamp, from: NodeId, stored: &HandoverStored) {
        let Stage::Sending { from_key } = self.stage else {
            return;
        };
        let is_expected = stored.from_key == from_key && stored.incarnation == self.incarnation;
        if Some(from) != self.receiver() || !is_expected {
            return;
        }
        self.next_send_at = now;
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
        self.next_send_at = now + READY_TIMEOUT;
        let begin = HandoverBegin {
            incarnation: self.incarnation,
            roster: self.roster,
        };
        Some(Envelope {
            to: self.receiver()?,
            message: ClaimMessage::HandoverBegin(begin),
        })
    }

    fn send_page(
        &mut self,
        now: Timestamp,
        from_key: IdempotencyKey,
        records: impl Iterator<Item = KnownClaim>,
    ) -> Envelope {
        self.next_send_at = now + RESEND_INTERVAL;
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
    read_by: Option<Incarnation>,
}

/// Records that are stored for members that stop.
#[derive(Debug, Default)]
pub struct Handovers {
    stored_handovers: BTreeMap<NodeId, Handover>,
}

impl Handovers {
    /// Starts to store the records of a member that stops, until `valid_until`.
    pub fn begin(
        &mut self,
        now: Timestamp,
        from: NodeId,
        begin: &HandoverBegin,
        valid_until: Timestamp,
    ) -> Option<ClaimMessage> {
        self.stored_handovers
            .retain(|_, handover| now < handover.valid_until);
        if let Some(known) = self.stored_handovers.get(&from)
            && known.incarnation >= begin.incarnation
        {
            return None;
        }
        if self.stored_handovers.len() >= MAX_HANDOVERS {
            return None;
        }
        let incarnation = begin.incarnation;
        let handover = Handover {
            incarnation,
            roster: begin.roster,
            valid_until,
            claims: BTreeMap::new(),
            expected: Some(IdempotencyKey(0)),
            read_by: None,
        };
        self.stored_handovers.insert(from, handover);
        Some(ClaimMessage::HandoverReady(HandoverReady { incarnation }))
    }

    /// Stores a page and returns the confirmation. A page that was stored before is
    /// confirmed again.
    pub fn store_page(
        &mut self,
        now: Timestamp,
        from: NodeId,
        page: HandoverPage,
    ) -> Option<ClaimMessage> {
        let handover = self.stored_handovers.get_mut(&from)?;
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

    /// Answers a request of the process that replaces a stopped one with a page of its
    /// records. If the handover is not usable for that process, it is deleted.
    pub fn answer_successor(
        &mut self,
        now: Timestamp,
        from: NodeId,
        request: &RejoinRequest,
    ) -> Option<ClaimMessage> {
        let handover = self.stored_handovers.get_mut(&from)?;
        let is_complete = handover.expected.is_none() && now < handover.valid_until;
        let is_successor =
            request.incarnation > handover.incarnation && request.roster == handover.roster;
        let reader = *handover.read_by.get_or_insert(request.incarnation);
        if !is_complete || !is_successor || reader != request.incarnation {
            self.stored_handovers.remove(&from);
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
