//! Policies that are wrong on purpose, each in one way.

use std::time::Duration;

use lifthollow_coordination::baseline::{FixedInbound, FixedOutbound};
use lifthollow_coordination::inbound::{InboundEffect, InboundEvent, InboundId, InboundPolicy};
use lifthollow_coordination::outbound::{
    AttemptId, CallAnswer, OutboundEffect, OutboundEvent, OutboundPolicy,
};
use lifthollow_coordination::{Node, NodeSettings, View};
use lifthollow_protocol::{AttemptResult, LoadReport, RefusalReason};
use lifthollow_state::{PriorityClass, ServiceName, Timestamp};

/// What an outbound policy does wrong.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OutboundDefect {
    /// Repeats calls that may not be repeated.
    RepeatsEverything,
    /// Says *not run* instead of *unknown*.
    DeniesRuns,
    /// Gives each of two calls the answer of the other.
    MixesAnswers,
    /// Never tells callers that a call was given up.
    ForgetsRefusals,
}

/// A fixed policy with one defect.
struct BrokenOutbound {
    inner: FixedOutbound,
    defect: OutboundDefect,
    held: Option<OutboundEffect>,
}

impl BrokenOutbound {
    fn boxed(defect: OutboundDefect) -> Box<dyn OutboundPolicy> {
        Box::new(BrokenOutbound {
            inner: FixedOutbound::static_limits(),
            defect,
            held: None,
        })
    }

    /// Holds every other delivery back and swaps it with the next.
    fn mix(&mut self, effects: &mut Vec<OutboundEffect>) {
        for mut effect in std::mem::take(effects) {
            if let Some(attempt) = delivered(&mut effect) {
                match self.held.take() {
                    None => {
                        self.held = Some(effect);
                        continue;
                    }
                    Some(mut held) => {
                        if let Some(other) = delivered(&mut held) {
                            std::mem::swap(attempt, other);
                        }
                        effects.push(held);
                    }
                }
            }
            effects.push(effect);
        }
    }
}

fn delivered(effect: &mut OutboundEffect) -> Option<&mut AttemptId> {
    match effect {
        OutboundEffect::Answer {
            answer: CallAnswer::Deliver { attempt },
            ..
        } => Some(attempt),
        _ => None,
    }
}

fn is_not_refusal(effect: &OutboundEffect) -> bool {
    match effect {
        OutboundEffect::Answer { answer, .. } => matches!(answer, CallAnswer::Deliver { .. }),
        _ => true,
    }
}

fn deny_run(effect: &mut OutboundEffect) {
    let OutboundEffect::Answer { answer, .. } = effect else {
        return;
    };
    if let CallAnswer::Unknown { reason, .. } = *answer {
        *answer = CallAnswer::NotRun {
            reason,
            retry_after: Duration::ZERO,
        };
    }
}

impl OutboundPolicy for BrokenOutbound {
    fn handle(
        &mut self,
        now: Timestamp,
        view: &View,
        mut event: OutboundEvent,
        effects: &mut Vec<OutboundEffect>,
    ) {
        if let OutboundEvent::CallArrived { description, .. } = &mut event
            && self.defect == OutboundDefect::RepeatsEverything
        {
            description.repeatable = true;
        }
        self.inner.handle(now, view, event, effects);
        match self.defect {
            OutboundDefect::RepeatsEverything => {}
            OutboundDefect::DeniesRuns => effects.iter_mut().for_each(deny_run),
            OutboundDefect::MixesAnswers => self.mix(effects),
            OutboundDefect::ForgetsRefusals => effects.retain(is_not_refusal),
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        self.inner.next_wake()
    }
}

/// What an inbound policy does wrong.
#[derive(Clone, Copy, PartialEq, Eq)]
enum InboundDefect {
    /// Refuses important attempts while it admits others.
    RefusesImportant,
    /// Gives up its runs when it is to leave.
    CutsWhenLeaving,
}

/// A fixed policy with one defect.
struct BrokenInbound {
    inner: FixedInbound,
    defect: InboundDefect,
    running: Vec<InboundId>,
}

impl BrokenInbound {
    fn boxed(settings: &NodeSettings, defect: InboundDefect) -> Box<dyn InboundPolicy> {
        Box::new(BrokenInbound {
            inner: FixedInbound::static_limits(settings.side),
            defect,
            running: Vec::new(),
        })
    }

    fn cut_runs(&mut self, effects: &mut Vec<InboundEffect>) {
        let runs = self.running.drain(..);
        effects.extend(runs.map(|id| InboundEffect::CancelRun { id }));
    }
}

impl InboundPolicy for BrokenInbound {
    fn handle(
        &mut self,
        now: Timestamp,
        view: &View,
        event: InboundEvent,
        effects: &mut Vec<InboundEffect>,
    ) {
        if let InboundEvent::AttemptArrived { id, attempt } = &event {
            let important = attempt.context.priority.class == PriorityClass::Critical;
            if important && self.defect == InboundDefect::RefusesImportant {
                let result = AttemptResult::NotRun {
                    reason: RefusalReason::Overloaded,
                    retry_after: Duration::ZERO,
                };
                return effects.push(InboundEffect::Answer { id: *id, result });
            }
        }
        if let InboundEvent::RunClosed { id } = &event {
            self.running.retain(|running| running != id);
        }
        if event == InboundEvent::Leave && self.defect == InboundDefect::CutsWhenLeaving {
            self.cut_runs(effects);
        }
        self.inner.handle(now, view, event, effects);
        for effect in effects.iter() {
            if let InboundEffect::Run { id, .. } = effect {
                self.running.push(*id);
            }
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        self.inner.next_wake()
    }

    fn load(&self, now: Timestamp, view: &View, service: &ServiceName) -> LoadReport {
        self.inner.load(now, view, service)
    }

    fn in_progress(&self) -> usize {
        self.inner.in_progress()
    }
}

fn with_outbound(settings: NodeSettings, defect: OutboundDefect) -> Node {
    let inbound = FixedInbound::static_limits(settings.side);
    Node::with_policies(settings, BrokenOutbound::boxed(defect), Box::new(inbound))
}

fn with_inbound(settings: NodeSettings, defect: InboundDefect) -> Node {
    let inbound = BrokenInbound::boxed(&settings, defect);
    let outbound = FixedOutbound::static_limits();
    Node::with_policies(settings, Box::new(outbound), inbound)
}

/// Nodes that repeat calls that may not be repeated.
pub fn repeats_everything(settings: NodeSettings) -> Node {
    with_outbound(settings, OutboundDefect::RepeatsEverything)
}

/// Nodes that say *not run* where they do not know.
pub fn denies_runs(settings: NodeSettings) -> Node {
    with_outbound(settings, OutboundDefect::DeniesRuns)
}

/// Nodes that mix up the answers of calls.
pub fn mixes_answers(settings: NodeSettings) -> Node {
    with_outbound(settings, OutboundDefect::MixesAnswers)
}

/// Nodes that never tell callers that a call was given up.
pub fn forgets_refusals(settings: NodeSettings) -> Node {
    with_outbound(settings, OutboundDefect::ForgetsRefusals)
}

/// Nodes that refuse important attempts first.
pub fn refuses_important(settings: NodeSettings) -> Node {
    with_inbound(settings, InboundDefect::RefusesImportant)
}

/// Nodes that give up their runs when they are to leave.
pub fn cuts_when_leaving(settings: NodeSettings) -> Node {
    with_inbound(settings, InboundDefect::CutsWhenLeaving)
}
