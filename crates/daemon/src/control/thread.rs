//! The loop of the control thread.

use std::sync::Arc;
use std::time::Duration;

use flume::RecvTimeoutError;
use slog::{Logger, info, warn};

use lifthollow_coordination::fleet::FleetEffect;
use lifthollow_coordination::inbound::{InboundEffect, InboundEvent, InboundId};
use lifthollow_coordination::outbound::{CallAnswer, CallId, OutboundEffect, OutboundEvent};
use lifthollow_coordination::{Node, NodeEffect, NodeEvent};
use lifthollow_protocol::operators::{KnownMember, Outcome, Refusal, RefusalState};
use lifthollow_protocol::{AttemptResult, RecordedAnswer, RefusalReason};
use lifthollow_state::Timestamp;
use lifthollow_transport::datagram::DatagramSender;

use crate::control::router::{Router, Subject};
use crate::control::{AttemptEffect, ControlInput, SharedState, snapshot};
use crate::operators::{Metrics, RefusalLog, state_of_load, state_of_servers};
use crate::platform::PlatformRequest;
use lifthollow_transport::clock::Clock;

/// Interval at which the node's status is posted for operators.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// The parts from which a [`ControlThread`] is created.
pub struct ControlParts {
    /// The node's decision logic.
    pub node: Node,
    /// The process's clock.
    pub clock: Clock,
    /// Channel of incoming messages.
    pub inputs: flume::Receiver<ControlInput>,
    /// Socket for outgoing datagrams.
    pub socket: DatagramSender,
    /// Channel for requests to the thread that reads the platform's service.
    pub platform: flume::Sender<PlatformRequest>,
    /// State posted for other threads.
    pub shared: Arc<SharedState>,
    /// Recent refusals, for operators.
    pub refusals: Arc<RefusalLog>,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// The node's logger.
    pub log: Logger,
}

/// The control thread's state.
pub struct ControlThread {
    parts: ControlParts,
    router: Router,
    effects: Vec<NodeEffect>,
    leaving: bool,
    next_status: Timestamp,
}

impl ControlThread {
    /// Creates a control thread that has handled no messages yet.
    pub fn new(parts: ControlParts) -> Self {
        ControlThread {
            parts,
            router: Router::default(),
            effects: Vec::new(),
            leaving: false,
            next_status: Timestamp::ZERO,
        }
    }

    /// Handles messages until [`ControlInput::Stop`] arrives.
    pub fn run(mut self) {
        self.handle(NodeEvent::Wake);
        loop {
            let now = self.parts.clock.now();
            self.post_status_if_due(now);
            let wake = self.parts.node.next_wake(now).min(self.next_status);
            let wake = self.parts.clock.instant(wake);
            match self.parts.inputs.recv_deadline(wake) {
                Ok(ControlInput::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => self.handle(NodeEvent::Wake),
            }
        }
    }

    fn handle_input(&mut self, input: ControlInput) {
        match input {
            ControlInput::CallArrived {
                id,
                description,
                effects,
            } => {
                let subject = Subject {
                    service: description.service.clone(),
                    request: description.context.request,
                };
                self.router.add_call(id, subject, effects);
                let arrived = OutboundEvent::CallArrived {
                    call: id,
                    description: *description,
                };
                self.handle(NodeEvent::Outbound(arrived));
            }
            ControlInput::AttemptArrived {
                id,
                attempt,
                effects,
            } => {
                let subject = Subject {
                    service: attempt.service.clone(),
                    request: attempt.context.request,
                };
                self.router.add_inbound(id, subject, effects);
                let attempt = *attempt;
                self.handle(NodeEvent::Inbound(InboundEvent::AttemptArrived {
                    id,
                    attempt,
                }));
            }
            ControlInput::Event(event) => self.handle_input_event(event),
            ControlInput::AttemptReleased { id } => self.router.remove_inbound(id),
            ControlInput::KeyAsked { key, reply } => {
                let now = self.parts.clock.now();
                let _ = reply.send(self.parts.node.key_report(now, key));
            }
            ControlInput::HandoverAsked { reply } => {
                let _ = reply.send(self.parts.node.is_handing_over());
            }
            ControlInput::MembersAsked { reply } => self.send_members(&reply),
            ControlInput::Leave => self.leave(),
            ControlInput::Stop => {}
        }
    }

    /// Handles an event. The last event of a call or an attempt also removes its
    /// route.
    fn handle_input_event(&mut self, event: NodeEvent) {
        let cancelled_call = match &event {
            NodeEvent::Outbound(OutboundEvent::CallCancelled { call }) => Some(*call),
            _ => None,
        };
        let closed_attempt = match &event {
            NodeEvent::Inbound(InboundEvent::RunClosed { id }) => Some(*id),
            _ => None,
        };
        self.handle(event);
        if let Some(call) = cancelled_call {
            self.router.remove_call(call);
        }
        if let Some(attempt) = closed_attempt {
            self.router.remove_inbound(attempt);
        }
    }

    fn leave(&mut self) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.handle(NodeEvent::Inbound(InboundEvent::Leave));
    }

    fn handle(&mut self, event: NodeEvent) {
        let now = self.parts.clock.now();
        let mut effects = std::mem::take(&mut self.effects);
        let table_before = self.parts.node.view().table.version();
        let directory_before = self.parts.node.view().directory.clone();
        self.parts.node.handle(now, event, &mut effects);
        let view = self.parts.node.view();
        let same_directory = Arc::ptr_eq(&view.directory, &directory_before);
        if view.table.version() != table_before || !same_directory {
            self.parts.shared.post_view(view.clone());
        }
        for effect in effects.drain(..) {
            self.execute_effect(now, effect);
        }
        self.effects = effects;
    }

