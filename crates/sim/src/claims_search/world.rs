//! Plays one history on a virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_coordination::claims::{
    ClaimDecision, ClaimEffect, ClaimEvent, ClaimParameters, Envelope, RunEnd,
};
use lifthollow_coordination::inbound::InboundId;
use lifthollow_protocol::{ClaimMessage, RecordedOutcome};
use lifthollow_state::{Incarnation, NodeId, Timestamp};

use super::Variant;
use super::fleet::{self, FIRST_EPOCH, node_id, node_index};
use super::history::{Action, Backend, History, NODES};
use super::network::Network;
use super::observer::{Content, Observer};
use super::operator::Operator;
use super::process::{LocalCall, Process};

/// A caller waits this long.
const CALL_DEADLINE: Duration = Duration::from_secs(5);
/// The fleet is older than one retention when a history begins.
const HISTORY_BEGINS: Timestamp = Timestamp::from_micros(1_000_000);
/// What goes on after the last step.
const HISTORY_TAIL: Duration = Duration::from_secs(65);

/// Something that happens to a process.
#[derive(Clone, Debug)]
enum Happening {
    Claim(ClaimEvent),
    Arrive {
        content: Content,
        call: LocalCall,
    },
    StartRun {
        id: InboundId,
        start_before: Timestamp,
    },
    EndRun {
        id: InboundId,
        end: RunEnd,
    },
    Timer,
}

#[derive(Clone, Debug)]
struct Scheduled {
    node: u8,
    /// Only this life is meant; messages are for whoever is there.
    incarnation: Option<Incarnation>,
    happening: Happening,
}

/// Order of events at one time.
type Place = (Timestamp, u64);

/// The state of one history being played.
pub struct World {
    variant: Variant,
    now: Timestamp,
    next_place: u64,
    queue: BTreeMap<Place, Scheduled>,
    processes: Vec<Process>,
    drift_permille: [i8; NODES as usize],
    lives: u64,
    network: Network,
    operator: Operator,
    observer: Observer,
}

/// Plays a history and returns what was seen.
pub fn play(history: &History, variant: Variant) -> Observer {
    let mut world = World::new(history, variant);
    let mut at = HISTORY_BEGINS;
    for step in &history.steps {
        at = at + step.after();
        world.run_until(at);
        world.act(step.action);
    }
    world.run_until(at + HISTORY_TAIL);
    world.observer
}

impl World {
    fn new(history: &History, variant: Variant) -> Self {
        let mut world = World {
            variant,
            now: Timestamp::ZERO,
            next_place: 0,
            queue: BTreeMap::new(),
            processes: Vec::new(),
            drift_permille: history.drift_permille,
            lives: 0,
            network: Network::new(history.seed),
            operator: Operator::default(),
            observer: Observer::default(),
        };
        for index in 0..NODES {
            let process = world.boot(index, FIRST_EPOCH, true);
            world.processes.push(process);
        }
        world
    }

    fn boot(&mut self, index: u8, epoch: u32, bootstrap: bool) -> Process {
        self.lives += 1;
        let incarnation = Incarnation(self.lives);
        let settings = fleet::settings(index, incarnation, epoch, bootstrap);
        Process::start(self.now, self.drift_permille[usize::from(index)], settings)
    }

