//! One lifthollow process: fleet, outbound and inbound decisions composed.

mod settings;

use std::time::Duration;

use lifthollow_protocol::{
    AdmissionLevel, AttemptResult, ControlMessage, LoadReport, RefusalReason,
};
use lifthollow_state::{IdempotencyKey, RetryAllowance, ServiceName, Timestamp};

use crate::claims::gate::{ClaimGate, GateEffect};
use crate::claims::{ClaimSettings, Envelope, KeyReport};
use crate::fleet::{Fleet, FleetEffect, FleetEvent};
use crate::inbound::{InboundEffect, InboundEvent, InboundId, InboundPolicy};
use crate::outbound::{EdgeReport, OutboundEffect, OutboundEvent, OutboundPolicy};
use crate::pressure::{CallSource, downstream_level};
use crate::request_tree::RequestTree;
use crate::view::View;

pub use settings::NodeSettings;

/// Everything that can happen to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// Calls of local callers.
    Outbound(OutboundEvent),
    /// Attempts for the back end beside the node.
    Inbound(InboundEvent),
    /// The platform and other nodes.
    Fleet(FleetEvent),
    /// The time asked for with [`Node::next_wake`] has come.
    Wake,
}

/// Everything a node can want done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEffect {
    /// For the caller's side.
    Outbound(OutboundEffect),
    /// For the server's side.
    Inbound(InboundEffect),
    /// For the platform and other nodes.
    Fleet(FleetEffect),
}

/// A wake this much later than asked for means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// A node wakes at least this often, so that it notices pauses.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// What a leaving node answers to new work; other servers take it at once.
const LEAVING_ANSWER: AttemptResult = AttemptResult::NotRun {
    reason: RefusalReason::Leaving,
    retry_after: Duration::ZERO,
};

