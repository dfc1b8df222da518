//! The step between admission and run: an admitted attempt with an idempotency
//! key is run only under a claim.

use std::collections::BTreeMap;

use lifthollow_protocol::{AttemptResult, ClaimMessage, RecordedAnswer, RecordedOutcome};
use lifthollow_state::{IdempotencyKey, NodeId, Timestamp};

use super::{
    ClaimDecision, ClaimEffect, ClaimEvent, ClaimParameters, ClaimSettings, Claims, Envelope,
    KeyReport, RunEnd,
};
use crate::inbound::{Attempt, InboundEffect, InboundEvent, InboundId, RunResult};

/// Actions that the caller must carry out for the gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GateEffect {
    /// Send a message to another node.
    Send(Envelope),
    /// Carry out an effect of the inbound side.
    Inbound(InboundEffect),
    /// An admitted attempt does not run: free its slot at the back end.
    NotRun {
        /// The attempt that does not run.
        id: InboundId,
    },
}

/// Progress of an attempt with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The attempt is not admitted yet.
    Waiting,
    /// The attempt is admitted and its claim is not decided.
    Claiming { deadline: Timestamp },
    /// The claim is granted and the attempt runs or is about to run.
    Running { end: RunEnd },
}

#[derive(Clone, Debug)]
struct KeyedAttempt {
    key: IdempotencyKey,
    body_digest: u64,
    phase: Phase,
}

/// Connects the inbound side of a node with its claims.
#[derive(Debug)]
pub struct ClaimGate {
    settings: ClaimSettings,
    /// Created at the first event, because the start time is not known before.
    claims: Option<Claims>,
    attempts: BTreeMap<InboundId, KeyedAttempt>,
}

impl ClaimGate {
    /// Creates a gate that has not handled any event.
    pub fn new(settings: ClaimSettings) -> Self {
        ClaimGate {
            settings,
            claims: None,
            attempts: BTreeMap::new(),
        }
    }

    /// Reports the record of this node's replica for a key; `None` before the first event.
    pub fn report(&self, now: Timestamp, key: IdempotencyKey) -> Option<KeyReport> {
        Some(self.claims.as_ref()?.report(now, key))
    }

    /// Whether a planned stop must still wait for the handover of records.
    pub fn is_handing_over(&self) -> bool {
        let claims = self.claims.as_ref();
        claims.is_some_and(|claims| claims.replica().is_handing_over())
    }

