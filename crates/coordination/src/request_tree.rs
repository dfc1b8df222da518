//! Assignment of the calls made by local back ends to the attempts that run there.
//!
//! A call nested below an attempt is lent a share of the attempt's retry allowance,
//! has no later deadline than the attempt, and is recorded in the call graph as a
//! need of the local service.

use std::collections::BTreeMap;
use std::sync::Arc;

use lifthollow_state::{Directory, RetryAllowance, Timestamp};

use crate::backpressure::{CallGraph, CallSource, CallerIndex};
use crate::inbound::{Attempt, InboundEffect, InboundEvent, InboundId, RunResult};
use crate::outbound::{Call, CallId, OutboundEffect, OutboundEvent};
use crate::retry::AllowanceLedger;

/// The attempts in progress on a node's local back ends and the calls nested below
/// them.
#[derive(Debug, Default)]
pub struct RequestTree {
    ledger: AllowanceLedger,
    call_graph: CallGraph,
    callers: CallerIndex,
    parents: BTreeMap<CallId, InboundId>,
    attempts: BTreeMap<InboundId, AttemptOrigin>,
}

/// The source of an attempt and its deadline.
#[derive(Debug)]
struct AttemptOrigin {
    source: CallSource,
    deadline: Timestamp,
}

impl RequestTree {
    /// The call graph learned from the calls of the local services.
    pub fn call_graph(&self) -> &CallGraph {
        &self.call_graph
    }

    /// The source of an attempt; none once the attempt is settled.
    pub fn source(&self, id: InboundId) -> Option<&CallSource> {
        self.attempts.get(&id).map(|origin| &origin.source)
    }

    /// Removes an attempt that is being answered and returns the unspent retry
    /// allowance that is sent back with the answer.
    pub fn settle(&mut self, id: InboundId) -> RetryAllowance {
        self.attempts.remove(&id);
        self.ledger.settle(id)
    }

    /// Records an inbound event, before the inbound policy handles it.
    pub fn record_inbound_event(&mut self, directory: &Arc<Directory>, event: &InboundEvent) {
        match event {
            InboundEvent::AttemptArrived { id, attempt } => self.insert(directory, *id, attempt),
            InboundEvent::RunAnswered { id, result } => {
                if let RunResult::Completed { success } = *result {
                    self.call_graph.record_completion(*id, success);
                }
            }
            InboundEvent::RunClosed { id } | InboundEvent::AttemptCancelled { id } => {
                self.remove_attempt(*id);
            }
            InboundEvent::AnswerRecorded { .. }
            | InboundEvent::HealthReported { .. }
            | InboundEvent::Wake
            | InboundEvent::Resumed { .. }
            | InboundEvent::Leave => {}
        }
    }

    /// Records the actions that the inbound policy requested.
    pub fn record_inbound_effects(&mut self, effects: &[InboundEffect]) {
        for effect in effects {
            if let InboundEffect::Answer { id, .. } | InboundEffect::Replay { id, .. } = effect {
                self.call_graph.remove_run(*id);
            }
        }
    }

    /// Records an outbound event, before the outbound policy handles it. A nested
    /// call gets its allowance and its latest deadline from its attempt.
    pub fn prepare_outbound_event(&mut self, event: &mut OutboundEvent) {
        match event {
            OutboundEvent::CallArrived { call, description } => self.inherit(*call, description),
            OutboundEvent::CallCancelled { call } => {
                self.parents.remove(call);
            }
            _ => {}
        }
    }

    /// Adds the allowance that answered nested calls did not spend back to their
    /// attempts.
    pub fn record_outbound_effects(&mut self, effects: &[OutboundEffect]) {
        for effect in effects {
            let OutboundEffect::Answer { call, unspent, .. } = effect else {
                continue;
            };
            if let Some(parent) = self.parents.remove(call) {
                self.ledger.return_unspent(parent, *unspent);
            }
        }
    }

    fn insert(&mut self, directory: &Arc<Directory>, id: InboundId, attempt: &Attempt) {
        let context = &attempt.context;
        let source = CallSource {
            service: attempt.service.clone(),
            caller: self.callers.service_of(directory, attempt.from),
        };
        let class = context.priority.class;
        self.ledger.open(id, context.allowance);
        self.call_graph.add_run(id, source.clone(), class);
        let deadline = context.deadline;
        self.attempts.insert(id, AttemptOrigin { source, deadline });
    }

    fn remove_attempt(&mut self, id: InboundId) {
        self.ledger.settle(id);
        self.call_graph.remove_run(id);
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
        self.call_graph.record_call(parent, &description.service);
        self.parents.insert(call, parent);
    }
}
