//! Attempts at their server's node: handed in, run, answered and cancelled.

use std::time::Duration;

use lifthollow_coordination::NodeEvent;
use lifthollow_coordination::claims::gate::replay_result;
use lifthollow_coordination::inbound::{InboundEffect, InboundEvent, RunResult};
use lifthollow_coordination::outbound::AttemptAnswer;
use lifthollow_protocol::{AttemptResult, RecordedAnswer, RecordedOutcome};
use lifthollow_state::Timestamp;

use super::backend::Connection;
use super::event::WorldEvent;
use super::ids::{MachineIndex, WireId};
use super::records::{Run, RunPhase};
use super::{CLOCK_TICK, LOOPBACK_DELAY, World};
use crate::observe::Observation;

impl World {
    pub(super) fn attempt_arrives(&mut self, wire: WireId) {
        let Some(record) = self.attempts.get(&wire) else {
            return;
        };
        let server = record.server;
        let mut attempt = record.attempt.clone();
        attempt.context.deadline = self.machine(server).local(attempt.context.deadline);
        let id = wire.inbound();
        let event = InboundEvent::AttemptArrived { id, attempt };
        self.feed_node(server, NodeEvent::Inbound(event));
    }

    pub(super) fn attempt_cancelled(&mut self, wire: WireId) {
        let Some(record) = self.attempts.get(&wire) else {
            return;
        };
        let server = record.server;
        let id = wire.inbound();
        let event = InboundEvent::AttemptCancelled { id };
        self.feed_node(server, NodeEvent::Inbound(event));
        let has_run = self
            .attempts
            .get(&wire)
            .is_some_and(|record| record.run.is_some());
        if !has_run {
            self.close_server(wire);
        }
    }

    pub(super) fn apply_inbound(&mut self, index: MachineIndex, effect: InboundEffect) {
        match effect {
            InboundEffect::Run { id, deadline } => {
                self.begin_run(index, WireId::from_inbound(id), deadline);
            }
            InboundEffect::RunClaimed {
                id,
                deadline,
                start_before,
            } => self.begin_claimed_run(index, WireId::from_inbound(id), deadline, start_before),
            InboundEffect::Replay { id, answer } => {
                let wire = WireId::from_inbound(id);
                self.answer_attempt(index, wire, replay_result(&answer));
                self.close_answer(wire);
            }
            InboundEffect::Answer { id, result } => {
                self.answer_attempt(index, WireId::from_inbound(id), result);
            }
            InboundEffect::CancelRun { id } => {
                let wire = WireId::from_inbound(id);
                self.observe_cancelled_run(index, wire);
                self.schedule(WorldEvent::RunCancelled { wire }, LOOPBACK_DELAY);
            }
        }
    }

    fn observe_cancelled_run(&mut self, machine: MachineIndex, wire: WireId) {
        let now = self.now();
        let wanted = self
            .attempts
            .get(&wire)
            .is_some_and(|record| record.caller_open && now < record.attempt.context.deadline);
        self.observe(Observation::RunCancelled { machine, wanted });
    }

    /// A run whose start window has passed must not start.
    fn begin_claimed_run(
        &mut self,
        index: MachineIndex,
        wire: WireId,
        deadline: Timestamp,
        start_before: Timestamp,
    ) {
        if self.machine(index).local(self.now()) < start_before {
            return self.begin_run(index, wire, deadline);
        }
        let result = RunResult::Refused {
            retry_after: Duration::ZERO,
        };
        self.schedule(WorldEvent::RunAnswered { wire, result }, LOOPBACK_DELAY);
        self.schedule(WorldEvent::RunClosed { wire }, LOOPBACK_DELAY);
    }

    /// The whole answer has passed: a run under a claim records it.
    fn record_answer(&mut self, wire: WireId) {
        let Some(record) = self.attempts.get(&wire) else {
            return;
        };
        let Some(AttemptResult::Completed { success }) = record.answered else {
            return;
        };
        let server = record.server;
        let answer = RecordedAnswer {
            status: if success { 200 } else { 500 },
            ..RecordedAnswer::default()
        };
        let event = InboundEvent::AnswerRecorded {
            id: wire.inbound(),
            outcome: RecordedOutcome::Completed(answer),
        };
        self.feed_node(server, NodeEvent::Inbound(event));
    }

