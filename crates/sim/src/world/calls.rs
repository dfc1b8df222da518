//! Calls from clients and from runs, and what their makers are told.

use lifthollow_coordination::NodeEvent;
use lifthollow_coordination::outbound::{Call, CallId, OutboundEvent};
use lifthollow_state::{IdempotencyKey, Priority, RequestContext, RetryAllowance, Timestamp};

use super::event::{ClientAnswer, WorldEvent};
use super::ids::{MachineIndex, RequestNumber, WireId};
use super::records::{CallOrigin, CallRecord, Operation};
use super::{LOOPBACK_DELAY, World};
use crate::mesh::{KindIndex, VisitIndex};
use crate::observe::Observation;

/// Where in a whole request a new call stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallPlace {
    /// The request and the visit.
    pub operation: Operation,
    /// The kind of the request.
    pub kind: KindIndex,
    /// The client's attempt.
    pub client_attempt: u32,
}

impl World {
    /// Records a call made on a machine; it arrives there later.
    pub(super) fn new_call(
        &mut self,
        machine: MachineIndex,
        place: CallPlace,
        origin: CallOrigin,
        deadline: Timestamp,
        allowance: RetryAllowance,
    ) -> CallId {
        self.next_call += 1;
        let id = CallId(self.next_call);
        let call = self.describe_call(place, origin, deadline, allowance);
        let visit = self.mesh.kind(place.kind).visit(place.operation.visit);
        let record = CallRecord {
            machine,
            origin,
            operation: place.operation,
            kind: place.kind,
            client_attempt: place.client_attempt,
            service: visit.service,
            call,
            attempts: Vec::new(),
            answered: false,
            open_attempts: 0,
            idle_since: self.now(),
        };
        self.calls.insert(id, record);
        id
    }

    fn describe_call(
        &self,
        place: CallPlace,
        origin: CallOrigin,
        deadline: Timestamp,
        allowance: RetryAllowance,
    ) -> Call {
        let kind = self.mesh.kind(place.kind);
        let visit = kind.visit(place.operation.visit);
        let service = self.mesh.service(visit.service).name.clone();
        let request = self.clients.request_id(place.operation.request);
        let priority = Priority {
            class: kind.class,
            user: request.user_priority(),
        };
        let key_name = || format!("{}-{}", request.0, place.operation.visit.0);
        let idempotency_key = visit
            .once
            .then(|| IdempotencyKey::from_name(&service, &key_name()));
        let parent = match origin {
            CallOrigin::Client { .. } => None,
            CallOrigin::Run { wire, .. } => Some(wire.inbound()),
        };
        Call {
            service,
            context: RequestContext {
                request,
                deadline,
                priority,
                idempotency_key,
                allowance,
            },
            parent,
            repeatable: !visit.once,
            replayable: true,
        }
    }

    pub(super) fn call_arrives(&mut self, call: CallId) {
        let now = self.now();
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        let machine = record.machine;
        record.idle_since = now;
        let mut description = record.call.clone();
        description.context.deadline = self.machines[machine.0].local(description.context.deadline);
        let observation = Observation::CallMade {
            call,
            operation: record.operation,
        };
        self.observe(observation);
        let event = OutboundEvent::CallArrived { call, description };
        self.feed_node(machine, NodeEvent::Outbound(event));
    }

    pub(super) fn call_cancelled(&mut self, call: CallId) {
        let now = self.now();
        let Some(record) = self.calls.get(&call) else {
            return;
        };
        let machine = record.machine;
        // Its maker hung up without an answer: what the node waited for counts.
        self.recorder.refusal_delay(record.idle_for(now));
        let event = OutboundEvent::CallCancelled { call };
        self.feed_node(machine, NodeEvent::Outbound(event));
        self.forget_call(call);
    }

    /// Drops a call's record; attempts that still run have no one waiting.
    pub(super) fn forget_call(&mut self, call: CallId) {
        let Some(record) = self.calls.remove(&call) else {
            return;
        };
        for wire in record.attempts {
            self.close_caller(wire);
        }
    }

    /// Tells the maker of a call how it ended.
    pub(super) fn tell_origin(&mut self, record: &CallRecord, call: CallId, answer: ClientAnswer) {
        if let ClientAnswer::Complete { body_of, whole, .. } = answer {
            self.observe(Observation::AnswerReceived {
                asked: record.operation,
                body_of,
                whole,
            });
        }
        match record.origin {
            CallOrigin::Client { attempt } => {
                let request = record.operation.request;
                self.tell_client(request, attempt, answer);
            }
            CallOrigin::Run { wire, epoch } => self.tell_run(wire, epoch, call, answer),
        }
    }

    fn tell_client(&mut self, request: RequestNumber, attempt: u32, answer: ClientAnswer) {
        let delay = self.network.client_delay();
        let event = WorldEvent::ClientAnswered {
            request,
            attempt,
            answer,
        };
        self.schedule(event, delay);
    }

    fn tell_run(&mut self, wire: WireId, epoch: u32, call: CallId, answer: ClientAnswer) {
        let success = matches!(answer, ClientAnswer::Complete { success: true, .. });
        let event = WorldEvent::NestedEnds {
            wire,
            epoch,
            call,
            success,
        };
        self.schedule(event, LOOPBACK_DELAY);
    }

    /// The place of a nested call below a run's.
    pub(super) fn nested_place(&self, wire: WireId, visit: VisitIndex) -> Option<CallPlace> {
        let record = self.attempts.get(&wire)?;
        Some(CallPlace {
            operation: Operation {
                request: record.operation.request,
                visit,
            },
            kind: record.kind,
            client_attempt: record.client_attempt,
        })
    }
}
