//! Runs at back ends: slots, work, nested calls, streaming, cancellation.

use std::time::Duration;

use lifthollow_coordination::inbound::RunResult;
use lifthollow_coordination::outbound::CallId;
use lifthollow_state::RetryAllowance;

use super::event::WorldEvent;
use super::ids::{MachineIndex, WireId};
use super::records::{CallOrigin, Run, RunPhase};
use super::{LOOPBACK_DELAY, World};
use crate::mesh::{Visit, VisitIndex};
use crate::observe::Observation;

/// When a back end that sheds asks to be called again.
const BACK_END_RETRY_AFTER: Duration = Duration::from_secs(1);

impl World {
    fn run_mut(&mut self, wire: WireId) -> Option<&mut Run> {
        self.attempts.get_mut(&wire)?.run.as_mut()
    }

    fn visit_of(&self, wire: WireId) -> Option<&Visit> {
        let record = self.attempts.get(&wire)?;
        Some(self.mesh.kind(record.kind).visit(record.operation.visit))
    }

    fn server_of(&self, wire: WireId) -> Option<MachineIndex> {
        self.attempts.get(&wire).map(|record| record.server)
    }

    /// The back end refuses a run before it starts.
    pub(super) fn refuse_run(&mut self, wire: WireId) {
        let result = RunResult::Refused {
            retry_after: BACK_END_RETRY_AFTER,
        };
        self.schedule(WorldEvent::RunAnswered { wire, result }, LOOPBACK_DELAY);
        self.end_run(wire, true);
    }

    pub(super) fn run_arrives(&mut self, wire: WireId) {
        let Some(server) = self.server_of(wire) else {
            return;
        };
        let connecting = self
            .run_mut(wire)
            .is_some_and(|run| run.phase == RunPhase::Connecting);
        let Some(back_end) = self.machines[server.0].back_end.as_mut() else {
            return;
        };
        if !connecting {
            return;
        }
        if back_end.has_free_slot() {
            return self.start_run(server, wire);
        }
        if !back_end.may_queue() {
            return self.refuse_run(wire);
        }
        back_end.queue.push_back(wire);
        if let Some(run) = self.run_mut(wire) {
            run.phase = RunPhase::Queued;
        }
    }

    fn start_run(&mut self, server: MachineIndex, wire: WireId) {
        let now = self.now();
        if self.run_mut(wire).is_some_and(|run| run.deadline < now) {
            return self.refuse_run(wire);
        }
        let Some(record) = self.attempts.get(&wire) else {
            return;
        };
        let visit = self.mesh.kind(record.kind).visit(record.operation.visit);
        let observation = Observation::RunStarted {
            machine: server,
            call: record.call,
            operation: record.operation,
            once: visit.once,
        };
        let half = visit.work / 2;
        self.observe(observation);
        if let Some(back_end) = self.machines[server.0].back_end.as_mut() {
            back_end.running.insert(wire);
        }
        if let Some(deadline) = self.run_mut(wire).map(|run| run.deadline) {
            self.schedule_at(WorldEvent::RunExpires { wire }, deadline);
        }
        self.work(server, wire, RunPhase::WorkBefore, half);
    }

    /// Lets a run work for a time around `mean`.
    fn work(&mut self, server: MachineIndex, wire: WireId, phase: RunPhase, mean: Duration) {
        let now = self.now();
        let Some(back_end) = self.machines[server.0].back_end.as_mut() else {
            return;
        };
        let slowness = back_end.slowness(now);
        let silent = back_end.faults.silent > 0;
        if silent {
            back_end.stuck.insert(wire);
        }
        let time = if phase == RunPhase::Streaming {
            self.service_times.stream_time(mean)
        } else {
            self.service_times.service_time(mean).mul_f64(slowness)
        };
        let Some(run) = self.run_mut(wire) else {
            return;
        };
        run.phase = phase;
        run.epoch += 1;
        run.work_since = now;
        let epoch = run.epoch;
        if !silent {
            self.schedule(WorldEvent::RunAdvances { wire, epoch }, time);
        }
    }

    /// A piece of work, or the streaming, has ended.
    pub(super) fn run_advances(&mut self, wire: WireId, epoch: u32) {
        let Some(server) = self.server_of(wire) else {
            return;
        };
        let Some(run) = self.run_mut(wire) else {
            return;
        };
        if run.epoch != epoch {
            return;
        }
        let phase = run.phase;
        self.count_work(wire);
        match phase {
            RunPhase::WorkBefore => self.begin_stage(server, wire, 0),
            RunPhase::WorkAfter => self.finish_run(server, wire),
            RunPhase::Streaming => self.end_run(wire, true),
            _ => {}
        }
    }

    /// The back end gives a run up at its deadline. An answer whose head was sent
    /// streams on.
    pub(super) fn run_expires(&mut self, wire: WireId) {
        let going_on = self
            .run_mut(wire)
            .is_some_and(|run| !matches!(run.phase, RunPhase::Streaming | RunPhase::Ended));
        if going_on {
            self.count_work(wire);
            self.fail_run(wire);
        }
    }

    /// Adds the present piece of work to the back-end time of the request.
    fn count_work(&mut self, wire: WireId) {
        let now = self.now();
        let Some(record) = self.attempts.get(&wire) else {
            return;
        };
        let Some(run) = record.run.as_ref() else {
            return;
        };
        let worked = matches!(
            run.phase,
            RunPhase::WorkBefore | RunPhase::WorkAfter | RunPhase::Streaming
        );
        if worked {
            let time = now.saturating_since(run.work_since);
            self.recorder.back_end_time(record.operation.request, time);
        }
    }