    /// When [`ClaimGate::wake`] must be called next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.claims.as_ref()?.next_wake()
    }

    /// Handles all due resends, timeouts and expiries of the claims.
    pub fn wake(&mut self, now: Timestamp) -> Vec<GateEffect> {
        self.apply_event(now, ClaimEvent::Wake)
    }

    /// Handles a message from another node.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: ClaimMessage,
    ) -> Vec<GateEffect> {
        self.apply_event(now, ClaimEvent::Received { from, message })
    }

    /// Observes an inbound event before the inbound side handles it.
    pub fn observe_inbound_event(
        &mut self,
        now: Timestamp,
        event: &InboundEvent,
    ) -> Vec<GateEffect> {
        match event {
            InboundEvent::AttemptArrived { id, attempt } => self.register_attempt(*id, attempt),
            InboundEvent::RunAnswered { id, result } => self.handle_run_answer(*id, *result),
            InboundEvent::AnswerRecorded { id, outcome } => {
                self.record_end(*id, RunEnd::Ended(outcome.clone()));
            }
            InboundEvent::RunClosed { id } => return self.handle_run_closed(now, *id),
            InboundEvent::AttemptCancelled { id } => return self.handle_cancellation(now, *id),
            InboundEvent::Leave => return self.apply_event(now, ClaimEvent::Leave),
            InboundEvent::Resumed { .. } => return self.apply_event(now, ClaimEvent::Resumed),
            InboundEvent::HealthReported { .. } | InboundEvent::Wake => {}
        }
        Vec::new()
    }

    /// Passes on an effect of the inbound side, except for the run of an attempt with a
    /// key: this is claimed first.
    pub fn filter_effect(&mut self, now: Timestamp, effect: InboundEffect) -> Vec<GateEffect> {
        if let InboundEffect::Run { id, deadline } = effect
            && self.attempts.contains_key(&id)
        {
            return self.request_claim(now, id, deadline);
        }
        if let InboundEffect::Answer { id, .. } = effect
            && self.is_waiting(id)
        {
            self.attempts.remove(&id);
        }
        vec![GateEffect::Inbound(effect)]
    }

    fn register_attempt(&mut self, id: InboundId, attempt: &Attempt) {
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

    fn request_claim(
        &mut self,
        now: Timestamp,
        id: InboundId,
        deadline: Timestamp,
    ) -> Vec<GateEffect> {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return Vec::new();
        };
        attempt.phase = Phase::Claiming { deadline };
        let parameters = ClaimParameters {
            key: attempt.key,
            body_digest: attempt.body_digest,
            deadline,
        };
        self.apply_event(now, ClaimEvent::ClaimRequested { id, parameters })
    }

    fn handle_run_answer(&mut self, id: InboundId, result: RunResult) {
        if let RunResult::Refused { .. } = result {
            self.record_end(id, RunEnd::NotStarted);
        }
    }

    fn record_end(&mut self, id: InboundId, known_end: RunEnd) {
        if let Some(attempt) = self.attempts.get_mut(&id)
            && let Phase::Running { end } = &mut attempt.phase
        {
            *end = known_end;
        }
    }

    fn handle_run_closed(&mut self, now: Timestamp, id: InboundId) -> Vec<GateEffect> {
        match self.attempts.remove(&id).map(|attempt| attempt.phase) {
            Some(Phase::Running { end }) => self.apply_event(now, ClaimEvent::RunEnded { id, end }),
            _ => Vec::new(),
        }
    }

    fn handle_cancellation(&mut self, now: Timestamp, id: InboundId) -> Vec<GateEffect> {
        match self.attempts.get(&id).map(|attempt| &attempt.phase) {
            Some(Phase::Waiting) => {
                self.attempts.remove(&id);
                Vec::new()
            }
            Some(Phase::Claiming { .. }) => {
                self.attempts.remove(&id);
                let mut effects = self.apply_event(now, ClaimEvent::Abandoned { id });
                effects.push(GateEffect::NotRun { id });
                effects
            }
            Some(Phase::Running { .. }) | None => Vec::new(),
        }
    }

    fn apply_event(&mut self, now: Timestamp, event: ClaimEvent) -> Vec<GateEffect> {
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
            ClaimEffect::Decided { id, decision } => self.apply_decision(id, decision),
        }
    }

    fn apply_decision(&mut self, id: InboundId, decision: ClaimDecision) -> Vec<GateEffect> {
        match decision {
            ClaimDecision::Granted { start_before } => self.start_run(id, start_before),
            ClaimDecision::Replay(answer) => self.respond(InboundEffect::Replay { id, answer }, id),
            ClaimDecision::Refused(result) => {
                self.respond(InboundEffect::Answer { id, result }, id)
            }
        }
    }

    /// Starts the run of an attempt whose claim is granted. Until the end of the run is
    /// known, it counts as started and its answer as lost.
    fn start_run(&mut self, id: InboundId, start_before: Timestamp) -> Vec<GateEffect> {
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

    fn respond(&mut self, answer: InboundEffect, id: InboundId) -> Vec<GateEffect> {
        self.attempts.remove(&id);
        vec![GateEffect::Inbound(answer), GateEffect::NotRun { id }]
    }
}

/// The result that is reported to the caller's node for a recorded answer.
pub fn replay_result(answer: &RecordedAnswer) -> AttemptResult {
    const FIRST_SERVER_ERROR: u16 = 500;
    AttemptResult::Completed {
        success: answer.status < FIRST_SERVER_ERROR,
    }
}