/// One process of lifthollow.
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
    /// A node that knows nothing yet but its settings.
    pub fn new(settings: NodeSettings) -> Self {
        let (outbound, inbound) = settings.decisions();
        Node::with_policies(settings, outbound, inbound)
    }

    /// A node that runs the given decisions in place of those its settings name,
    /// so that checks can be tried on decisions that are wrong on purpose.
    pub fn with_policies(
        settings: NodeSettings,
        outbound: Box<dyn OutboundPolicy>,
        inbound: Box<dyn InboundPolicy>,
    ) -> Self {
        Node {
            fleet: Fleet::new(settings.for_fleet()),
            settings,
            outbound,
            inbound,
            request_tree: RequestTree::default(),
            claims: None,
            last_handled: None,
        }
    }

    /// Lets attempts with an idempotency key run only under a claim. Without this
    /// they run like others.
    pub fn with_claims(self, settings: ClaimSettings) -> Self {
        Node {
            claims: Some(ClaimGate::new(settings)),
            ..self
        }
    }

    /// What this node's replica knows of a key; none without claims.
    pub fn key_report(&self, now: Timestamp, key: IdempotencyKey) -> Option<KeyReport> {
        self.claims.as_ref()?.report(now, key)
    }

    /// Whether the node, told to stop, has yet to hand its claims over.
    pub fn is_handing_over(&self) -> bool {
        self.claims.as_ref().is_some_and(ClaimGate::is_handing_over)
    }

    /// The settings the node was made with.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// The table in force and the servers known.
    pub fn view(&self) -> &View {
        self.fleet.view()
    }

    /// What is known of the fleet.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The load of a local service, to be sent with the answer of an attempt:
    /// it includes what the services needed by calls from there refuse. To be
    /// asked for before the attempt is settled.
    pub fn load_for_caller(
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

    /// What there is to tell operators of the services called from this node.
    pub fn edges(&self, now: Timestamp) -> Vec<EdgeReport> {
        self.outbound.reports(now, self.fleet.view())
    }

    /// The load of a local service.
    pub fn load(&self, now: Timestamp, service: &ServiceName) -> LoadReport {
        let mut load = self.inbound.load(now, self.fleet.view(), service);
        load.leaving |= !self.fleet.takes_new_work();
        load
    }

    /// The retries that an attempt was lent and has not spent, to be sent with
    /// its answer. To be called once, when [`InboundEffect::Answer`] is carried
    /// out: what the attempt's calls give back later stays spent.
    pub fn settle_allowance(&mut self, id: InboundId) -> RetryAllowance {
        self.request_tree.settle(id)
    }

    /// Attempts queued or running beside this node.
    pub fn in_progress(&self) -> usize {
        self.inbound.in_progress()
    }

    /// When [`NodeEvent::Wake`] is wanted next, at the latest.
    pub fn next_wake(&self, now: Timestamp) -> Timestamp {
        let wakes = [
            self.fleet.next_wake(),
            self.outbound.next_wake(),
            self.inbound.next_wake(),
            self.claims.as_ref().and_then(ClaimGate::next_wake),
            Some(now + HEARTBEAT_INTERVAL),
        ];
        wakes.into_iter().flatten().min().unwrap_or(now)
    }

    /// Takes in one event and appends what is to be done to `effects`.
    pub fn handle(&mut self, now: Timestamp, event: NodeEvent, effects: &mut Vec<NodeEffect>) {
        self.notice_pause(now, effects);
        match event {
            NodeEvent::Outbound(event) => self.handle_outbound(now, event, effects),
            NodeEvent::Inbound(event) => self.handle_inbound(now, event, effects),
            NodeEvent::Fleet(event) => self.handle_fleet(now, event, effects),
            NodeEvent::Wake => self.wake(now, effects),
        }
    }

    /// A long gap between events means that the process did not run meanwhile,
    /// because it wakes at least every [`HEARTBEAT_INTERVAL`].
    fn notice_pause(&mut self, now: Timestamp, effects: &mut Vec<NodeEffect>) {
        let previous = self.last_handled.replace(now);
        let gap = previous.map_or(Duration::ZERO, |previous| now - previous);
        if gap <= HEARTBEAT_INTERVAL + PAUSE_THRESHOLD {
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
        let claimed = self.claims.as_mut().map(|claims| claims.wake(now));
        self.carry_out_claims(now, claimed, effects);
    }

    fn handle_outbound(
        &mut self,
        now: Timestamp,
        mut event: OutboundEvent,
        effects: &mut Vec<NodeEffect>,
    ) {
        self.request_tree.before_outbound(&mut event);
        let mut outbound_effects = Vec::new();
        self.outbound
            .handle(now, self.fleet.view(), event, &mut outbound_effects);
        self.request_tree.after_outbound(&outbound_effects);
        effects.extend(outbound_effects.into_iter().map(NodeEffect::Outbound));
    }

    /// A planned stop is announced to the fleet as well. While the node leaves,
    /// new attempts are refused as not run, whoever has not heard of it yet.
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
        self.decide_inbound(now, event, effects);
    }

    fn refuse_while_leaving(
        &mut self,
        id: InboundId,
        event: &InboundEvent,
        effects: &mut Vec<NodeEffect>,
    ) {
        let result = LEAVING_ANSWER;
        let refusal = InboundEffect::Answer { id, result };
        self.request_tree
            .before_inbound(&self.fleet.view().directory, event);
        self.request_tree
            .after_inbound(std::slice::from_ref(&refusal));
        effects.push(NodeEffect::Inbound(refusal));
    }

    fn decide_inbound(
        &mut self,
        now: Timestamp,
        event: InboundEvent,
        effects: &mut Vec<NodeEffect>,
    ) {
        let claimed = self
            .claims
            .as_mut()
            .map(|claims| claims.observe(now, &event));
        self.request_tree
            .before_inbound(&self.fleet.view().directory, &event);
        self.pass_on_pressure(now, &event);
        self.ask_inbound(now, event, effects);
        self.carry_out_claims(now, claimed, effects);
    }

    /// Lets the inbound policy decide. What it wants to run is claimed first.
    fn ask_inbound(&mut self, now: Timestamp, event: InboundEvent, effects: &mut Vec<NodeEffect>) {
        let mut inbound_effects = Vec::new();
        self.inbound
            .handle(now, self.fleet.view(), event, &mut inbound_effects);
        self.request_tree.after_inbound(&inbound_effects);
        for effect in inbound_effects {
            match self.claims.as_mut() {
                None => effects.push(NodeEffect::Inbound(effect)),
                Some(claims) => {
                    let claimed = claims.filter(now, effect);
                    self.carry_out_claims(now, Some(claimed), effects);
                }
            }
        }
    }

    fn carry_out_claims(
        &mut self,
        now: Timestamp,
        claimed: Option<Vec<GateEffect>>,
        effects: &mut Vec<NodeEffect>,
    ) {
        for effect in claimed.into_iter().flatten() {
            match effect {
                GateEffect::Send(Envelope { to, message }) => {
                    let message = ControlMessage::Claim(message);
                    effects.push(NodeEffect::Fleet(FleetEffect::Send { to, message }));
                }
                GateEffect::Inbound(effect) => {
                    self.request_tree
                        .after_inbound(std::slice::from_ref(&effect));
                    effects.push(NodeEffect::Inbound(effect));
                }
                GateEffect::NotRun { id } => {
                    self.ask_inbound(now, InboundEvent::RunClosed { id }, effects);
                }
            }
        }
    }

    /// What the services needed further down refuse is refused here as well.
    fn pass_on_pressure(&mut self, now: Timestamp, event: &InboundEvent) {
        let InboundEvent::AttemptArrived { id, attempt } = event else {
            return;
        };
        if let Some(source) = self.request_tree.source(*id) {
            let level = self.downstream_level(now, source);
            self.inbound.set_downstream_level(&attempt.service, level);
        }
    }

    /// The lowest priority that the services needed by calls from `source`
    /// admit.
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
            let claimed = claims.map(|claims| claims.receive(now, from, message));
            return self.carry_out_claims(now, claimed, effects);
        }
        let mut fleet_effects = Vec::new();
        self.fleet.handle(now, event, &mut fleet_effects);
        effects.extend(fleet_effects.into_iter().map(NodeEffect::Fleet));
    }
}