    fn run_until(&mut self, until: Timestamp) {
        while let Some(next) = self.queue.first_entry() {
            if next.key().0 > until {
                break;
            }
            let ((at, _), scheduled) = next.remove_entry();
            self.now = at;
            self.happen(scheduled);
        }
        self.now = until;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Call {
                node,
                key,
                body,
                backend,
                run_millis,
            } => {
                let content = Content { key, body };
                self.call(node, content, backend, run_millis);
            }
            Action::Replace { nodes } => self.replace(nodes),
            Action::Leave { node } => {
                let event = Happening::Claim(ClaimEvent::Leave);
                self.schedule(self.now, node, None, event);
            }
            Action::Pause { node, millis } => {
                let paused_until = self.now + Duration::from_millis(u64::from(millis));
                self.processes[usize::from(node)].paused_until = paused_until;
            }
            Action::Cut { nodes, one_way } => self.network.cut(nodes, one_way),
            Action::Heal => self.network.heal(),
            Action::Disturb { percent } => self.network.disturb(percent),
            Action::ChangeRoster { node } => self.change_roster(node),
        }
    }

    fn call(&mut self, node: u8, content: Content, backend: Backend, run_millis: u32) {
        let call = LocalCall {
            call: self.observer.called(content),
            backend,
            run_time: Duration::from_millis(u64::from(run_millis)),
        };
        let incarnation = self.processes[usize::from(node)].incarnation;
        let happening = Happening::Arrive { content, call };
        self.schedule(self.now, node, Some(incarnation), happening);
    }

    fn replace(&mut self, nodes: u8) {
        let bootstrap = self.variant == Variant::VouchAfterRestart;
        for index in (0..NODES).filter(|index| nodes & (1 << index) != 0) {
            let epoch = self.operator.epoch_for_new_process();
            let process = self.boot(index, epoch, bootstrap);
            let incarnation = process.incarnation;
            self.processes[usize::from(index)] = process;
            self.schedule(self.now, index, Some(incarnation), Happening::Timer);
        }
    }

    fn change_roster(&mut self, node: u8) {
        let epochs = self
            .processes
            .iter()
            .map(|process| process.claims().roster().epoch);
        let Some(epoch) = self.operator.next_roster(self.now, epochs) else {
            return;
        };
        let event = ClaimEvent::Received {
            from: node_id(node),
            message: ClaimMessage::Roster(fleet::roster(epoch)),
        };
        self.schedule(self.now, node, None, Happening::Claim(event));
    }

    /// What happens to a paused process happens when it goes on.
    fn happen(&mut self, scheduled: Scheduled) {
        let process = &self.processes[usize::from(scheduled.node)];
        let is_meant = scheduled
            .incarnation
            .is_none_or(|incarnation| incarnation == process.incarnation);
        if !is_meant {
            return;
        }
        if process.paused_until > self.now {
            let at = process.paused_until;
            return self.enqueue(at, scheduled);
        }
        self.happen_now(scheduled.node, scheduled.happening);
        self.set_timer(scheduled.node);
    }

    fn happen_now(&mut self, node: u8, happening: Happening) {
        match happening {
            Happening::Claim(event) => self.handle(node, event),
            Happening::Arrive { content, call } => self.arrive(node, content, call),
            Happening::StartRun { id, start_before } => self.start_run(node, id, start_before),
            Happening::EndRun { id, end } => {
                self.processes[usize::from(node)].calls.remove(&id);
                self.handle(node, ClaimEvent::RunEnded { id, end });
            }
            Happening::Timer => {
                self.processes[usize::from(node)].timer_at = None;
                self.handle(node, ClaimEvent::Wake);
            }
        }
    }

    fn arrive(&mut self, node: u8, content: Content, call: LocalCall) {
        let process = &mut self.processes[usize::from(node)];
        let id = process.accept(call);
        let local_now = process.local(self.now);
        if self.variant == Variant::NoClaim {
            return self.start_run(node, id, local_now + CALL_DEADLINE);
        }
        let parameters = ClaimParameters {
            key: fleet::key(content.key),
            body_digest: u64::from(content.body),
            deadline: local_now + CALL_DEADLINE,
        };
        self.handle(node, ClaimEvent::ClaimRequested { id, parameters });
    }

    fn handle(&mut self, node: u8, event: ClaimEvent) {
        let effects = self.processes[usize::from(node)].handle(self.now, event);
        for effect in effects {
            match effect {
                ClaimEffect::Send(envelope) => self.send(node_id(node), envelope),
                ClaimEffect::Decided { id, decision } => self.decided(node, id, decision),
            }
        }
    }

    fn send(&mut self, from: NodeId, envelope: Envelope) {
        let to = node_index(envelope.to) as u8;
        for delay in self.network.deliveries(from, envelope.to) {
            let message = envelope.message.clone();
            let event = ClaimEvent::Received { from, message };
            self.schedule(self.now + delay, to, None, Happening::Claim(event));
        }
    }

    fn decided(&mut self, node: u8, id: InboundId, decision: ClaimDecision) {
        let process = &mut self.processes[usize::from(node)];
        let incarnation = process.incarnation;
        let Some(call) = process.calls.get(&id) else {
            return;
        };
        self.observer.decided(call.call, &decision);
        match decision {
            ClaimDecision::Granted { start_before } => {
                let happening = Happening::StartRun { id, start_before };
                let delay = self.network.start_delay();
                self.schedule(self.now + delay, node, Some(incarnation), happening);
            }
            ClaimDecision::Replay(_) | ClaimDecision::Refused(_) => {
                process.calls.remove(&id);
            }
        }
    }

    fn start_run(&mut self, node: u8, id: InboundId, start_before: Timestamp) {
        let process = &self.processes[usize::from(node)];
        let Some(call) = process.calls.get(&id).copied() else {
            return;
        };
        let is_late = process.local(self.now) >= start_before;
        let is_fenced = is_late && self.variant != Variant::NoFence;
        if is_fenced || call.backend == Backend::Sheds {
            self.observer.told_not_run(call.call);
            return self.end_run(node, id, Duration::ZERO, RunEnd::NotStarted);
        }
        self.observer.run_started(self.now, call.call);
        let outcome = match call.backend {
            Backend::LosesAnswer => RecordedOutcome::AnswerLost,
            _ => RecordedOutcome::Completed(Observer::answer_of(call.call)),
        };
        self.end_run(node, id, call.run_time, RunEnd::Ended(outcome));
    }

    fn end_run(&mut self, node: u8, id: InboundId, after: Duration, end: RunEnd) {
        let incarnation = self.processes[usize::from(node)].incarnation;
        let happening = Happening::EndRun { id, end };
        self.schedule(self.now + after, node, Some(incarnation), happening);
    }

    fn set_timer(&mut self, node: u8) {
        let process = &mut self.processes[usize::from(node)];
        let Some(at) = process.next_wake(self.now) else {
            return;
        };
        if process.timer_at.is_some_and(|set| set <= at) {
            return;
        }
        process.timer_at = Some(at);
        let incarnation = process.incarnation;
        self.schedule(at, node, Some(incarnation), Happening::Timer);
    }

    fn schedule(
        &mut self,
        at: Timestamp,
        node: u8,
        incarnation: Option<Incarnation>,
        happening: Happening,
    ) {
        let scheduled = Scheduled {
            node,
            incarnation,
            happening,
        };
        self.enqueue(at, scheduled);
    }

    fn enqueue(&mut self, at: Timestamp, scheduled: Scheduled) {
        self.next_place += 1;
        self.queue.insert((at, self.next_place), scheduled);
    }
}