    fn begin_stage(&mut self, server: MachineIndex, wire: WireId, stage: usize) {
        let Some(visit) = self.visit_of(wire) else {
            return;
        };
        let Some(nested) = visit.stages.get(stage).cloned() else {
            let half = visit.work / 2;
            return self.work(server, wire, RunPhase::WorkAfter, half);
        };
        let Some(run) = self.run_mut(wire) else {
            return;
        };
        run.phase = RunPhase::Nested { stage };
        run.epoch += 1;
        let epoch = run.epoch;
        for visit in nested {
            self.make_nested_call(server, wire, epoch, visit);
        }
    }

    fn make_nested_call(
        &mut self,
        server: MachineIndex,
        wire: WireId,
        epoch: u32,
        visit: VisitIndex,
    ) {
        let Some(place) = self.nested_place(wire, visit) else {
            return;
        };
        let Some(deadline) = self.run_mut(wire).map(|run| run.deadline) else {
            return;
        };
        // The node lends the call its share of what its parent was lent.
        let allowance = RetryAllowance::default();
        let origin = CallOrigin::Run { wire, epoch };
        let call = self.new_call(server, place, origin, deadline, allowance);
        if let Some(run) = self.run_mut(wire) {
            run.open_calls.push(call);
        }
        self.schedule(WorldEvent::CallArrives { call }, LOOPBACK_DELAY);
    }

    pub(super) fn nested_ends(&mut self, wire: WireId, epoch: u32, call: CallId, success: bool) {
        let Some(server) = self.server_of(wire) else {
            return;
        };
        let Some(run) = self.run_mut(wire) else {
            return;
        };
        if run.epoch != epoch {
            return;
        }
        run.open_calls.retain(|open| *open != call);
        let RunPhase::Nested { stage } = run.phase else {
            return;
        };
        let stage_over = run.open_calls.is_empty();
        if !success {
            self.fail_run(wire);
        } else if stage_over {
            self.begin_stage(server, wire, stage + 1);
        }
    }

    fn finish_run(&mut self, server: MachineIndex, wire: WireId) {
        let error_rate = self.machines[server.0]
            .back_end
            .as_ref()
            .map_or(0.0, |back_end| back_end.error_rate());
        if self.service_times.chance(error_rate) {
            return self.fail_run(wire);
        }
        let stream = self
            .visit_of(wire)
            .map_or(Duration::ZERO, |visit| visit.stream);
        let result = RunResult::Completed { success: true };
        self.schedule(WorldEvent::RunAnswered { wire, result }, LOOPBACK_DELAY);
        if stream.is_zero() {
            self.end_run(wire, true);
        } else {
            self.work(server, wire, RunPhase::Streaming, stream);
        }
    }

    /// The back end answers that the call failed.
    fn fail_run(&mut self, wire: WireId) {
        let result = RunResult::Completed { success: false };
        self.schedule(WorldEvent::RunAnswered { wire, result }, LOOPBACK_DELAY);
        self.end_run(wire, true);
    }

    /// Frees what a run held and lets the next one start.
    pub(super) fn end_run(&mut self, wire: WireId, reusable: bool) {
        let Some(server) = self.server_of(wire) else {
            return;
        };
        let Some(run) = self.run_mut(wire) else {
            return;
        };
        if run.phase == RunPhase::Ended {
            return;
        }
        let was_queued = run.phase == RunPhase::Queued;
        run.phase = RunPhase::Ended;
        run.epoch += 1;
        let connected = std::mem::take(&mut run.connected);
        let open_calls = std::mem::take(&mut run.open_calls);
        for call in open_calls {
            self.schedule(WorldEvent::CallCancelled { call }, LOOPBACK_DELAY);
        }
        if let Some(back_end) = self.machines[server.0].back_end.as_mut() {
            back_end.running.remove(&wire);
            back_end.stuck.remove(&wire);
            if was_queued {
                back_end.queue.retain(|queued| *queued != wire);
            }
            if connected {
                back_end.release(reusable);
            }
        }
        self.schedule(WorldEvent::RunClosed { wire }, LOOPBACK_DELAY);
        self.start_queued(server);
    }

    fn start_queued(&mut self, server: MachineIndex) {
        while let Some(next) = self.next_queued(server) {
            self.start_run(server, next);
        }
    }

    fn next_queued(&mut self, server: MachineIndex) -> Option<WireId> {
        let back_end = self.machines[server.0].back_end.as_mut()?;
        if !back_end.has_free_slot() {
            return None;
        }
        let next = back_end.queue.pop_front()?;
        if let Some(run) = self.run_mut(next) {
            run.phase = RunPhase::Connecting;
        }
        Some(next)
    }

    /// The node gave a run up: the back end stops it and frees its slot.
    pub(super) fn run_cancelled(&mut self, wire: WireId) {
        let running = self
            .run_mut(wire)
            .is_some_and(|run| run.phase != RunPhase::Ended);
        if !running {
            return;
        }
        self.count_work(wire);
        self.end_run(wire, false);
    }

    /// Runs that a back end kept without answering go on.
    pub(super) fn resume_stuck_runs(&mut self, server: MachineIndex) {
        let Some(back_end) = self.machines[server.0].back_end.as_mut() else {
            return;
        };
        for wire in std::mem::take(&mut back_end.stuck) {
            let mean = self
                .visit_of(wire)
                .map_or(Duration::ZERO, |visit| visit.work / 2);
            if let Some(phase) = self.run_mut(wire).map(|run| run.phase) {
                self.work(server, wire, phase, mean);
            }
        }
    }
}
