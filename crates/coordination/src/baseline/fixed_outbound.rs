//! Outbound baseline policy: round robin with a fixed number of retries at each hop.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_protocol::{AttemptResult, RefusalReason};
use lifthollow_state::{NodeId, Server, ServerState, ServiceName, Side, TableRow, Timestamp};

use crate::View;
use crate::outbound::{
    AttemptAnswer, AttemptId, Call, CallAnswer, CallId, OutboundEffect, OutboundEvent,
    OutboundPolicy,
};

const PASSTHROUGH_RETRIES: u32 = 3;
const STATIC_LIMITS_RETRIES: u32 = 2;
/// Time after which callers that got no complete answer are asked to call again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Outbound policy of the baselines.
#[derive(Debug)]
pub struct FixedOutbound {
    retries: u32,
    calls: BTreeMap<CallId, CallState>,
    attempts: BTreeMap<AttemptId, CallId>,
    next_attempt: u64,
    rotation: BTreeMap<ServiceName, Rotation>,
}

#[derive(Debug)]
struct CallState {
    call: Call,
    retries_left: u32,
    attempt: AttemptId,
    attempt_deadline: Timestamp,
    delivered: bool,
    /// Whether an earlier attempt may have run, so that the call can't be answered as
    /// *not run*.
    may_have_run: bool,
}

/// Smooth weighted round robin between the sides, plain round robin between the
/// servers of a side.
#[derive(Debug, Default)]
struct Rotation {
    credit: [i64; 2],
    next_server: [usize; 2],
}

impl FixedOutbound {
    /// Creates a policy with three retries at each hop.
    pub fn passthrough() -> Self {
        FixedOutbound::with_retries(PASSTHROUGH_RETRIES)
    }

    /// Creates a policy with two retries at each hop.
    pub fn static_limits() -> Self {
        FixedOutbound::with_retries(STATIC_LIMITS_RETRIES)
    }

