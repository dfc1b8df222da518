//! One lifthollow process, composed of its fleet state and its outbound and inbound
//! policies.

mod settings;

use std::time::Duration;

use lifthollow_protocol::{
    AdmissionLevel, AttemptResult, ControlMessage, LoadReport, RefusalReason,
};
use lifthollow_state::{IdempotencyKey, RetryAllowance, ServiceName, Timestamp};

use crate::backpressure::{CallSource, downstream_level};
use crate::claims::gate::{ClaimGate, GateEffect};
use crate::claims::{ClaimSettings, Envelope, KeyReport};
use crate::fleet::{Fleet, FleetEffect, FleetEvent};
use crate::inbound::{InboundEffect, InboundEvent, InboundId, InboundPolicy};
use crate::outbound::{EdgeReport, OutboundEffect, OutboundEvent, OutboundPolicy};
use crate::request_tree::RequestTree;
use crate::view::View;

pub use settings::NodeSettings;

/// An event that a node must handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// An event about a call of a local caller.
    Outbound(OutboundEvent),
    /// An event about an attempt for a local back end.
    Inbound(InboundEvent),
    /// An event from the platform or from other nodes.
    Fleet(FleetEvent),
    /// The time returned by [`Node::next_wake`] was reached.
    Wake,
}

/// An action that a node requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEffect {
    /// An action on a call of a local caller.
    Outbound(OutboundEffect),
    /// An action on an attempt for a local back end.
    Inbound(InboundEffect),
    /// An action directed to the platform or to other nodes.
    Fleet(FleetEffect),
}

/// A scheduled wake that is late by more than this means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Longest interval between two wakes of a node, so that it detects pauses of the
/// process.
const MAX_WAKE_INTERVAL: Duration = Duration::from_millis(100);

/// Answer of a leaving node to new attempts; they may be retried on other servers at
/// once.
const LEAVING_REFUSAL: AttemptResult = AttemptResult::NotRun {
    reason: RefusalReason::Leaving,
    retry_after: Duration::ZERO,
};

/// State of one lifthollow process.
pub struct Node {
    settings: NodeSettings,
    fleet: Fleet,
    outbound: Box<dyn OutboundPolicy>,
    inbound: Box<dyn InboundPolicy>,
    request_tree: RequestTree,
    claims: Option<ClaimGate>,
    last_handled: Option<Timestamp>,
}

impl Node {
    /// Creates a node with the policies that its settings name and no other state.
    pub fn new(settings: NodeSettings) -> Self {
        let (outbound, inbound) = settings.create_policies();
        Node::with_policies(settings, outbound, inbound)
    }

    /// Creates a node with the given policies in place of those its settings name,
    /// so that checks can be tested with policies that are wrong on purpose.
    pub fn with_policies(
        settings: NodeSettings,
        outbound: Box<dyn OutboundPolicy>,
        inbound: Box<dyn InboundPolicy>,
    ) -> Self {
        Node {
            fleet: Fleet::new(settings.fleet_settings()),
            settings,
            outbound,
            inbound,
            request_tree: RequestTree::default(),
            claims: None,
            last_handled: None,
        }
    }

    /// Makes attempts with an idempotency key run only under a claim. Without this
    /// they run like all others.
    pub fn with_claims(self, settings: ClaimSettings) -> Self {
        Node {
            claims: Some(ClaimGate::new(settings)),
            ..self
        }
    }

    /// What this node's replica has recorded about an idempotency key; none if the
    /// node runs without claims.
    pub fn key_report(&self, now: Timestamp, key: IdempotencyKey) -> Option<KeyReport> {
        self.claims.as_ref()?.report(now, key)
    }

    /// Whether the node is stopping and has yet to hand its claims over.
    pub fn is_handing_over(&self) -> bool {
        self.claims.as_ref().is_some_and(ClaimGate::is_handing_over)
    }

    /// The settings that the node was created with.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// The table in force and the servers that this node knows.
    pub fn view(&self) -> &View {
        self.fleet.view()
    }

    /// The node's state of the fleet.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The load of a local service, to be sent with the answer to attempt `id`. Its
    /// admission level includes that of the downstream services which calls from
    /// the attempt's source need. This must be called before the attempt is
    /// settled.
    pub fn load_with_downstream(
        &self,
        now: Timestamp,
        service: &ServiceName,
        id: InboundId,
    ) -> LoadReport {
        let mut load = self.load(now, service);
        if let Some(source) = self.request_tree.source(id) {
            let needed = self.downstream_level(now, source);
            load.admission_level = load.admission_level.max(needed);
        }
        load
    }

