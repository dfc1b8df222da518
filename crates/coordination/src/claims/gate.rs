//! The step between admission and run: an admitted attempt with an idempotency
//! key is run only under a claim.

use std::collections::BTreeMap;

use lifthollow_protocol::{AttemptResult, ClaimMessage, RecordedAnswer, RecordedOutcome};
use lifthollow_state::{IdempotencyKey, NodeId, Timestamp};

use super::{
    ClaimDecision, ClaimEffect, ClaimEvent, ClaimSettings, ClaimWanted, Claims, Envelope,
    KeyReport, RunEnd,
};
use crate::inbound::{Attempt, InboundEffect, InboundEvent, InboundId, RunResult};

/// What the gate wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GateEffect {
    /// Send a message to another node.
    Send(Envelope),
    /// Carry out an inbound effect.
    Inbound(InboundEffect),
    /// An admitted attempt is not run: its place at the back end is free.
    NotRun {
        /// The attempt.
        id: InboundId,
    },
}

/// Where an attempt with a key stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Not admitted yet.
    Waiting,
    /// Admitted; its claim is not decided.
    Claiming { deadline: Timestamp },
    /// Being run, or about to be.
    Running { end: RunEnd },
}

#[derive(Clone, Debug)]
struct KeyedAttempt {
    key: IdempotencyKey,
    body_digest: u64,
    phase: Phase,
}

/// The claims of a node as seen by its inbound side.
#[derive(Debug)]
pub struct ClaimGate {
    settings: ClaimSettings,
    /// Made at the first event, since settings tell no time.
    claims: Option<Claims>,
    attempts: BTreeMap<InboundId, KeyedAttempt>,
}

impl ClaimGate {
    /// A gate that has seen nothing yet.
    pub fn new(settings: ClaimSettings) -> Self {
        ClaimGate {
            settings,
            claims: None,
            attempts: BTreeMap::new(),
        }
    }

    /// What this node's replica knows of a key; none before the first event.
    pub fn report(&self, now: Timestamp, key: IdempotencyKey) -> Option<KeyReport> {
        Some(self.claims.as_ref()?.report(now, key))
    }

    /// Whether records are yet to be handed over before a planned stop.
    pub fn is_handing_over(&self) -> bool {
        let claims = self.claims.as_ref();
        claims.is_some_and(|claims| claims.replica().is_handing_over())
    }

