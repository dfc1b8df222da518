//! The product's outbound policy: decides on calls, their attempts and their
//! answers.
//!
//! A call is refused at once if its deadline has passed or the service's
//! servers are known to refuse its priority. Otherwise it goes to the server
//! that its [`Edge`] chooses. When the attempt fails or takes unusually long,
//! the retry decision, the choice of another server and the edge's budget are
//! asked in this order. The first that denies a retry ends the call, and the caller
//! is answered at once.

mod final_answer;

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_protocol::{AdmissionLevel, AttemptResult, RefusalReason};
use lifthollow_state::{ServiceName, Timestamp, Zone};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::call_state::{CallState, Failure, outcome_of};
use super::call_table::CallTable;
use super::edge::{ChosenServer, Edge, ServerRequirements};
use super::retry_decision::allows_retry;
use super::server_state::Outcome;
use super::{AttemptAnswer, AttemptId, Call, CallId};
use super::{EdgeReport, OutboundEffect, OutboundEvent, OutboundPolicy};
use crate::View;
use crate::refusal::{CallFailure, RetryAfterGenerator};

/// Interval at which the servers of all edges are checked for outliers to eject.
const OUTLIER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Mixed into the node's seed, so that the random choice of servers and the random
/// spread of `retry_after` times are independent.
const REFUSAL_SEED: u64 = 0x5e1f;

/// Outbound policy that routes calls to servers and retries failed attempts.
#[derive(Debug)]
pub struct Routing {
    zone: Zone,
    random: ChaCha8Rng,
    retry_after: RetryAfterGenerator,
    edges: BTreeMap<ServiceName, Edge>,
    calls: CallTable,
    next_attempt: u64,
    next_outlier_check: Timestamp,
}

impl Routing {
    /// Creates the policy of a node in `zone`; `seed` determines its random choices.
    pub fn new(zone: Zone, seed: u64) -> Self {
        Routing {
            zone,
            random: ChaCha8Rng::seed_from_u64(seed),
            retry_after: RetryAfterGenerator::from_seed(seed ^ REFUSAL_SEED),
            edges: BTreeMap::new(),
            calls: CallTable::default(),
            next_attempt: 0,
            next_outlier_check: Timestamp::ZERO,
        }
    }

    fn start_call(
        &mut self,
        now: Timestamp,
        view: &View,
        id: CallId,
        call: Call,
        effects: &mut Vec<OutboundEffect>,
    ) {
        let refusal = self.refusal_reason(now, view, &call);
        self.calls.insert(id, CallState::new(call));
        let chosen = match refusal {
            Some(reason) => Err(reason),
            None => self.choose_first(now, view, id),
        };
        match chosen {
            Ok(chosen) => self.send_attempt(now, id, chosen, effects),
            Err(reason) => self.give_up(now, view, id, reason.into(), effects),
        }
    }

    /// Why the call is refused without looking for a server, if it is.
    fn refusal_reason(&self, now: Timestamp, view: &View, call: &Call) -> Option<RefusalReason> {
        let context = &call.context;
        if view.table.any_row(&call.service).is_none() {
            Some(RefusalReason::UnknownService)
        } else if context.deadline <= now {
            Some(RefusalReason::DeadlineTooShort)
        } else if !self.service_admits(now, view, call) {
            Some(RefusalReason::Overloaded)
        } else {
            None
        }
    }

    /// Whether the service's servers admit the call's priority as far as this node
    /// knows, and no call of a more important class was refused just before.
    fn service_admits(&self, now: Timestamp, view: &View, call: &Call) -> bool {
        let priority = call.context.priority;
        self.edges.get(&call.service).is_none_or(|edge| {
            edge.level(now, view).admits(priority) && edge.class_floor.admits(now, priority.class)
        })
    }

    fn choose_first(
        &mut self,
        now: Timestamp,
        view: &View,
        id: CallId,
    ) -> Result<ChosenServer, RefusalReason> {
        let state = self.calls.get(id).ok_or(RefusalReason::Cancelled)?;
        let service = state.call.service.clone();
        let (zone, random) = (self.zone, &mut self.random);
        let edge = self
            .edges
            .entry(service.clone())
            .or_insert_with(|| Edge::new(service, zone, random));
        let requirements = ServerRequirements {
            priority: state.call.context.priority,
            tried: &[],
            side: None,
            may_use_half_open: state.may_retry(),
            needs_capacity: false,
        };
        edge.budget.deposit();
        edge.choose(now, view, &requirements, &mut self.random)
    }

