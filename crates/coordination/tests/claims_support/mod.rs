//! Simulates a few nodes with claims; messages arrive after a fixed delay unless the
//! nodes are partitioned.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use lifthollow_coordination::claims::{
    ClaimDecision, ClaimEffect, ClaimEvent, ClaimParameters, ClaimSettings, Claims, Envelope,
    RunEnd,
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

/// The roster member with this index. Members with an even index are on the old side;
/// each is in a zone of its own.
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

/// Simulated nodes, the messages in flight between them and a common clock.
pub struct TestFleet {
    pub now: Timestamp,
    pub claims: Vec<Claims>,
    pub messages_sent: usize,
    decisions: BTreeMap<(usize, InboundId), ClaimDecision>,
    in_flight: VecDeque<(Timestamp, NodeId, Envelope)>,
    partition: BTreeSet<(usize, usize)>,
    paused: BTreeSet<usize>,
    next_id: u64,
}

impl TestFleet {
    /// Creates a fleet in which nodes 0 to 4 form the roster and vote immediately.
    pub fn new() -> Self {
        let initial_roster = roster(1, &[0, 1, 2, 3, 4], &[]);
        let claims =
            (0..NODES).map(|index| start_claims(index, 1, &initial_roster, true, Timestamp::ZERO));
        TestFleet {
            now: Timestamp::from_micros(1_000_000),
            claims: claims.collect(),
            messages_sent: 0,
            decisions: BTreeMap::new(),
            in_flight: VecDeque::new(),
            partition: BTreeSet::new(),
            paused: BTreeSet::new(),
            next_id: 0,
        }
    }

    /// Starts the claim of a call on a node; it is decided once time advances.
    pub fn start_call(&mut self, index: usize, key: IdempotencyKey, body_digest: u64) -> InboundId {
        self.next_id += 1;
        let id = InboundId(self.next_id);
        let parameters = ClaimParameters {
            key,
            body_digest,
            deadline: self.now + CALL_DEADLINE,
        };
        self.handle(index, ClaimEvent::ClaimRequested { id, parameters });
        id
    }

    /// Claims a call with [`KEY`] on a node and returns the decision.
    pub fn call(&mut self, index: usize, body_digest: u64) -> (InboundId, ClaimDecision) {
        let id = self.start_call(index, KEY, body_digest);
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

    /// Replaces the processes of nodes by ones without records.
    pub fn replace(&mut self, indexes: &[usize]) {
        for index in indexes {
            let roster = self.claims[*index].roster().clone();
            let incarnation = 2 + self.now.as_micros();
            self.claims[*index] = start_claims(*index, incarnation, &roster, false, self.now);
        }
    }

    /// Drops all messages between the two groups of nodes from now on.
    pub fn partition(&mut self, group: &[usize], other_group: &[usize]) {
        for one in group {
            for other in other_group {
                self.partition.insert((*one, *other));
                self.partition.insert((*other, *one));
            }
        }
    }

    pub fn heal(&mut self) {
        self.partition.clear();
    }

    /// Pauses a node; messages to it are delivered when it resumes.
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
                    let replaced = self.decisions.insert((index, id), decision);
                    assert!(replaced.is_none(), "a call is decided once");
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
            } else if !self.partition.contains(&(sender, to)) {
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

    /// Delivers a message to node `to` as if node `from` had sent it.
    pub fn inject(&mut self, to: usize, from: usize, message: ClaimMessage) {
        let from = node(from);
        self.handle(to, ClaimEvent::Received { from, message });
    }
}

fn start_claims(
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