    /// Reports for operators on the services called from this node.
    pub fn edges(&self, now: Timestamp) -> Vec<EdgeReport> {
        self.outbound.reports(now, self.fleet.view())
    }

    /// The load of a local service, without that of downstream services.
    pub fn load(&self, now: Timestamp, service: &ServiceName) -> LoadReport {
        let mut load = self.inbound.load(now, self.fleet.view(), service);
        load.leaving |= !self.fleet.takes_new_work();
        load
    }

    /// Closes the retry account of an attempt and returns the retries lent to it
    /// that it has not spent, to be sent with its answer. This must be called once,
    /// when [`InboundEffect::Answer`] is carried out: retries that the attempt's
    /// calls return later count as spent.
    pub fn close_allowance(&mut self, id: InboundId) -> RetryAllowance {
        self.request_tree.settle(id)
    }

    /// Number of attempts queued for or running on the local back ends.
    pub fn in_progress(&self) -> usize {
        self.inbound.in_progress()
    }

    /// The latest time at which [`NodeEvent::Wake`] must be handled next.
    pub fn next_wake(&self, now: Timestamp) -> Timestamp {
        let wakes = [
            self.fleet.next_wake(),
            self.outbound.next_wake(),
            self.inbound.next_wake(),
            self.claims.as_ref().and_then(ClaimGate::next_wake),
            Some(now + MAX_WAKE_INTERVAL),
        ];
        wakes.into_iter().flatten().min().unwrap_or(now)
    }

    /// Handles one event and appends the requested actions to `effects`.
    pub fn handle(&mut self, now: Timestamp, event: NodeEvent, effects: &mut Vec<NodeEffect>) {
        self.detect_pause(now, effects);
        match event {
            NodeEvent::Outbound(event) => self.handle_outbound(now, event, effects),
            NodeEvent::Inbound(event) => self.handle_inbound(now, event, effects),
            NodeEvent::Fleet(event) => self.handle_fleet(now, event, effects),
            NodeEvent::Wake => self.wake(now, effects),
        }
    }

    /// Detects pauses of the process and reports them to the policies. A long gap
    /// between events means that the process did not run meanwhile, because it wakes
    /// at least every [`MAX_WAKE_INTERVAL`].
    fn detect_pause(&mut self, now: Timestamp, effects: &mut Vec<NodeEffect>) {
        let previous = self.last_handled.replace(now);
        let gap = previous.map_or(Duration::ZERO, |previous| now - previous);
        if gap <= MAX_WAKE_INTERVAL + PAUSE_THRESHOLD {
            return;
        }
        let paused_for = gap;
        self.handle_inbound(now, InboundEvent::Resumed { paused_for }, effects);
        self.handle_outbound(now, OutboundEvent::Resumed { paused_for }, effects);
    }

    fn wake(&mut self, now: Timestamp, effects: &mut Vec<NodeEffect>) {
        self.handle_fleet(now, FleetEvent::Wake, effects);
        self.handle_inbound(now, InboundEvent::Wake, effects);
        self.handle_outbound(now, OutboundEvent::Wake, effects);
        let gate_effects = self.claims.as_mut().map(|claims| claims.wake(now));
        self.carry_out_gate_effects(now, gate_effects, effects);
    }

    fn handle_outbound(
        &mut self,
        now: Timestamp,
        mut event: OutboundEvent,
        effects: &mut Vec<NodeEffect>,
    ) {
        self.request_tree.prepare_outbound_event(&mut event);
        let mut outbound_effects = Vec::new();
        self.outbound
            .handle(now, self.fleet.view(), event, &mut outbound_effects);
        self.request_tree.record_outbound_effects(&outbound_effects);
        effects.extend(outbound_effects.into_iter().map(NodeEffect::Outbound));
    }

    /// Handles an inbound event. A planned stop is announced to the fleet as well.
    /// While the node leaves, new attempts are answered as not run, including those
    /// of nodes that have not yet been notified.
    fn handle_inbound(
        &mut self,
        now: Timestamp,
        event: InboundEvent,
        effects: &mut Vec<NodeEffect>,
    ) {
        if event == InboundEvent::Leave {
            self.handle_fleet(now, FleetEvent::Leave, effects);
        }
        if let InboundEvent::AttemptArrived { id, .. } = event
            && !self.fleet.takes_new_work()
        {
            return self.refuse_while_leaving(id, &event, effects);
        }
        self.process_inbound(now, event, effects);
    }

