//! Attempts on the network: sent, answered, closed and cancelled.

use lifthollow_coordination::NodeEvent;
use lifthollow_coordination::inbound::Attempt;
use lifthollow_coordination::outbound::{
    AttemptAnswer, AttemptId, CallAnswer, CallId, OutboundEffect, OutboundEvent,
};
use lifthollow_protocol::{AttemptResult, RefusalReason};
use lifthollow_state::{NodeId, RequestContext, RetryAllowance, Timestamp};

use super::event::{ClientAnswer, WorldEvent};
use super::ids::{MachineIndex, WireId};
use super::records::AttemptRecord;
use super::{CLOCK_TICK, TransportDefect, World};
use crate::measure::SentAttempt;
use crate::observe::{Observation, Told};

impl World {
    pub(super) fn apply_outbound(&mut self, index: MachineIndex, effect: OutboundEffect) {
        match effect {
            OutboundEffect::Dispatch {
                call,
                attempt,
                server,
                context,
            } => self.dispatch_attempt(index, call, attempt, server, context),
            OutboundEffect::Cancel { attempt } => self.cancel_attempt(index, attempt),
            OutboundEffect::Answer { call, answer, .. } => self.answer_call(call, answer),
        }
    }

    fn dispatch_attempt(
        &mut self,
        index: MachineIndex,
        call: CallId,
        attempt_id: AttemptId,
        server: NodeId,
        context: RequestContext,
    ) {
        self.next_wire += 1;
        let wire = WireId(self.next_wire);
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        let first = record.attempts.is_empty();
        record.attempts.push(wire);
        record.open_attempts += 1;
        let service = record.service;
        let operation = record.operation;
        let class = record.call.context.priority.class;
        let (kind, client_attempt) = (record.kind, record.client_attempt);
        let service_name = record.call.service.clone();
        let body_digest = record.operation.request.0;
        self.recorder.attempt_sent(&SentAttempt {
            service,
            operation,
            client_attempt,
            first,
        });
        self.observe(Observation::AttemptSent {
            machine: index,
            service,
            class,
            operation,
            first,
        });
        let Some(server) = self.by_address.get(&server).copied() else {
            return;
        };
        let caller = self.machine(index);
        let global_deadline = caller.global(context.deadline);
        let attempt_record = AttemptRecord {
            caller: index,
            attempt_id,
            call,
            server,
            operation,
            kind,
            client_attempt,
            attempt: Attempt {
                service: service_name,
                context: RequestContext {
                    deadline: global_deadline,
                    ..context
                },
                from: caller.spec.node,
                body_digest,
            },
            delivers_to: None,
            ended: None,
            caller_open: true,
            server_open: true,
            answered: None,
            head_arrives: Timestamp::ZERO,
            run: None,
        };
        self.attempts.insert(wire, attempt_record);
        self.attempts_by_caller.insert((index, attempt_id), wire);
        match self.network.stream_delay(index, server) {
            Some(delay) => self.schedule(WorldEvent::AttemptArrives { wire }, delay),
            None => self.close_server(wire),
        }
    }

    fn cancel_attempt(&mut self, index: MachineIndex, attempt: AttemptId) {
        let Some(wire) = self.attempts_by_caller.get(&(index, attempt)).copied() else {
            return;
        };
        if let Some(call) = self.attempts.get(&wire).map(|record| record.call) {
            self.attempt_is_over(call);
        }
        self.close_caller(wire);
    }

    /// A call's node no longer waits for one of its attempts.
    fn attempt_is_over(&mut self, call: CallId) {
        let now = self.now();
        if let Some(record) = self.calls.get_mut(&call) {
            record.open_attempts = record.open_attempts.saturating_sub(1);
            record.idle_since = now;
        }
    }

    /// The caller's node no longer waits for an attempt; the server learns it
    /// unless it has finished.
    pub(super) fn close_caller(&mut self, wire: WireId) {
        let Some(record) = self.attempts.get_mut(&wire) else {
            return;
        };
        if !record.caller_open {
            return;
        }
        record.caller_open = false;
        let (caller, server) = (record.caller, record.server);
        self.attempts_by_caller.remove(&(caller, record.attempt_id));
        if record.server_open
            && let Some(delay) = self.network.stream_delay(caller, server)
        {
            self.schedule(WorldEvent::AttemptCancelled { wire }, delay);
        }
        self.forget_attempt_if_over(wire);
    }

    /// The server's node will not act on an attempt any more.
    pub(super) fn close_server(&mut self, wire: WireId) {
        if let Some(record) = self.attempts.get_mut(&wire) {
            record.server_open = false;
        }
        self.forget_attempt_if_over(wire);
    }

    fn forget_attempt_if_over(&mut self, wire: WireId) {
        let over = self
            .attempts
            .get(&wire)
            .is_some_and(|record| !record.caller_open && !record.server_open);
        if over {
            self.attempts.remove(&wire);
        }
    }