    /// Chooses the server for a retry if the current attempt ends in `failure`,
    /// and charges the retry to the edge's budget. None if the call is not to be
    /// retried.
    fn choose_retry(
        &mut self,
        now: Timestamp,
        view: &View,
        id: CallId,
        failure: Failure,
    ) -> Option<ChosenServer> {
        let state = self.calls.get(id)?;
        let edge = self.edges.get_mut(&state.call.service)?;
        let failed = state.failed_attempt(now, failure, edge.latency.decayed_mean(now));
        if !allows_retry(&failed) {
            return None;
        }
        let requirements = ServerRequirements {
            priority: state.call.context.priority,
            tried: &state.failed_servers_with_current(),
            side: state.side,
            may_use_half_open: false,
            needs_capacity: true,
        };
        let chosen = edge
            .choose(now, view, &requirements, &mut self.random)
            .ok()?;
        edge.budget.withdraw().then_some(chosen)
    }

    /// Ends the current attempt in `failure` and sends another.
    fn retry(
        &mut self,
        now: Timestamp,
        id: CallId,
        failure: Failure,
        chosen: ChosenServer,
        effects: &mut Vec<OutboundEffect>,
    ) {
        let Some(state) = self.calls.get_mut(id) else {
            return;
        };
        let ended_attempt = state.current;
        state.end_attempt(failure);
        state.allowance -= 1;
        if let Some(attempt) = ended_attempt {
            self.calls.remove_attempt(attempt.id);
        }
        self.send_attempt(now, id, chosen, effects);
    }

    fn send_attempt(
        &mut self,
        now: Timestamp,
        id: CallId,
        chosen: ChosenServer,
        effects: &mut Vec<OutboundEffect>,
    ) {
        let Some(state) = self.calls.get_mut(id) else {
            return;
        };
        let Some(edge) = self.edges.get_mut(&state.call.service) else {
            return;
        };
        edge.count_attempt(chosen, !state.failed_servers.is_empty());
        self.next_attempt += 1;
        let attempt = AttemptId(self.next_attempt);
        state.side = Some(chosen.side);
        let context = state.begin_attempt(attempt, chosen.server);
        let timeout = edge.attempt_timeout(context.deadline.saturating_since(now));
        edge.server_mut(now, chosen.server)
            .record_dispatch(now, attempt);
        self.calls.register_attempt(attempt, id);
        self.calls.set_timer(id, now + timeout);
        effects.push(OutboundEffect::Dispatch {
            call: id,
            attempt,
            server: chosen.server,
            context,
        });
    }

    fn handle_answer(
        &mut self,
        now: Timestamp,
        view: &View,
        attempt: AttemptId,
        answer: AttemptAnswer,
        effects: &mut Vec<OutboundEffect>,
    ) {
        let Some(id) = self.calls.call_of(attempt) else {
            return;
        };
        self.record_answer(now, id, attempt, &answer);
        if answer.result == (AttemptResult::Completed { success: true }) {
            return self.deliver(id, answer, effects);
        }
        let failure = Failure::from_answer(&answer);
        if let Some(chosen) = self.choose_retry(now, view, id, failure) {
            return self.retry(now, id, failure, chosen, effects);
        }
        let call_failure = match answer.result {
            AttemptResult::Completed { .. } => return self.deliver(id, answer, effects),
            AttemptResult::Unknown { reason } => CallFailure::from(reason),
            AttemptResult::NotRun {
                reason,
                retry_after,
            } => CallFailure {
                reason,
                retry_after,
            },
        };
        if let Some(state) = self.calls.get_mut(id) {
            state.end_attempt(failure);
        }
        self.calls.remove_attempt(attempt);
        self.give_up(now, view, id, call_failure, effects);
    }

