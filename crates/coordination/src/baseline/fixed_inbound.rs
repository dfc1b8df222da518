//! Inbound baseline policy: fixed limits or none, with a first-in first-out queue.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use lifthollow_protocol::{AdmissionLevel, AttemptResult, LoadReport, RefusalReason};
use lifthollow_state::{ServiceName, Side, Timestamp};

use crate::View;
use crate::inbound::{
    Attempt, InboundEffect, InboundEvent, InboundId, InboundPolicy, attempt_result,
};

/// Time after which refused callers are asked to call again.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Inbound policy of the baselines.
#[derive(Debug)]
pub struct FixedInbound {
    side: Side,
    limited: bool,
    leaving: bool,
    running: BTreeMap<InboundId, ServiceName>,
    queue: VecDeque<(InboundId, Attempt)>,
    answered: BTreeSet<InboundId>,
}

impl FixedInbound {
    /// Creates a policy without limits: every attempt is run on the back end at once.
    pub fn passthrough(side: Side) -> Self {
        FixedInbound::new(side, false)
    }

    /// Creates a policy that uses the table's `max_in_flight` and `max_queue` as fixed
    /// limits.
    pub fn static_limits(side: Side) -> Self {
        FixedInbound::new(side, true)
    }

    fn new(side: Side, limited: bool) -> Self {
        FixedInbound {
            side,
            limited,
            leaving: false,
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            answered: BTreeSet::new(),
        }
    }

    fn handle_arrival(
        &mut self,
        view: &View,
        id: InboundId,
        attempt: Attempt,
        effects: &mut Vec<InboundEffect>,
    ) {
        if self.leaving {
            return refuse(id, RefusalReason::Leaving, effects);
        }
        if self.has_free_slot(view, &attempt.service) {
            return self.run(id, attempt, effects);
        }
        let max_queue = view
            .table
            .row(&attempt.service, self.side)
            .map_or(0, |row| row.max_queue);
        if self.queue.len() >= max_queue as usize {
            return refuse(id, RefusalReason::QueueFull, effects);
        }
        self.queue.push_back((id, attempt));
    }

    fn has_free_slot(&self, view: &View, service: &ServiceName) -> bool {
        if !self.limited {
            return true;
        }
        let limit = view
            .table
            .row(service, self.side)
            .map_or(0, |row| row.max_in_flight);
        let running = self
            .running
            .values()
            .filter(|name| *name == service)
            .count();
        running < limit as usize
    }

    fn run(&mut self, id: InboundId, attempt: Attempt, effects: &mut Vec<InboundEffect>) {
        let deadline = attempt.context.deadline;
        self.running.insert(id, attempt.service);
        effects.push(InboundEffect::Run { id, deadline });
    }

    fn answer(&mut self, id: InboundId, result: AttemptResult, effects: &mut Vec<InboundEffect>) {
        if self.running.contains_key(&id) && self.answered.insert(id) {
            effects.push(InboundEffect::Answer { id, result });
        }
    }

    fn handle_run_closed(&mut self, view: &View, id: InboundId, effects: &mut Vec<InboundEffect>) {
        self.running.remove(&id);
        self.answered.remove(&id);
        while let Some((_, next)) = self.queue.front() {
            if !self.has_free_slot(view, &next.service) {
                return;
            }
            if let Some((next_id, attempt)) = self.queue.pop_front() {
                self.run(next_id, attempt, effects);
            }
        }
    }

    fn cancel_attempt(&mut self, id: InboundId, effects: &mut Vec<InboundEffect>) {
        self.queue.retain(|(queued, _)| *queued != id);
        if self.limited && self.running.contains_key(&id) {
            effects.push(InboundEffect::CancelRun { id });
        }
    }
}

fn refuse(id: InboundId, reason: RefusalReason, effects: &mut Vec<InboundEffect>) {
    effects.push(InboundEffect::Answer {
        id,
        result: AttemptResult::NotRun {
            reason,
            retry_after: REFUSAL_RETRY_AFTER,
        },
    });
}

impl InboundPolicy for FixedInbound {
    fn handle(
        &mut self,
        _now: Timestamp,
        view: &View,
        event: InboundEvent,
        effects: &mut Vec<InboundEffect>,
    ) {
        match event {
            InboundEvent::AttemptArrived { id, attempt } => {
                self.handle_arrival(view, id, attempt, effects);
            }
            InboundEvent::RunAnswered { id, result } => {
                self.answer(id, attempt_result(result), effects);
            }
            InboundEvent::RunClosed { id } => self.handle_run_closed(view, id, effects),
            InboundEvent::AttemptCancelled { id } => self.cancel_attempt(id, effects),
            InboundEvent::Leave => self.leaving = true,
            InboundEvent::HealthReported { .. }
            | InboundEvent::AnswerRecorded { .. }
            | InboundEvent::Wake
            | InboundEvent::Resumed { .. } => {}
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        None
    }

    fn load(&self, _now: Timestamp, _view: &View, service: &ServiceName) -> LoadReport {
        let running = self
            .running
            .values()
            .filter(|name| *name == service)
            .count();
        LoadReport {
            in_flight: running as u32,
            queued: self.queue.len() as u32,
            limit: u32::MAX,
            admission_level: AdmissionLevel::OPEN,
            leaving: self.leaving,
        }
    }

    fn in_progress(&self) -> usize {
        self.running.len() + self.queue.len()
    }
}