    fn with_retries(retries: u32) -> Self {
        FixedOutbound {
            retries,
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            rotation: BTreeMap::new(),
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
        let state = CallState {
            call,
            retries_left: self.retries,
            attempt: AttemptId(0),
            attempt_deadline: now,
            delivered: false,
            may_have_run: false,
        };
        self.calls.insert(id, state);
        self.dispatch(now, view, id, effects);
    }

    fn dispatch(
        &mut self,
        now: Timestamp,
        view: &View,
        id: CallId,
        effects: &mut Vec<OutboundEffect>,
    ) {
        let Some(state) = self.calls.get_mut(&id) else {
            return;
        };
        let service = &state.call.service;
        let Some(row) = view.table.any_row(service) else {
            let reason = RefusalReason::UnknownService;
            return self.give_up(id, reason, true, effects);
        };
        let rotation = self.rotation.entry(service.clone()).or_default();
        let Some(server) = rotation.choose(view, service) else {
            return self.give_up(id, RefusalReason::NoServer, true, effects);
        };
        self.next_attempt += 1;
        let attempt = AttemptId(self.next_attempt);
        state.attempt = attempt;
        state.attempt_deadline = now + hop_timeout(row, self.retries);
        self.attempts.insert(attempt, id);
        let mut context = state.call.context.clone();
        context.deadline = state.attempt_deadline;
        effects.push(OutboundEffect::Dispatch {
            call: id,
            attempt,
            server,
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
        let Some(&id) = self.attempts.get(&attempt) else {
            return;
        };
        let Some(state) = self.calls.get_mut(&id) else {
            return;
        };
        match answer.result {
            AttemptResult::Completed { success: true } => self.deliver(id, attempt, effects),
            AttemptResult::Completed { success: false } => {
                state.may_have_run = true;
                let may_retry = state.call.repeatable;
                if !self.retry(now, view, id, may_retry, effects) {
                    self.deliver(id, attempt, effects);
                }
            }
            AttemptResult::NotRun { reason, .. } => {
                if !self.retry(now, view, id, true, effects) {
                    self.give_up(id, reason, true, effects);
                }
            }
            AttemptResult::Unknown { reason } => {
                state.may_have_run = true;
                let may_retry = state.call.repeatable;
                if !self.retry(now, view, id, may_retry, effects) {
                    self.give_up(id, reason, false, effects);
                }
            }
        }
    }

    /// Sends another attempt if the call may be retried; returns whether one was
    /// sent.
    fn retry(
        &mut self,
        now: Timestamp,
        view: &View,
        id: CallId,
        may_retry: bool,
        effects: &mut Vec<OutboundEffect>,
    ) -> bool {
        let Some(state) = self.calls.get_mut(&id) else {
            return false;
        };
        if !may_retry || state.retries_left == 0 || !state.call.replayable {
            return false;
        }
        state.retries_left -= 1;
        self.attempts.remove(&state.attempt);
        self.dispatch(now, view, id, effects);
        true
    }

    fn deliver(&mut self, id: CallId, attempt: AttemptId, effects: &mut Vec<OutboundEffect>) {
        if let Some(state) = self.calls.get_mut(&id) {
            state.delivered = true;
            effects.push(OutboundEffect::Answer {
                call: id,
                answer: CallAnswer::Deliver { attempt },
                unspent: state.call.context.allowance,
            });
        }
    }

    fn give_up(
        &mut self,
        id: CallId,
        reason: RefusalReason,
        not_run: bool,
        effects: &mut Vec<OutboundEffect>,
    ) {
        let Some(state) = self.calls.remove(&id) else {
            return;
        };
        self.attempts.remove(&state.attempt);
        let retry_after = RETRY_AFTER;
        let answer = if not_run && !state.may_have_run {
            CallAnswer::NotRun {
                reason,
                retry_after,
            }
        } else {
            CallAnswer::Unknown {
                reason,
                retry_after,
            }
        };
        effects.push(OutboundEffect::Answer {
            call: id,
            answer,
            unspent: state.call.context.allowance,
        });
    }

    fn close_attempt(&mut self, attempt: AttemptId) {
        if let Some(id) = self.attempts.remove(&attempt) {
            self.calls.remove(&id);
        }
    }

    fn cancel_call(&mut self, id: CallId, effects: &mut Vec<OutboundEffect>) {
        if let Some(state) = self.calls.remove(&id) {
            self.attempts.remove(&state.attempt);
            effects.push(OutboundEffect::Cancel {
                attempt: state.attempt,
            });
        }
    }

    /// Cancels attempts that exceeded the hop's timeout, and retries or ends their
    /// calls.
    fn expire_attempts(&mut self, now: Timestamp, view: &View, effects: &mut Vec<OutboundEffect>) {
        let expired: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, state)| !state.delivered && state.attempt_deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let Some(state) = self.calls.get_mut(&id) else {
                continue;
            };
            state.may_have_run = true;
            let may_retry = state.call.repeatable;
            effects.push(OutboundEffect::Cancel {
                attempt: state.attempt,
            });
            if !self.retry(now, view, id, may_retry, effects) {
                self.give_up(id, RefusalReason::DeadlineTooShort, false, effects);
            }
        }
    }
}

impl OutboundPolicy for FixedOutbound {
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
            OutboundEvent::AttemptClosed { attempt, .. } => self.close_attempt(attempt),
            OutboundEvent::CallCancelled { call } => self.cancel_call(call, effects),
            OutboundEvent::Wake | OutboundEvent::Resumed { .. } => {
                self.expire_attempts(now, view, effects);
            }
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        self.calls
            .values()
            .filter(|state| !state.delivered)
            .map(|state| state.attempt_deadline)
            .min()
    }
}

/// Timeout of one attempt: an equal share of the service's deadline.
fn hop_timeout(row: &TableRow, retries: u32) -> Duration {
    row.deadline / (retries + 1)
}

impl Rotation {
    fn choose(&mut self, view: &View, service: &ServiceName) -> Option<NodeId> {
        let servers = view.directory.servers(service);
        let mut weights = [0_i64; 2];
        for side in Side::ALL {
            let weight = view.table.row(service, side).map_or(0, |row| row.weight);
            if serving(servers, side).next().is_some() {
                weights[side as usize] = i64::from(weight);
            }
        }
        let side = self.choose_side(weights)?;
        let candidates: Vec<&Server> = serving(servers, side).collect();
        let next = &mut self.next_server[side as usize];
        *next = (*next + 1) % candidates.len();
        Some(candidates[*next].node)
    }

    fn choose_side(&mut self, weights: [i64; 2]) -> Option<Side> {
        let total: i64 = weights.iter().sum();
        if total == 0 {
            return None;
        }
        for side in Side::ALL {
            self.credit[side as usize] += weights[side as usize];
        }
        let side = if self.credit[0] >= self.credit[1] && weights[0] > 0 || weights[1] == 0 {
            Side::Old
        } else {
            Side::New
        };
        self.credit[side as usize] -= total;
        Some(side)
    }
}

fn serving(servers: &[Server], side: Side) -> impl Iterator<Item = &Server> {
    servers
        .iter()
        .filter(move |server| server.side == side && server.state == ServerState::Serving)
}
