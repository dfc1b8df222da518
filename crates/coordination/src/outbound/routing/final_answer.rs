//! The end of a call: its single answer to the caller, given as soon as it is
//! known, and the end of that answer's body.

use lifthollow_state::{RetryAllowance, Timestamp};

use super::Routing;
use crate::View;
use crate::outbound::call_state::Failure;
use crate::outbound::server_state::Outcome;
use crate::outbound::{
    AttemptAnswer, AttemptId, CallAnswer, CallId, OutboundEffect, OutboundPolicy,
};
use crate::refusal::CallFailure;

impl Routing {
    /// Passes the current attempt's answer on to the caller.
    pub(super) fn deliver(
        &mut self,
        id: CallId,
        answer: AttemptAnswer,
        effects: &mut Vec<OutboundEffect>,
    ) {
        let Some(state) = self.calls.get_mut(id) else {
            return;
        };
        let unspent = RetryAllowance(state.allowance_after(Failure::from_answer(&answer)));
        let Some(current) = state.current.as_mut() else {
            return;
        };
        current.delivered = true;
        let current = *current;
        if let Some(edge) = self.edges.get_mut(&state.call.service) {
            edge.record_stream_started(current.server, current.id);
        }
        self.calls.cancel_timer(id);
        effects.push(OutboundEffect::Answer {
            call: id,
            answer: CallAnswer::Deliver {
                attempt: current.id,
            },
            unspent,
        });
    }

    /// Answers the caller of a call that no attempt will complete, and removes the
    /// call.
    pub(super) fn give_up(
        &mut self,
        now: Timestamp,
        view: &View,
        id: CallId,
        call_failure: CallFailure,
        effects: &mut Vec<OutboundEffect>,
    ) {
        let Some(state) = self.calls.remove(id) else {
            return;
        };
        let level = self.level(now, view, &state.call.service);
        let class = state.call.context.priority.class;
        let drawn = self.retry_after.draw(class, level);
        if state.side.is_none()
            && let Some(edge) = self.edges.get_mut(&state.call.service)
        {
            edge.class_floor
                .record_refusal(now, class, call_failure.reason);
        }
        let answer = call_failure.answer(state.may_have_run, drawn);
        effects.push(OutboundEffect::Answer {
            call: id,
            answer,
            unspent: RetryAllowance(state.allowance),
        });
    }

    /// Removes the call of an attempt whose delivered answer was passed on to its
    /// last byte or broke off.
    pub(super) fn handle_stream_closed(&mut self, attempt: AttemptId) {
        let Some(id) = self.calls.call_of(attempt) else {
            return;
        };
        let current = self.calls.get(id).and_then(|state| state.current);
        let Some(current) = current.filter(|current| current.delivered) else {
            return;
        };
        let Some(state) = self.calls.remove(id) else {
            return;
        };
        if let Some(edge) = self.edges.get_mut(&state.call.service) {
            edge.record_stream_closed(current.server, attempt);
        }
    }

    /// Gives up the current attempt of a cancelled call and removes the call.
    pub(super) fn cancel_call(
        &mut self,
        now: Timestamp,
        id: CallId,
        effects: &mut Vec<OutboundEffect>,
    ) {
        self.abandon_attempt(now, id, Outcome::GivenUp, effects);
        self.calls.remove(id);
    }
}