    fn begin_run(&mut self, index: MachineIndex, wire: WireId, local_deadline: Timestamp) {
        let deadline = self.machine(index).global(local_deadline);
        let connection_cost = self.mesh.connection_cost;
        let Some(record) = self.attempts.get_mut(&wire) else {
            return;
        };
        let Some(back_end) = self.machines[index.0].back_end.as_mut() else {
            return;
        };
        let connection = back_end.connect();
        record.run = Some(Run {
            phase: RunPhase::Connecting,
            epoch: 0,
            deadline,
            open_calls: Vec::new(),
            connected: connection != Connection::Refused,
            work_since: Timestamp::ZERO,
        });
        let class = record.attempt.context.priority.class;
        let service = self
            .mesh
            .kind(record.kind)
            .visit(record.operation.visit)
            .service;
        self.observe(Observation::RunAdmitted {
            machine: index,
            service,
            class,
        });
        match connection {
            Connection::Reused => self.schedule(WorldEvent::RunArrives { wire }, LOOPBACK_DELAY),
            Connection::Opened => {
                let delay = LOOPBACK_DELAY + self.service_times.around(connection_cost);
                self.schedule(WorldEvent::RunArrives { wire }, delay);
            }
            Connection::Refused => self.refuse_run(wire),
        }
    }

    /// The back end's answer reaches the node beside it.
    pub(super) fn run_answered(&mut self, wire: WireId, result: RunResult) {
        let Some(record) = self.attempts.get(&wire) else {
            return;
        };
        let server = record.server;
        let id = wire.inbound();
        let event = InboundEvent::RunAnswered { id, result };
        self.feed_node(server, NodeEvent::Inbound(event));
    }

    pub(super) fn run_closed(&mut self, wire: WireId) {
        let Some(record) = self.attempts.get(&wire) else {
            return;
        };
        let server = record.server;
        let id = wire.inbound();
        self.record_answer(wire);
        self.feed_node(server, NodeEvent::Inbound(InboundEvent::RunClosed { id }));
        self.close_answer(wire);
        self.close_server(wire);
    }

    /// The end of the answer follows its head to the caller's node.
    fn close_answer(&mut self, wire: WireId) {
        let now = self.now();
        let Some(record) = self.attempts.get(&wire) else {
            return;
        };
        let completed = matches!(record.answered, Some(AttemptResult::Completed { .. }));
        if !completed || !record.caller_open {
            return;
        }
        let (caller, server, head) = (record.caller, record.server, record.head_arrives);
        if let Some(delay) = self.network.stream_delay(server, caller) {
            let event = WorldEvent::AttemptClosed {
                wire,
                complete: true,
            };
            self.schedule_at(event, (now + delay).max(head + CLOCK_TICK));
        }
    }

    fn answer_attempt(&mut self, index: MachineIndex, wire: WireId, result: AttemptResult) {
        let now = self.now();
        let Some(record) = self.attempts.get_mut(&wire) else {
            return;
        };
        record.answered = Some(result);
        let (caller, class) = (record.caller, record.attempt.context.priority.class);
        let service_name = record.attempt.service.clone();
        let ran = record.run.is_some();
        let service = self
            .mesh
            .kind(record.kind)
            .visit(record.operation.visit)
            .service;
        if let AttemptResult::NotRun { reason, .. } = result {
            self.recorder.refused(class);
            self.observe(Observation::AttemptRefused {
                machine: index,
                service,
                class,
                reason,
            });
        }
        let id = wire.inbound();
        let machine = self.machine_mut(index);
        let now_there = machine.local(now);
        let load = machine
            .node
            .load_with_downstream(now_there, &service_name, id);
        let unspent = machine.node.close_allowance(id);
        let answer = AttemptAnswer {
            result,
            load: Some(load),
            unspent,
        };
        if let Some(delay) = self.network.stream_delay(index, caller) {
            if let Some(record) = self.attempts.get_mut(&wire) {
                record.head_arrives = now + delay;
            }
            self.schedule(WorldEvent::AttemptAnswered { wire, answer }, delay);
        }
        if !ran {
            self.close_server(wire);
        }
    }
}
