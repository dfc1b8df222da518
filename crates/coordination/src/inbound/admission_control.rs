//! The product's inbound policy, for all services with a back end local to a node.

use std::collections::BTreeMap;

use lifthollow_protocol::{AdmissionLevel, AttemptResult, LoadReport, RefusalReason};
use lifthollow_state::{Priority, ServiceName, Side, TableRow, Timestamp};

use super::queue::QueuedAttempt;
use super::service_admission::{ServiceAdmission, Verdict};
use super::{Attempt, InboundEffect, InboundEvent, InboundId, InboundPolicy};
use super::{RunResult, attempt_result};
use crate::View;
use crate::refusal::RetryAfterGenerator;

/// Inbound policy that admits, queues or refuses attempts, independently for each
/// service.
///
/// [`InboundEffect::Run`] separates admission from execution: any agreement that a
/// call needs before it runs is reached by the code that carries out the effect.
/// If the attempt is then not run, that code reports [`InboundEvent::RunClosed`].
#[derive(Debug)]
pub struct AdmissionControl {
    side: Side,
    leaving: bool,
    services: BTreeMap<ServiceName, ServiceAdmission>,
    service_of: BTreeMap<InboundId, ServiceName>,
    retry_after: RetryAfterGenerator,
}

impl AdmissionControl {
    /// Creates the policy of a node on `side`; `seed` determines the random spread
    /// of the `retry_after` times sent to refused callers.
    pub fn new(side: Side, seed: u64) -> Self {
        AdmissionControl {
            side,
            leaving: false,
            services: BTreeMap::new(),
            service_of: BTreeMap::new(),
            retry_after: RetryAfterGenerator::from_seed(seed),
        }
    }

    fn handle_arrival(
        &mut self,
        now: Timestamp,
        view: &View,
        id: InboundId,
        attempt: Attempt,
        effects: &mut Vec<InboundEffect>,
    ) {
        let priority = attempt.context.priority;
        if self.leaving {
            return self.refuse(id, priority, RefusalReason::Leaving, None, effects);
        }
        let Some(row) = view.table.row(&attempt.service, self.side) else {
            return self.refuse(id, priority, RefusalReason::UnknownService, None, effects);
        };
        let queued = QueuedAttempt {
            id,
            priority,
            deadline: attempt.context.deadline,
        };
        self.service_of.insert(id, attempt.service.clone());
        let service = attempt.service;
        self.apply_decision(&service, effects, |admission, verdicts| {
            admission.handle_arrival(now, row, queued, verdicts);
        });
    }

    /// Applies `decision` to a service's admission state and turns the resulting
    /// verdicts into effects.
    fn apply_decision(
        &mut self,
        service: &ServiceName,
        effects: &mut Vec<InboundEffect>,
        decision: impl FnOnce(&mut ServiceAdmission, &mut Vec<Verdict>),
    ) {
        let mut verdicts = Vec::new();
        let admission = self.services.entry(service.clone()).or_default();
        decision(admission, &mut verdicts);
        let level = admission.level();
        for verdict in verdicts {
            match verdict {
                Verdict::Run { id, deadline } => effects.push(InboundEffect::Run { id, deadline }),
                Verdict::Refuse {
                    id,
                    priority,
                    reason,
                } => self.refuse(id, priority, reason, Some(level), effects),
            }
        }
    }

    fn refuse(
        &mut self,
        id: InboundId,
        priority: Priority,
        reason: RefusalReason,
        level: Option<AdmissionLevel>,
        effects: &mut Vec<InboundEffect>,
    ) {
        self.service_of.remove(&id);
        let level = level.unwrap_or(AdmissionLevel::OPEN);
        let retry_after = self.retry_after.draw(priority.class, level);
        effects.push(InboundEffect::Answer {
            id,
            result: AttemptResult::NotRun {
                reason,
                retry_after,
            },
        });
    }

