//! The event loop: nodes handle events, datagrams travel, observers look.

use std::collections::BTreeSet;
use std::time::Duration;

use lifthollow_coordination::fleet::{Fleet, FleetEffect, FleetEvent, FleetReport};
use lifthollow_protocol::ControlMessage;
use lifthollow_state::{Incarnation, NodeId, Timestamp};
use xxhash_rust::xxh3::Xxh3;

use super::convergence::Convergence;
use super::network::PathModel;
use super::nodes::Nodes;
use super::platform::Platform;
use super::queue::{EventQueue, Happening};
use super::result::ScaleResult;
use super::schedule::{Occurrence, occurrences};
use super::settled;
use super::setup::{FAULT_AT, Fault, ScaleSetup, WARM_UP, node_id, node_index};
use super::usage::{Usage, thread_cpu_time};
use super::watch::{WATCHED_AT_MOST, Watch};

/// Between two looks at what others choose.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Between two lines of progress on the error output.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(30);

/// Runs one simulation to its end.
pub fn run(setup: &ScaleSetup) -> ScaleResult {
    let mut world = World::new(setup);
    world.run();
    world.result()
}

struct World<'a> {
    setup: &'a ScaleSetup,
    now: Timestamp,
    queue: EventQueue,
    nodes: Nodes,
    paths: PathModel,
    platform: Platform,
    usage: Usage,
    convergence: Convergence,
    failures: Watch,
    departures: Watch,
    false_removals: u64,
    falsely_suspected: BTreeSet<(NodeId, Incarnation)>,
    trace: Xxh3,
    /// What nodes know in their first life.
    settled: Option<Fleet>,
}

impl<'a> World<'a> {
    fn new(setup: &'a ScaleSetup) -> Self {
        let paths = PathModel::new(setup);
        let count = setup.nodes as usize;
        let planned = occurrences(setup, paths.heals());
        let mut world = World {
            setup,
            now: Timestamp::ZERO,
            queue: EventQueue::default(),
            nodes: Nodes::new(setup.nodes),
            paths,
            platform: Platform::new(setup),
            usage: Usage::new(count),
            convergence: Convergence::new(count),
            failures: Watch::default(),
            departures: Watch::default(),
            false_removals: 0,
            falsely_suspected: BTreeSet::new(),
            trace: Xxh3::new(),
            settled: None,
        };
        for (at, occurrence) in planned {
            world.schedule(at, Happening::Occur(occurrence));
        }
        if !setup.faults.has(Fault::ColdStart) {
            let table = world.platform.newest_table();
            world.settled = table.map(|table| settled::fleet(setup, table));
        }
        world.schedule(Timestamp::ZERO + WARM_UP, Happening::Look);
        world
    }

    fn run(&mut self) {
        let end = Timestamp::ZERO + Duration::from_secs(self.setup.seconds.into());
        while let Some((at, happening)) = self.queue.next(end) {
            self.now = at;
            self.happen(happening);
        }
        self.now = end;
        let (setup, paths, now) = (self.setup, &self.paths, self.now);
        let part = |index: usize| paths.part(now, setup.region(index as u32));
        self.convergence.finish(now, part);
        self.failures.finish(now);
        self.departures.finish(now);
    }