    pub(super) fn attempt_answered(&mut self, wire: WireId, answer: AttemptAnswer) {
        let Some(record) = self.attempts.get(&wire) else {
            return;
        };
        if !record.caller_open {
            return;
        }
        let (caller, attempt, call) = (record.caller, record.attempt_id, record.call);
        self.attempt_is_over(call);
        let event = OutboundEvent::AttemptAnswered { attempt, answer };
        self.feed_node(caller, NodeEvent::Outbound(event));
    }

    /// What is left of the call's allowance stays in the node's own ledger.
    fn answer_call(&mut self, call: CallId, answer: CallAnswer) {
        let now = self.now();
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        let told = Told::from(&answer);
        let observation = Observation::CallAnswered {
            call,
            machine: record.machine,
            service: record.service,
            class: record.call.context.priority.class,
            attempts: record.attempts.len() as u32,
            told,
        };
        let idle = record.idle_for(now);
        record.answered = true;
        if told != Told::Complete {
            self.recorder.refusal_delay(idle);
        }
        self.observe(observation);
        match answer {
            CallAnswer::Deliver { attempt } => self.deliver_answer(call, attempt),
            CallAnswer::NotRun { retry_after, .. } | CallAnswer::Unknown { retry_after, .. } => {
                let Some(record) = self.calls.get(&call).cloned() else {
                    return;
                };
                let retry_after_millis = retry_after.as_millis() as u64;
                self.tell_origin(&record, call, ClientAnswer::GivenUp { retry_after_millis });
                self.forget_call(call);
            }
        }
    }

    /// Passes an attempt's answer on; its other attempts are dropped.
    fn deliver_answer(&mut self, call: CallId, attempt: AttemptId) {
        let Some(record) = self.calls.get(&call) else {
            return;
        };
        let own_attempts = record.attempts.clone();
        let attempt = (record.machine, attempt);
        let wire = self.attempts_by_caller.get(&attempt).copied();
        if let Some(delivered) = wire.and_then(|wire| self.attempts.get_mut(&wire)) {
            delivered.delivers_to = Some(call);
        }
        self.close_ended_answer(wire);
        let others = own_attempts.into_iter().filter(|other| {
            let delivered = self.attempts.get(other).and_then(|other| other.delivers_to);
            delivered.is_none()
        });
        let others: Vec<WireId> = others.collect();
        for other in others {
            self.close_caller(other);
        }
    }

    /// An answer that had ended before it was passed on is closed now.
    fn close_ended_answer(&mut self, wire: Option<WireId>) {
        let ended = wire.and_then(|wire| Some((wire, self.attempts.get(&wire)?.ended?)));
        if let Some((wire, complete)) = ended {
            let event = WorldEvent::AttemptClosed { wire, complete };
            self.schedule(event, CLOCK_TICK);
        }
    }

    pub(super) fn attempt_closed(&mut self, wire: WireId, complete: bool) {
        let Some(attempt_record) = self.attempts.get_mut(&wire) else {
            return;
        };
        attempt_record.ended = Some(complete);
        let (caller, attempt) = (attempt_record.caller, attempt_record.attempt_id);
        let body_of = attempt_record.operation;
        let success = attempt_record.answered == Some(AttemptResult::Completed { success: true });
        let Some(call) = attempt_record.delivers_to else {
            return;
        };
        let Some(record) = self.calls.get(&call).cloned() else {
            return self.close_caller(wire);
        };
        let event = OutboundEvent::AttemptClosed { attempt, complete };
        self.feed_node(caller, NodeEvent::Outbound(event));
        let answer = if complete {
            ClientAnswer::Complete {
                success,
                body_of,
                whole: self.settings.defect != Some(TransportDefect::TruncatesAnswers),
            }
        } else {
            ClientAnswer::Broken
        };
        self.tell_origin(&record, call, answer);
        self.close_caller(wire);
        self.forget_call(call);
    }

    /// The connection to a server broke under an attempt.
    pub(super) fn reset_attempt(&mut self, wire: WireId, arrived: bool) {
        let Some(record) = self.attempts.get(&wire) else {
            return;
        };
        let result = if arrived {
            AttemptResult::Unknown {
                reason: RefusalReason::AnswerLost,
            }
        } else {
            AttemptResult::NotRun {
                reason: RefusalReason::ConnectionFailed,
                retry_after: std::time::Duration::ZERO,
            }
        };
        let answered = record.answered.is_some();
        let (caller, server, lent) = (
            record.caller,
            record.server,
            record.attempt.context.allowance,
        );
        // Allowance that was lent to a server which may have spent it is lost.
        let unspent = if arrived { RetryAllowance(0) } else { lent };
        let Some(delay) = self.network.stream_delay(server, caller) else {
            return;
        };
        let event = if answered {
            WorldEvent::AttemptClosed {
                wire,
                complete: false,
            }
        } else {
            let answer = AttemptAnswer {
                result,
                load: None,
                unspent,
            };
            WorldEvent::AttemptAnswered { wire, answer }
        };
        self.schedule(event, delay);
    }
}