    fn handle_answer(
        &mut self,
        now: Timestamp,
        view: &View,
        id: InboundId,
        result: RunResult,
        effects: &mut Vec<InboundEffect>,
    ) {
        let Some(service) = self.service_of.get(&id) else {
            return;
        };
        let row = view.table.row(service, self.side);
        let Some(admission) = self.services.get_mut(service) else {
            return;
        };
        if admission.handle_answer(now, row, id, result) {
            effects.push(InboundEffect::Answer {
                id,
                result: attempt_result(result),
            });
        }
    }

    fn handle_run_closed(
        &mut self,
        now: Timestamp,
        view: &View,
        id: InboundId,
        effects: &mut Vec<InboundEffect>,
    ) {
        let Some(service) = self.service_of.remove(&id) else {
            return;
        };
        let row = view.table.row(&service, self.side);
        self.apply_decision(&service, effects, |admission, verdicts| {
            admission.handle_run_closed(now, row, id, verdicts);
        });
    }

    fn cancel_attempt(&mut self, id: InboundId, effects: &mut Vec<InboundEffect>) {
        let Some(service) = self.service_of.get(&id) else {
            return;
        };
        let admission = self.services.get_mut(service);
        if admission.is_some_and(|admission| admission.cancel_attempt(id)) {
            effects.push(InboundEffect::CancelRun { id });
        } else {
            self.service_of.remove(&id);
        }
    }

    /// Applies `decision` to every service that has a row in the table.
    fn for_each_service(
        &mut self,
        view: &View,
        effects: &mut Vec<InboundEffect>,
        decision: impl Fn(&mut ServiceAdmission, &TableRow, &mut Vec<Verdict>),
    ) {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        for service in services {
            if let Some(row) = view.table.row(&service, self.side) {
                self.apply_decision(&service, effects, |admission, verdicts| {
                    decision(admission, row, verdicts);
                });
            }
        }
    }
}

impl InboundPolicy for AdmissionControl {
    fn handle(
        &mut self,
        now: Timestamp,
        view: &View,
        event: InboundEvent,
        effects: &mut Vec<InboundEffect>,
    ) {
        match event {
            InboundEvent::AttemptArrived { id, attempt } => {
                self.handle_arrival(now, view, id, attempt, effects);
            }
            InboundEvent::RunAnswered { id, result } => {
                self.handle_answer(now, view, id, result, effects);
            }
            InboundEvent::RunClosed { id } => self.handle_run_closed(now, view, id, effects),
            InboundEvent::AttemptCancelled { id } => self.cancel_attempt(id, effects),
            InboundEvent::Wake => {
                self.for_each_service(view, effects, |admission, row, verdicts| {
                    admission.handle_wake(now, row, verdicts);
                });
            }
            InboundEvent::Resumed { .. } => {
                self.for_each_service(view, effects, |admission, _, verdicts| {
                    admission.handle_resume(now, verdicts);
                });
            }
            InboundEvent::Leave => {
                self.leaving = true;
                self.for_each_service(view, effects, |admission, _, verdicts| {
                    admission.refuse_queued(now, verdicts);
                });
            }
            // Health endpoints may report late or wrong, so admission depends only
            // on what the node itself observes.
            InboundEvent::HealthReported { .. } | InboundEvent::AnswerRecorded { .. } => {}
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        self.services
            .values()
            .filter_map(ServiceAdmission::next_wake)
            .min()
    }

    fn load(&self, _now: Timestamp, view: &View, service: &ServiceName) -> LoadReport {
        let row = view.table.row(service, self.side);
        match self.services.get(service) {
            Some(admission) => admission.load(row, self.leaving),
            None => ServiceAdmission::default().load(row, self.leaving),
        }
    }

    fn set_downstream_level(&mut self, service: &ServiceName, level: AdmissionLevel) {
        let admission = self.services.entry(service.clone()).or_default();
        admission.set_downstream_level(level);
    }

    fn in_progress(&self) -> usize {
        self.services
            .values()
            .map(ServiceAdmission::in_progress)
            .sum()
    }
}
