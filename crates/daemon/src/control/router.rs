//! Routes effects to the tasks of the calls and attempts that they belong to.

use std::collections::BTreeMap;

use lifthollow_coordination::inbound::InboundId;
use lifthollow_coordination::outbound::{AttemptId, CallId, OutboundEffect};
use lifthollow_state::{RequestId, ServiceName};

use crate::control::AttemptEffect;

/// Channels to the tasks of calls and attempts in progress.
#[derive(Default)]
pub(super) struct Router {
    calls: BTreeMap<CallId, CallRoute>,
    attempt_calls: BTreeMap<AttemptId, CallId>,
    inbound: BTreeMap<InboundId, InboundRoute>,
}

/// The service and request of a call or an attempt.
#[derive(Clone, Debug)]
pub(super) struct Subject {
    pub(super) service: ServiceName,
    pub(super) request: RequestId,
}

struct CallRoute {
    subject: Subject,
    effects: flume::Sender<OutboundEffect>,
    attempts: Vec<AttemptId>,
}

struct InboundRoute {
    subject: Subject,
    effects: flume::Sender<AttemptEffect>,
}

impl Router {
    pub(super) fn add_call(
        &mut self,
        id: CallId,
        subject: Subject,
        effects: flume::Sender<OutboundEffect>,
    ) {
        let route = CallRoute {
            subject,
            effects,
            attempts: Vec::new(),
        };
        self.calls.insert(id, route);
    }

    pub(super) fn remove_call(&mut self, id: CallId) {
        let Some(route) = self.calls.remove(&id) else {
            return;
        };
        for attempt in route.attempts {
            self.attempt_calls.remove(&attempt);
        }
    }

    pub(super) fn call_subject(&self, id: CallId) -> Option<&Subject> {
        self.calls.get(&id).map(|route| &route.subject)
    }

    /// Sends an effect to the task of its call.
    pub(super) fn route_call(&mut self, effect: OutboundEffect) {
        match effect {
            OutboundEffect::Dispatch { call, attempt, .. } => {
                if let Some(route) = self.calls.get_mut(&call) {
                    route.attempts.push(attempt);
                    self.attempt_calls.insert(attempt, call);
                }
                self.send_to_call(call, effect);
            }
            OutboundEffect::Cancel { attempt } => {
                if let Some(call) = self.attempt_calls.get(&attempt).copied() {
                    self.send_to_call(call, effect);
                }
            }
            OutboundEffect::Answer { call, .. } => {
                self.send_to_call(call, effect);
                self.remove_call(call);
            }
        }
    }

    fn send_to_call(&self, call: CallId, effect: OutboundEffect) {
        if let Some(route) = self.calls.get(&call) {
            let _ = route.effects.send(effect);
        }
    }

    pub(super) fn add_inbound(
        &mut self,
        id: InboundId,
        subject: Subject,
        effects: flume::Sender<AttemptEffect>,
    ) {
        self.inbound.insert(id, InboundRoute { subject, effects });
    }

    pub(super) fn remove_inbound(&mut self, id: InboundId) {
        self.inbound.remove(&id);
    }

    pub(super) fn inbound_subject(&self, id: InboundId) -> Option<&Subject> {
        self.inbound.get(&id).map(|route| &route.subject)
    }

    /// Sends an effect to the task of its attempt.
    pub(super) fn route_inbound(&self, id: InboundId, effect: AttemptEffect) {
        if let Some(route) = self.inbound.get(&id) {
            let _ = route.effects.send(effect);
        }
    }

    /// Number of calls in progress.
    pub(super) fn calls(&self) -> usize {
        self.calls.len()
    }
}