    /// When [`ClaimGate::wake`] is wanted next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.claims.as_ref()?.next_wake()
    }

    /// Sends again, gives up and forgets what is due.
    pub fn wake(&mut self, now: Timestamp) -> Vec<GateEffect> {
        self.claim_event(now, ClaimEvent::Wake)
    }

    /// Takes in a message from another node.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: ClaimMessage,
    ) -> Vec<GateEffect> {
        self.claim_event(now, ClaimEvent::Received { from, message })
    }

    /// Takes in an inbound event, before it is decided on.
    pub fn observe(&mut self, now: Timestamp, event: &InboundEvent) -> Vec<GateEffect> {
        match event {
            InboundEvent::AttemptArrived { id, attempt } => self.arrived(*id, attempt),
            InboundEvent::RunAnswered { id, result } => self.run_answered(*id, *result),
            InboundEvent::AnswerRecorded { id, outcome } => {
                self.set_end(*id, RunEnd::Ended(outcome.clone()));
            }
            InboundEvent::RunClosed { id } => return self.run_closed(now, *id),
            InboundEvent::AttemptCancelled { id } => return self.cancelled(now, *id),
            InboundEvent::Leave => return self.claim_event(now, ClaimEvent::Leave),
            InboundEvent::Resumed { .. } => return self.claim_event(now, ClaimEvent::Resumed),
            InboundEvent::HealthReported { .. } | InboundEvent::Wake => {}
        }
        Vec::new()
    }

    /// Lets an inbound decision pass, except for the run of an attempt with a
    /// key, which is claimed first.
    pub fn filter(&mut self, now: Timestamp, effect: InboundEffect) -> Vec<GateEffect> {
        if let InboundEffect::Run { id, deadline } = effect
            && self.attempts.contains_key(&id)
        {
            return self.claim(now, id, deadline);
        }
        if let InboundEffect::Answer { id, .. } = effect
            && self.is_waiting(id)
        {
            self.attempts.remove(&id);
        }
        vec![GateEffect::Inbound(effect)]
    }

    fn arrived(&mut self, id: InboundId, attempt: &Attempt) {
        let Some(key) = attempt.context.idempotency_key else {
            return;
        };
        let keyed = KeyedAttempt {
            key,
            body_digest: attempt.body_digest,
            phase: Phase::Waiting,
        };
        self.attempts.insert(id, keyed);
    }

    fn is_waiting(&self, id: InboundId) -> bool {
        let attempt = self.attempts.get(&id);
        attempt.is_some_and(|attempt| attempt.phase == Phase::Waiting)
    }

    fn claim(&mut self, now: Timestamp, id: InboundId, deadline: Timestamp) -> Vec<GateEffect> {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return Vec::new();
        };
        attempt.phase = Phase::Claiming { deadline };
        let wanted = ClaimWanted {
            key: attempt.key,
            body_digest: attempt.body_digest,
            deadline,
        };
        self.claim_event(now, ClaimEvent::Wanted { id, wanted })
    }

    fn run_answered(&mut self, id: InboundId, result: RunResult) {
        if let RunResult::Refused { .. } = result {
            self.set_end(id, RunEnd::NotStarted);
        }
    }

    fn set_end(&mut self, id: InboundId, known_end: RunEnd) {
        if let Some(attempt) = self.attempts.get_mut(&id)
            && let Phase::Running { end } = &mut attempt.phase
        {
            *end = known_end;
        }
    }

    fn run_closed(&mut self, now: Timestamp, id: InboundId) -> Vec<GateEffect> {
        match self.attempts.remove(&id).map(|attempt| attempt.phase) {
            Some(Phase::Running { end }) => self.claim_event(now, ClaimEvent::RunEnded { id, end }),
            _ => Vec::new(),
        }
    }

    fn cancelled(&mut self, now: Timestamp, id: InboundId) -> Vec<GateEffect> {
        match self.attempts.get(&id).map(|attempt| &attempt.phase) {
            Some(Phase::Waiting) => {
                self.attempts.remove(&id);
                Vec::new()
            }
            Some(Phase::Claiming { .. }) => {
                self.attempts.remove(&id);
                let mut effects = self.claim_event(now, ClaimEvent::Abandoned { id });
                effects.push(GateEffect::NotRun { id });
                effects
            }
            Some(Phase::Running { .. }) | None => Vec::new(),
        }
    }

    fn claim_event(&mut self, now: Timestamp, event: ClaimEvent) -> Vec<GateEffect> {
        let settings = &self.settings;
        let claims = self
            .claims
            .get_or_insert_with(|| Claims::new(now, settings.clone()));
        let mut claim_effects = Vec::new();
        claims.handle(now, event, &mut claim_effects);
        claim_effects
            .into_iter()
            .flat_map(|effect| self.gate_effects(effect))
            .collect()
    }

    fn gate_effects(&mut self, effect: ClaimEffect) -> Vec<GateEffect> {
        match effect {
            ClaimEffect::Send(envelope) => vec![GateEffect::Send(envelope)],
            ClaimEffect::Decided { id, decision } => self.decided(id, decision),
        }
    }

    fn decided(&mut self, id: InboundId, decision: ClaimDecision) -> Vec<GateEffect> {
        match decision {
            ClaimDecision::Granted { start_before } => self.granted(id, start_before),
            ClaimDecision::Replay(answer) => self.not_run(InboundEffect::Replay { id, answer }, id),
            ClaimDecision::Refused(result) => {
                self.not_run(InboundEffect::Answer { id, result }, id)
            }
        }
    }

    /// Until the run's end is known, it counts as started and its answer as lost.
    fn granted(&mut self, id: InboundId, start_before: Timestamp) -> Vec<GateEffect> {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return Vec::new();
        };
        let Phase::Claiming { deadline } = attempt.phase else {
            return Vec::new();
        };
        attempt.phase = Phase::Running {
            end: RunEnd::Ended(RecordedOutcome::AnswerLost),
        };
        vec![GateEffect::Inbound(InboundEffect::RunClaimed {
            id,
            deadline,
            start_before,
        })]
    }

    fn not_run(&mut self, answer: InboundEffect, id: InboundId) -> Vec<GateEffect> {
        self.attempts.remove(&id);
        vec![GateEffect::Inbound(answer), GateEffect::NotRun { id }]
    }
}

/// How a recorded answer is reported to the caller's node.
pub fn replay_result(answer: &RecordedAnswer) -> AttemptResult {
    const FIRST_SERVER_ERROR: u16 = 500;
    AttemptResult::Completed {
        success: answer.status < FIRST_SERVER_ERROR,
    }
}