    fn execute_effect(&mut self, now: Timestamp, effect: NodeEffect) {
        match effect {
            NodeEffect::Outbound(effect) => self.execute_outbound_effect(now, effect),
            NodeEffect::Inbound(effect) => self.execute_inbound_effect(now, effect),
            NodeEffect::Fleet(effect) => self.execute_fleet_effect(effect),
        }
    }

    fn execute_outbound_effect(&mut self, now: Timestamp, effect: OutboundEffect) {
        if let OutboundEffect::Answer { call, answer, .. } = &effect {
            self.record_call_refusal(now, *call, answer);
        }
        self.router.route_call(effect);
    }

    fn record_call_refusal(&self, now: Timestamp, call: CallId, answer: &CallAnswer) {
        let Some(subject) = self.router.call_subject(call) else {
            return;
        };
        let (reason, outcome) = match answer {
            CallAnswer::Deliver { .. } => return,
            CallAnswer::NotRun { reason, .. } => (*reason, Outcome::NotRun),
            CallAnswer::Unknown { reason, .. } => (*reason, Outcome::Unknown),
        };
        let view = self.parts.node.view();
        let state = state_of_servers(view, &subject.service);
        self.record_refusal(now, subject, reason, outcome, state);
    }

    fn record_refusal(
        &self,
        now: Timestamp,
        subject: &Subject,
        reason: RefusalReason,
        outcome: Outcome,
        state: RefusalState,
    ) {
        self.parts
            .metrics
            .refused(&subject.service, state.place(), reason);
        self.parts.refusals.add(Refusal {
            at_seconds: now.as_secs_f64(),
            service: subject.service.to_string(),
            request: format!("{:032x}", subject.request.0),
            outcome,
            reason,
            state,
        });
    }

    fn execute_inbound_effect(&mut self, now: Timestamp, effect: InboundEffect) {
        match effect {
            InboundEffect::Run { id, deadline } => self.run_attempt(id, deadline, None),
            InboundEffect::RunClaimed {
                id,
                deadline,
                start_before,
            } => self.run_attempt(id, deadline, Some(start_before)),
            InboundEffect::Replay { id, answer } => self.replay(now, id, answer),
            InboundEffect::CancelRun { id } => {
                self.router.route_inbound(id, AttemptEffect::CancelRun);
            }
            InboundEffect::Answer { id, result } => self.answer_attempt(now, id, result),
        }
    }

    fn run_attempt(&self, id: InboundId, deadline: Timestamp, start_before: Option<Timestamp>) {
        let effect = AttemptEffect::Run {
            deadline,
            start_before,
        };
        self.router.route_inbound(id, effect);
    }

    fn replay(&mut self, now: Timestamp, id: InboundId, answer: RecordedAnswer) {
        let Some(subject) = self.router.inbound_subject(id) else {
            return;
        };
        let effect = AttemptEffect::Replay {
            answer,
            load: self.parts.node.load(now, &subject.service),
            unspent: self.parts.node.close_allowance(id),
        };
        self.router.route_inbound(id, effect);
    }

    fn answer_attempt(&mut self, now: Timestamp, id: InboundId, result: AttemptResult) {
        let Some(subject) = self.router.inbound_subject(id) else {
            return;
        };
        let load = self
            .parts
            .node
            .load_with_downstream(now, &subject.service, id);
        if let AttemptResult::NotRun { reason, .. } = result {
            let state = state_of_load(load);
            self.record_refusal(now, subject, reason, Outcome::NotRun, state);
        }
        let effect = AttemptEffect::Answer {
            result,
            load,
            unspent: self.parts.node.close_allowance(id),
        };
        self.router.route_inbound(id, effect);
    }

    fn execute_fleet_effect(&mut self, effect: FleetEffect) {
        match effect {
            FleetEffect::FetchTable => self.ask_platform(PlatformRequest::Table),
            FleetEffect::FetchMachines => self.ask_platform(PlatformRequest::Machines),
            FleetEffect::Send { to, message } => {
                let sent = self.parts.socket.send(to, &message);
                self.parts.metrics.datagram_sent(sent.is_ok());
            }
            FleetEffect::Report(report) if report.is_warning() => {
                warn!(self.parts.log, "fleet"; "report" => report.as_str(), "detail" => %report);
            }
            FleetEffect::Report(report) => {
                info!(self.parts.log, "fleet"; "report" => report.as_str(), "detail" => %report);
            }
        }
    }

    fn ask_platform(&self, request: PlatformRequest) {
        let _ = self.parts.platform.send(request);
    }

    /// Sends the list of members. The operators' server may have stopped waiting, so
    /// a failed send is ignored.
    fn send_members(&self, reply: &flume::Sender<Vec<KnownMember>>) {
        let now = self.parts.clock.now();
        let _ = reply.try_send(snapshot::members(&self.parts.node, now));
    }

    fn post_status_if_due(&mut self, now: Timestamp) {
        if now < self.next_status {
            return;
        }
        self.next_status = now + STATUS_INTERVAL;
        let calls = self.router.calls();
        let status = snapshot::status(&self.parts.node, now, calls, self.leaving);
        self.parts.shared.post_status(status);
    }
}