    fn schedule(&mut self, at: Timestamp, happening: Happening) {
        self.queue.schedule(at, happening);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Wake { index, life } => self.wake(index, life),
            Happening::Deliver { from, to, datagram } => self.deliver(from, to, datagram),
            Happening::Occur(occurrence) => self.occur(occurrence),
            Happening::Look => self.look(),
        }
    }

    fn look(&mut self) {
        let micros = self.now.as_micros();
        if micros.is_multiple_of(PROGRESS_INTERVAL.as_micros() as u64) {
            let of = self.setup.seconds;
            eprintln!("simulated {} s of {of} s", self.now.as_secs_f64());
        }
        self.failures.look(self.now, self.setup, &self.nodes);
        self.departures.look(self.now, self.setup, &self.nodes);
        self.schedule(self.now + LOOK_INTERVAL, Happening::Look);
    }

    fn wake(&mut self, index: u32, life: u32) {
        let node = self.nodes.get(index);
        if node.life != life || node.fleet.is_none() {
            return;
        }
        if node.paused_until > self.now {
            let resumes = node.paused_until;
            self.schedule(resumes, Happening::Wake { index, life });
            return;
        }
        self.handle(index, FleetEvent::Wake);
        let next = self.nodes.get(index).fleet.as_ref();
        let next = next.and_then(|fleet| fleet.next_wake());
        let next = next.unwrap_or(self.now).max(self.now);
        self.schedule(next, Happening::Wake { index, life });
    }

    /// A datagram for a paused process waits in its socket.
    fn deliver(&mut self, from: u32, to: u32, datagram: Box<[u8]>) {
        let node = self.nodes.get(to);
        if node.fleet.is_none() {
            return;
        }
        if node.paused_until > self.now {
            let resumes = node.paused_until;
            self.schedule(resumes, Happening::Deliver { from, to, datagram });
            return;
        }
        self.usage.datagram(self.now, to as usize, datagram.len());
        self.trace.update(&self.now.as_micros().to_le_bytes());
        self.trace.update(&to.to_le_bytes());
        self.trace.update(&datagram);
        let started = Usage::is_measured(to as usize).then(thread_cpu_time);
        let Ok(message) = ControlMessage::decode(&datagram) else {
            return;
        };
        let from = node_id(from);
        self.handle_from(to, FleetEvent::Message { from, message }, started);
    }

    fn handle(&mut self, index: u32, event: FleetEvent) {
        let started = Usage::is_measured(index as usize).then(thread_cpu_time);
        self.handle_from(index, event, started);
    }

    /// Lets a node handle an event; what it sends is encoded within the time
    /// that is measured.
    fn handle_from(&mut self, index: u32, event: FleetEvent, started: Option<Duration>) {
        let Some(fleet) = &mut self.nodes.get_mut(index).fleet else {
            return;
        };
        let mut effects = Vec::new();
        fleet.handle(self.now, event, &mut effects);
        let version = fleet.table_version();
        let datagrams: Vec<(NodeId, Vec<u8>)> = effects.iter().filter_map(encoded).collect();
        if let Some(started) = started {
            let spent = thread_cpu_time().saturating_sub(started);
            self.usage.cpu(self.now, index as usize, spent);
        }
        let part = self.paths.part(self.now, self.setup.region(index));
        self.convergence
            .look(self.now, index as usize, version, part);
        for (to, datagram) in datagrams {
            self.send(index, to, datagram);
        }
        for effect in effects {
            self.carry_out(index, effect);
        }
    }

    fn send(&mut self, from: u32, to: NodeId, datagram: Vec<u8>) {
        self.usage.datagram(self.now, from as usize, datagram.len());
        let to = node_index(to) as u32;
        if to >= self.setup.nodes || !self.is_connected(from, to) {
            return;
        }
        let (from_zone, to_zone) = (self.setup.zone(from), self.setup.zone(to));
        let Some(delay) = self.paths.delay(from_zone, to_zone) else {
            return;
        };
        let datagram = datagram.into_boxed_slice();
        self.schedule(self.now + delay, Happening::Deliver { from, to, datagram });
    }

    fn is_connected(&self, from: u32, to: u32) -> bool {
        let part = |index| self.paths.part(self.now, self.setup.region(index));
        part(from) == part(to)
    }

    fn carry_out(&mut self, index: u32, effect: FleetEffect) {
        match effect {
            FleetEffect::Send { .. } => {}
            FleetEffect::FetchTable => {
                let stale = self.now >= Timestamp::ZERO + FAULT_AT;
                let answer = self.platform.read_table(index, stale);
                self.handle(index, FleetEvent::TableFetched(answer));
            }
            FleetEffect::FetchMachines => {
                let answer = self.platform.read_machines(index);
                self.handle(index, FleetEvent::MachinesFetched(answer));
            }
            FleetEffect::Report(report) => self.observe(report),
        }
    }

    fn observe(&mut self, report: FleetReport) {
        let settled = self.now >= Timestamp::ZERO + WARM_UP;
        match report {
            FleetReport::MemberRemoved { node, incarnation }
                if self.runs_in_life(node, incarnation) =>
            {
                self.false_removals += 1;
            }
            FleetReport::MemberSuspected { node, incarnation }
                if settled && self.runs_in_life(node, incarnation) && !self.was_paused(node) =>
            {
                self.falsely_suspected.insert((node, incarnation));
            }
            _ => {}
        }
    }

    fn runs_in_life(&self, node: NodeId, incarnation: Incarnation) -> bool {
        let node = self.nodes.get(node_index(node) as u32);
        let fleet = node.fleet.as_ref().filter(|_| !node.leaving);
        fleet.is_some_and(|fleet| fleet.incarnation() == incarnation)
    }

    fn was_paused(&self, node: NodeId) -> bool {
        self.nodes.get(node_index(node) as u32).paused_until > Timestamp::ZERO
    }

    fn occur(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Start(index) => self.start(index),
            Occurrence::Leave(index) => self.leave(index),
            Occurrence::End(index) => self.end(index),
            Occurrence::Fail(index) => self.fail(index),
            Occurrence::Pause(index, duration) => self.pause(index, duration),
            Occurrence::ChangeTable => self.platform.change_table(),
            Occurrence::Heal => {
                for index in self.nodes.all_running(self.now) {
                    self.convergence.node_reachable(self.now, index as usize);
                }
            }
        }
    }

    fn start(&mut self, index: u32) {
        if self.nodes.get(index).fleet.is_some() {
            return;
        }
        self.failures.end(self.now, index);
        self.departures.end(self.now, index);
        self.nodes.start(self.setup, index, self.settled.as_ref());
        self.convergence.node_started(self.now, index as usize);
        let life = self.nodes.get(index).life;
        self.schedule(self.now, Happening::Wake { index, life });
    }

    fn leave(&mut self, index: u32) {
        if self.nodes.running(self.now, index).is_none() {
            return;
        }
        self.nodes.get_mut(index).leaving = true;
        let observers = self.observers(index);
        self.departures.begin(self.now, index, observers);
        self.handle(index, FleetEvent::Leave);
    }

    /// Nodes that run and can reach a server.
    fn observers(&self, server: u32) -> Vec<u32> {
        let running = self.nodes.all_running(self.now).into_iter();
        running
            .filter(|other| *other != server && self.is_connected(*other, server))
            .collect()
    }

    fn end(&mut self, index: u32) {
        self.nodes.kill(index);
        self.convergence.node_stopped(index as usize);
    }

    fn fail(&mut self, index: u32) {
        self.end(index);
        if self.failures.count() < WATCHED_AT_MOST {
            let observers = self.observers(index);
            self.failures.begin(self.now, index, observers);
        }
    }

    fn pause(&mut self, index: u32, duration: Duration) {
        if self.nodes.running(self.now, index).is_some() {
            self.nodes.pause(self.now, index, duration);
            self.convergence
                .node_resumed(self.now + duration, index as usize);
        }
    }

    fn result(&self) -> ScaleResult {
        let setup = self.setup;
        let (bytes_p99, bytes_mean, bytes_max) = self.usage.bytes();
        let (cpu_p99, cpu_mean) = self.usage.cpu_fraction();
        ScaleResult {
            nodes: setup.nodes,
            regions: setup.regions,
            zones: setup.zones,
            services: setup.services,
            seed: setup.seed,
            fault: setup.faults.to_string(),
            seconds: setup.seconds,
            config_convergence_seconds_max: self.convergence.longest_seconds(),
            config_fresh_start_seconds_max: self.convergence.longest_fresh_seconds(),
            config_reversions: self.convergence.reversions(),
            control_bytes_per_second_p99: bytes_p99,
            control_bytes_per_second_mean: bytes_mean,
            control_bytes_per_second_max: bytes_max,
            control_messages_per_second_p99: self.usage.messages_p99(),
            control_cpu_core_fraction_p99: cpu_p99,
            control_cpu_core_fraction_mean: cpu_mean,
            state_bytes_per_node_p99: self.nodes.state_bytes_p99(),
            failure_detection_seconds_p99: self.failures.p99_seconds(),
            false_removals: self.false_removals,
            false_suspicions: self.falsely_suspected.len(),
            leaving_last_new_work_seconds_max: self.departures.longest_seconds(),
            start_seconds: self.convergence.started_seconds(),
            trace_hash: format!("{:016x}", self.trace.digest()),
        }
    }
}

fn encoded(effect: &FleetEffect) -> Option<(NodeId, Vec<u8>)> {
    match effect {
        FleetEffect::Send { to, message } => message.encode().ok().map(|bytes| (*to, bytes)),
        _ => None,
    }
}
