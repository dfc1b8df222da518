//! A few nodes with claims, whose messages arrive after a fixed delay unless cut.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use lifthollow_coordination::claims::{
    ClaimDecision, ClaimEffect, ClaimEvent, ClaimSettings, ClaimWanted, Claims, Envelope, RunEnd,
};
use lifthollow_coordination::inbound::InboundId;
use lifthollow_protocol::{
    AttemptResult, ClaimMessage, RecordedAnswer, RecordedOutcome, RefusalReason, Roster,
    RosterMember,
};
use lifthollow_state::{IdempotencyKey, Incarnation, NodeId, Side, Timestamp, Zone};

pub const NODES: usize = 7;
pub const KEY: IdempotencyKey = IdempotencyKey(7);
pub const BODY: u64 = 1;
pub const OTHER_BODY: u64 = 2;

const STEP: Duration = Duration::from_millis(1);
const CALL_DEADLINE: Duration = Duration::from_secs(10);

pub fn node(index: usize) -> NodeId {
    NodeId::from_u64(100 + index as u64)
}

/// Even nodes are on the old side; each has a zone of its own.
pub fn member(index: usize) -> RosterMember {
    RosterMember {
        node: node(index),
        side: Side::ALL[index % 2],
        zone: Zone(index as u16),
    }
}

pub fn roster(epoch: u32, members: &[usize], previous: &[usize]) -> Roster {
    let all = |indexes: &[usize]| indexes.iter().map(|index| member(*index)).collect();
    Roster {
        epoch,
        members: all(members),
        previous: all(previous),
    }
}

pub fn answer(text: &str) -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: text.as_bytes().to_vec(),
    }
}

pub fn completed(text: &str) -> RunEnd {
    RunEnd::Ended(RecordedOutcome::Completed(answer(text)))
}

pub fn reason_of(decision: &ClaimDecision) -> Option<RefusalReason> {
    match decision {
        ClaimDecision::Refused(AttemptResult::NotRun { reason, .. }) => Some(*reason),
        ClaimDecision::Refused(AttemptResult::Unknown { reason }) => Some(*reason),
        _ => None,
    }
}

pub fn is_unknown(decision: &ClaimDecision) -> bool {
    matches!(
        decision,
        ClaimDecision::Refused(AttemptResult::Unknown { .. })
    )
}

pub fn is_granted(decision: &ClaimDecision) -> bool {
    matches!(decision, ClaimDecision::Granted { .. })
}

/// The nodes, the messages between them and a common clock.
pub struct TestFleet {
    pub now: Timestamp,
    pub claims: Vec<Claims>,
    pub messages_sent: usize,
    decisions: BTreeMap<(usize, InboundId), ClaimDecision>,
    in_flight: VecDeque<(Timestamp, NodeId, Envelope)>,
    cut: BTreeSet<(usize, usize)>,
    paused: BTreeSet<usize>,
    next_id: u64,
}

impl TestFleet {
    /// Nodes 0 to 4 are the roster and have run for long.
    pub fn new() -> Self {
        let first = roster(1, &[0, 1, 2, 3, 4], &[]);
        let claims = (0..NODES).map(|index| start(index, 1, &first, true, Timestamp::ZERO));
        TestFleet {
            now: Timestamp::from_micros(1_000_000),
            claims: claims.collect(),
            messages_sent: 0,
            decisions: BTreeMap::new(),
            in_flight: VecDeque::new(),
            cut: BTreeSet::new(),
            paused: BTreeSet::new(),
            next_id: 0,
        }
    }

    /// A call at a node; not decided before time passes.
    pub fn want(&mut self, index: usize, key: IdempotencyKey, body_digest: u64) -> InboundId {
        self.next_id += 1;
        let id = InboundId(self.next_id);
        let wanted = ClaimWanted {
            key,
            body_digest,
            deadline: self.now + CALL_DEADLINE,
        };
        self.handle(index, ClaimEvent::Wanted { id, wanted });
        id
    }

    /// A call at a node, decided.
    pub fn call(&mut self, index: usize, body_digest: u64) -> (InboundId, ClaimDecision) {
        let id = self.want(index, KEY, body_digest);
        self.advance(Duration::from_millis(600));
        (id, self.decision(index, id))
    }

    pub fn decision(&self, index: usize, id: InboundId) -> ClaimDecision {
        self.decisions[&(index, id)].clone()
    }

    pub fn is_decided(&self, index: usize, id: InboundId) -> bool {
        self.decisions.contains_key(&(index, id))
    }

    pub fn end(&mut self, index: usize, id: InboundId, end: RunEnd) {
        self.handle(index, ClaimEvent::RunEnded { id, end });
        self.advance(Duration::from_millis(10));
    }

    /// Replaces the processes of nodes by ones that remember nothing.
    pub fn replace(&mut self, indexes: &[usize]) {
        for index in indexes {
            let roster = self.claims[*index].roster().clone();
            let incarnation = 2 + self.now.as_micros();
            self.claims[*index] = start(*index, incarnation, &roster, false, self.now);
        }
    }

    /// No message passes between the two groups any more.
    pub fn cut(&mut self, some: &[usize], others: &[usize]) {
        for one in some {
            for other in others {
                self.cut.insert((*one, *other));
                self.cut.insert((*other, *one));
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// A paused node handles nothing; what arrives waits.
    pub fn pause(&mut self, index: usize) {
        self.paused.insert(index);
    }

    pub fn resume(&mut self, index: usize) {
        self.paused.remove(&index);
    }

    pub fn handle(&mut self, index: usize, event: ClaimEvent) {
        let mut effects = Vec::new();
        self.claims[index].handle(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                ClaimEffect::Send(envelope) => self.send(index, envelope),
                ClaimEffect::Decided { id, decision } => {
                    let earlier = self.decisions.insert((index, id), decision);
                    assert!(earlier.is_none(), "a call is decided once");
                }
            }
        }
    }

    pub fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now = self.now + STEP;
            self.deliver();
            self.wake();
        }
    }

    fn send(&mut self, from: usize, envelope: Envelope) {
        self.messages_sent += 1;
        let at = self.now + STEP;
        self.in_flight.push_back((at, node(from), envelope));
    }

    fn deliver(&mut self) {
        for _ in 0..self.in_flight.len() {
            let Some((at, from, envelope)) = self.in_flight.pop_front() else {
                return;
            };
            let to = (envelope.to.as_u64() - 100) as usize;
            let sender = (from.as_u64() - 100) as usize;
            if at > self.now || self.paused.contains(&to) {
                self.in_flight.push_back((at, from, envelope));
            } else if !self.cut.contains(&(sender, to)) {
                let message = envelope.message;
                self.handle(to, ClaimEvent::Received { from, message });
            }
        }
    }

    fn wake(&mut self) {
        for index in 0..NODES {
            let next = self.claims[index].next_wake();
            let is_due = next.is_some_and(|at| at <= self.now);
            if is_due && !self.paused.contains(&index) {
                self.handle(index, ClaimEvent::Wake);
            }
        }
    }

    /// Hands a message to a node as if another had sent it.
    pub fn inject(&mut self, to: usize, from: usize, message: ClaimMessage) {
        let from = node(from);
        self.handle(to, ClaimEvent::Received { from, message });
    }
}

fn start(
    index: usize,
    incarnation: u64,
    roster: &Roster,
    bootstrap: bool,
    now: Timestamp,
) -> Claims {
    let incarnation = Incarnation(incarnation);
    let settings = ClaimSettings::new(node(index), incarnation, roster.clone(), index as u64);
    Claims::new(
        now,
        ClaimSettings {
            bootstrap,
            ..settings
        },
    )
}