    fn refuse_while_leaving(
        &mut self,
        id: InboundId,
        event: &InboundEvent,
        effects: &mut Vec<NodeEffect>,
    ) {
        let result = LEAVING_REFUSAL;
        let refusal = InboundEffect::Answer { id, result };
        self.request_tree
            .record_inbound_event(&self.fleet.view().directory, event);
        self.request_tree
            .record_inbound_effects(std::slice::from_ref(&refusal));
        effects.push(NodeEffect::Inbound(refusal));
    }

    fn process_inbound(
        &mut self,
        now: Timestamp,
        event: InboundEvent,
        effects: &mut Vec<NodeEffect>,
    ) {
        let gate_effects = self
            .claims
            .as_mut()
            .map(|claims| claims.observe_inbound_event(now, &event));
        self.request_tree
            .record_inbound_event(&self.fleet.view().directory, &event);
        self.apply_downstream_level(now, &event);
        self.run_inbound_policy(now, event, effects);
        self.carry_out_gate_effects(now, gate_effects, effects);
    }

    /// Passes an event to the inbound policy. With claims, the runs that the policy
    /// requests are claimed first.
    fn run_inbound_policy(
        &mut self,
        now: Timestamp,
        event: InboundEvent,
        effects: &mut Vec<NodeEffect>,
    ) {
        let mut inbound_effects = Vec::new();
        self.inbound
            .handle(now, self.fleet.view(), event, &mut inbound_effects);
        self.request_tree.record_inbound_effects(&inbound_effects);
        for effect in inbound_effects {
            match self.claims.as_mut() {
                None => effects.push(NodeEffect::Inbound(effect)),
                Some(claims) => {
                    let gate_effects = claims.filter_effect(now, effect);
                    self.carry_out_gate_effects(now, Some(gate_effects), effects);
                }
            }
        }
    }

    fn carry_out_gate_effects(
        &mut self,
        now: Timestamp,
        gate_effects: Option<Vec<GateEffect>>,
        effects: &mut Vec<NodeEffect>,
    ) {
        for effect in gate_effects.into_iter().flatten() {
            match effect {
                GateEffect::Send(Envelope { to, message }) => {
                    let message = ControlMessage::Claim(message);
                    effects.push(NodeEffect::Fleet(FleetEffect::Send { to, message }));
                }
                GateEffect::Inbound(effect) => {
                    self.request_tree
                        .record_inbound_effects(std::slice::from_ref(&effect));
                    effects.push(NodeEffect::Inbound(effect));
                }
                GateEffect::NotRun { id } => {
                    self.run_inbound_policy(now, InboundEvent::RunClosed { id }, effects);
                }
            }
        }
    }

    /// Sets the admission level of the needed downstream services on the inbound
    /// policy before it decides on an attempt, so that calls which those services
    /// would refuse are refused here as well.
    fn apply_downstream_level(&mut self, now: Timestamp, event: &InboundEvent) {
        let InboundEvent::AttemptArrived { id, attempt } = event else {
            return;
        };
        if let Some(source) = self.request_tree.source(*id) {
            let level = self.downstream_level(now, source);
            self.inbound.set_downstream_level(&attempt.service, level);
        }
    }

    /// The lowest priority that the downstream services needed by calls from
    /// `source` admit.
    fn downstream_level(&self, now: Timestamp, source: &CallSource) -> AdmissionLevel {
        downstream_level(self.request_tree.call_graph(), source, |needed| {
            self.outbound.level(now, self.fleet.view(), needed)
        })
    }

    fn handle_fleet(&mut self, now: Timestamp, event: FleetEvent, effects: &mut Vec<NodeEffect>) {
        if let FleetEvent::Message {
            from,
            message: ControlMessage::Claim(message),
        } = event
        {
            let claims = self.claims.as_mut();
            let gate_effects = claims.map(|claims| claims.receive(now, from, message));
            return self.carry_out_gate_effects(now, gate_effects, effects);
        }
        let mut fleet_effects = Vec::new();
        self.fleet.handle(now, event, &mut fleet_effects);
        effects.extend(fleet_effects.into_iter().map(NodeEffect::Fleet));
    }
}