    /// Records what an answer reveals about the server that sent it.
    fn record_answer(
        &mut self,
        now: Timestamp,
        id: CallId,
        attempt: AttemptId,
        answer: &AttemptAnswer,
    ) {
        let Some(state) = self.calls.get(id) else {
            return;
        };
        let edge = self.edges.get_mut(&state.call.service);
        if let (Some(edge), Some(current)) = (edge, state.current) {
            edge.record_outcome(
                now,
                current.server,
                attempt,
                outcome_of(answer),
                answer.load,
            );
        }
    }

    /// Gives up the current attempt; its server must drop or cancel it.
    fn abandon_attempt(
        &mut self,
        now: Timestamp,
        id: CallId,
        outcome: Outcome,
        effects: &mut Vec<OutboundEffect>,
    ) {
        let Some(state) = self.calls.get(id) else {
            return;
        };
        let Some(current) = state.current else {
            return;
        };
        if let Some(edge) = self.edges.get_mut(&state.call.service) {
            edge.record_outcome(now, current.server, current.id, outcome, None);
            edge.record_stream_closed(current.server, current.id);
        }
        effects.push(OutboundEffect::Cancel {
            attempt: current.id,
        });
    }

    fn handle_wake(&mut self, now: Timestamp, view: &View, effects: &mut Vec<OutboundEffect>) {
        if now >= self.next_outlier_check {
            self.next_outlier_check = now + OUTLIER_CHECK_INTERVAL;
            for edge in self.edges.values_mut() {
                edge.eject_outliers(now, view);
                edge.forget_unlisted(view);
            }
        }
        while let Some(id) = self.calls.pop_due(now) {
            self.handle_timer(now, view, id, effects);
        }
    }

    /// Handles the timer of a call: its attempt takes unusually long, or its
    /// deadline has passed. A slow attempt is replaced if the call may be repeated
    /// and another server can take it; otherwise the call keeps waiting for it.
    fn handle_timer(
        &mut self,
        now: Timestamp,
        view: &View,
        id: CallId,
        effects: &mut Vec<OutboundEffect>,
    ) {
        let Some(state) = self.calls.get(id) else {
            return;
        };
        let deadline = state.call.context.deadline;
        if deadline <= now {
            self.abandon_attempt(now, id, Outcome::TimedOut, effects);
            if let Some(state) = self.calls.get_mut(id) {
                state.end_attempt(Failure::NO_ANSWER);
            }
            let reason = RefusalReason::DeadlineTooShort;
            return self.give_up(now, view, id, reason.into(), effects);
        }
        self.calls.set_timer(id, deadline);
        if let Some(chosen) = self.choose_retry(now, view, id, Failure::NO_ANSWER) {
            self.abandon_attempt(now, id, Outcome::TimedOut, effects);
            self.retry(now, id, Failure::NO_ANSWER, chosen, effects);
        }
    }
}

impl OutboundPolicy for Routing {
    fn handle(
        &mut self,
        now: Timestamp,
        view: &View,
        event: OutboundEvent,
        effects: &mut Vec<OutboundEffect>,
    ) {
        match event {
            OutboundEvent::CallArrived { call, description } => {
                self.start_call(now, view, call, description, effects);
            }
            OutboundEvent::AttemptAnswered { attempt, answer } => {
                self.handle_answer(now, view, attempt, answer, effects);
            }
            OutboundEvent::AttemptClosed { attempt, .. } => self.handle_stream_closed(attempt),
            OutboundEvent::CallCancelled { call } => self.cancel_call(now, call, effects),
            OutboundEvent::Wake => self.handle_wake(now, view, effects),
            OutboundEvent::Resumed { .. } => {
                for edge in self.edges.values_mut() {
                    edge.handle_resume(now);
                }
            }
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        self.calls.next_timer()
    }

    fn reports(&self, now: Timestamp, view: &View) -> Vec<EdgeReport> {
        let edges = self.edges.values();
        edges.map(|edge| edge.report(now, view)).collect()
    }

    fn level(&self, now: Timestamp, view: &View, service: &ServiceName) -> AdmissionLevel {
        self.edges
            .get(service)
            .map_or(AdmissionLevel::OPEN, |edge| edge.level(now, view))
    }
}
