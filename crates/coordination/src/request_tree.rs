//! How calls made beside this node belong to the attempts that run there.
//!
//! A call nested below an attempt is lent its share of the attempt's retry
//! allowance, cannot outlive it, and teaches the call graph what the local
//! service needs.

use std::collections::BTreeMap;
use std::sync::Arc;

use lifthollow_state::{Directory, RetryAllowance, Timestamp};

use crate::inbound::{Attempt, InboundEffect, InboundEvent, InboundId, RunResult};
use crate::outbound::{Call, CallId, OutboundEffect, OutboundEvent};
use crate::pressure::{CallGraph, CallSource, CallerIndex};
use crate::retry::AllowanceLedger;

/// The attempts in progress beside a node and the calls nested below them.
#[derive(Debug, Default)]
pub struct RequestTree {
    ledger: AllowanceLedger,
    call_graph: CallGraph,
    callers: CallerIndex,
    parents: BTreeMap<CallId, InboundId>,
    attempts: BTreeMap<InboundId, AttemptOrigin>,
}

/// Where an attempt came from and how long it may take.
#[derive(Debug)]
struct AttemptOrigin {
    source: CallSource,
    deadline: Timestamp,
}

impl RequestTree {
    /// What the local services call.
    pub fn call_graph(&self) -> &CallGraph {
        &self.call_graph
    }

    /// Where an attempt came from, until it is settled.
    pub fn source(&self, id: InboundId) -> Option<&CallSource> {
        self.attempts.get(&id).map(|origin| &origin.source)
    }

    /// The allowance that goes back with the answer of an attempt.
    pub fn settle(&mut self, id: InboundId) -> RetryAllowance {
        self.attempts.remove(&id);
        self.ledger.settle(id)
    }

    /// Notes what an inbound event means before it is decided on.
    pub fn before_inbound(&mut self, directory: &Arc<Directory>, event: &InboundEvent) {
        match event {
            InboundEvent::AttemptArrived { id, attempt } => self.arrived(directory, *id, attempt),
            InboundEvent::RunAnswered { id, result } => {
                if let RunResult::Completed { success } = *result {
                    self.call_graph.completed(*id, success);
                }
            }
            InboundEvent::RunClosed { id } | InboundEvent::AttemptCancelled { id } => {
                self.ended(*id);
            }
            InboundEvent::AnswerRecorded { .. }
            | InboundEvent::HealthReported { .. }
            | InboundEvent::Wake
            | InboundEvent::Resumed { .. }
            | InboundEvent::Leave => {}
        }
    }

    /// Notes what the decisions mean for the attempts.
    pub fn after_inbound(&mut self, effects: &[InboundEffect]) {
        for effect in effects {
            if let InboundEffect::Answer { id, .. } | InboundEffect::Replay { id, .. } = effect {
                self.call_graph.dropped(*id);
            }
        }
    }

    /// Makes a nested call inherit from the attempt it belongs to.
    pub fn before_outbound(&mut self, event: &mut OutboundEvent) {
        match event {
            OutboundEvent::CallArrived { call, description } => self.inherit(*call, description),
            OutboundEvent::CallCancelled { call } => {
                self.parents.remove(call);
            }
            _ => {}
        }
    }

    /// Takes back what answered calls did not spend.
    pub fn after_outbound(&mut self, effects: &[OutboundEffect]) {
        for effect in effects {
            let OutboundEffect::Answer { call, unspent, .. } = effect else {
                continue;
            };
            if let Some(parent) = self.parents.remove(call) {
                self.ledger.return_unspent(parent, *unspent);
            }
        }
    }

    fn arrived(&mut self, directory: &Arc<Directory>, id: InboundId, attempt: &Attempt) {
        let context = &attempt.context;
        let source = CallSource {
            service: attempt.service.clone(),
            caller: self.callers.service_of(directory, attempt.from),
        };
        let class = context.priority.class;
        self.ledger.open(id, context.allowance);
        self.call_graph.arrived(id, source.clone(), class);
        let deadline = context.deadline;
        self.attempts.insert(id, AttemptOrigin { source, deadline });
    }

    fn ended(&mut self, id: InboundId) {
        self.ledger.settle(id);
        self.call_graph.dropped(id);
        self.attempts.remove(&id);
    }

    fn inherit(&mut self, call: CallId, description: &mut Call) {
        let Some(parent) = description.parent else {
            return;
        };
        let context = &mut description.context;
        context.allowance = self.ledger.lend(parent);
        if let Some(origin) = self.attempts.get(&parent) {
            context.deadline = context.deadline.min(origin.deadline);
        }
        self.call_graph.called(parent, &description.service);
        self.parents.insert(call, parent);
    }
}
