//! Simulates a small network of fleet state machines on a virtual clock.
#![allow(dead_code)] // each test file uses other functions

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use lifthollow_coordination::fleet::{
    FetchFailed, Fleet, FleetEffect, FleetEvent, FleetReport, FleetSettings, Machine,
};
use lifthollow_protocol::ControlMessage;
use lifthollow_state::{
    Incarnation, NodeId, PriorityClass, ServerState, ServiceName, Side, Table, TableRow, Timestamp,
    Zone,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DELAY: Duration = Duration::from_millis(2);
const PORT_BITS: u64 = 16;

/// The node with this number.
pub fn node(number: u64) -> NodeId {
    NodeId::from_u64(number << PORT_BITS | 7000)
}

/// The number of the node's zone.
pub fn zone(node: NodeId, zones: u64) -> u64 {
    (node.as_u64() >> PORT_BITS) % zones
}

/// The service beside node `number`.
pub fn service(number: u64) -> ServiceName {
    ServiceName::new(&format!("service-{}", number % 4))
}

/// A table row of the service with this number.
pub fn row(service_number: u64, weight: u32) -> TableRow {
    TableRow {
        service: service(service_number),
        side: Side::Old,
        weight,
        max_in_flight: 10,
        max_queue: 20,
        max_connections: 110,
        class: PriorityClass::Normal,
        repeatable: true,
        deadline: Duration::from_secs(1),
    }
}

/// A table of four services; `weight` is that of the first.
pub fn table(number: u64, weight: u32) -> Arc<Table> {
    let rows = (0..4).map(|service| row(service, if service == 0 { weight } else { 50 }));
    Arc::new(Table::new(number, rows))
}

enum SimulatedEvent {
    Wake(NodeId),
    Deliver {
        from: NodeId,
        to: NodeId,
        message: Box<ControlMessage>,
    },
}

struct Scheduled {
    at: Timestamp,
    order: u64,
    simulated_event: SimulatedEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Returns whether datagrams from the first node to the second are dropped.
pub type DropRule = Box<dyn Fn(NodeId, NodeId) -> bool>;
/// Changes a datagram in transit from the first node to the second.
pub type Tamper = Box<dyn FnMut(NodeId, NodeId, &mut ControlMessage)>;

/// Nodes, the network between them, and the platform's answers to each node.
pub struct Network {
    pub now: Timestamp,
    pub fleets: BTreeMap<NodeId, Fleet>,
    pub reports: Vec<(Timestamp, NodeId, FleetReport)>,
    pub tables: BTreeMap<NodeId, Arc<Table>>,
    pub machines: Option<Vec<Machine>>,
    pub drop_rule: DropRule,
    pub tamper: Option<Tamper>,
    pub loss: f64,
    /// Upper bound of the random additional delay of a datagram, which reorders
    /// datagrams.
    pub jitter: Duration,
    paused_until: BTreeMap<NodeId, Timestamp>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    random: ChaCha8Rng,
}

impl Network {
    /// Creates a network without running nodes; the platform lists nodes 1 to `count` in
    /// `zones` zones.
    pub fn new(count: u64, zones: u64) -> Self {
        Network {
            now: Timestamp::ZERO,
            fleets: BTreeMap::new(),
            reports: Vec::new(),
            tables: BTreeMap::new(),
            machines: Some((1..=count).map(|number| machine(number, zones)).collect()),
            drop_rule: Box::new(|_, _| false),
            tamper: None,
            loss: 0.0,
            jitter: Duration::ZERO,
            paused_until: BTreeMap::new(),
            queue: BinaryHeap::new(),
            order: 0,
            random: ChaCha8Rng::seed_from_u64(7),
        }
    }

    /// A network whose nodes have all been running for a while, with `table` in
    /// force everywhere.
    pub fn settled(count: u64, zones: u64, table: &Arc<Table>) -> Self {
        let mut network = Network::new(count, zones);
        for number in 1..=count {
            network.tables.insert(node(number), table.clone());
            network.start(number, zones, 1);
        }
        network.run(Duration::from_secs(20));
        for fleet in network.fleets.values() {
            assert_eq!(fleet.table_version(), table.version());
        }
        network.reports.clear();
        network
    }

    /// Starts or restarts node `number` without any state.
    pub fn start(&mut self, number: u64, zones: u64, start_number: u64) {
        let machine = machine(number, zones);
        let fleet = Fleet::new(FleetSettings {
            node: machine.node,
            incarnation: Incarnation(start_number * 1_000),
            side: machine.side,
            zone: machine.zone,
            services: vec![machine.service],
            seeds: vec![node(1), node(2)],
            seed: number,
        });
        self.fleets.insert(node(number), fleet);
        self.schedule(self.now, SimulatedEvent::Wake(node(number)));
    }

    /// Stops node `number` without a message to others.
    pub fn kill(&mut self, number: u64) {
        self.fleets.remove(&node(number));
    }

    /// Pauses node `number`; datagrams to it are delivered when it resumes.
    pub fn pause(&mut self, number: u64, duration: Duration) {
        self.paused_until.insert(node(number), self.now + duration);
    }

    pub fn fleet(&self, number: u64) -> &Fleet {
        &self.fleets[&node(number)]
    }

    /// State of node `number` in the directory of node `observer`.
    pub fn state(&self, observer: u64, number: u64) -> Option<ServerState> {
        let directory = &self.fleet(observer).view().directory;
        let server = directory.server(&service(number), node(number));
        server.map(|server| server.state)
    }

    /// Lets node `number` handle an event.
    pub fn inject_event(&mut self, number: u64, event: FleetEvent) {
        self.handle(node(number), event);
    }

    pub fn count_reports(&self, predicate: impl Fn(&FleetReport) -> bool) -> usize {
        self.reports
            .iter()
            .filter(|(_, _, report)| predicate(report))
            .count()
    }

    /// Advances the virtual clock by `duration` and processes all events until then.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse(next)| next.at <= end)
        {
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now = next.at;
            self.process(next.simulated_event);
        }
        self.now = end;
    }

    fn process(&mut self, simulated_event: SimulatedEvent) {
        let receiver = match &simulated_event {
            SimulatedEvent::Wake(node) => *node,
            SimulatedEvent::Deliver { to, .. } => *to,
        };
        let resumes_at = self.paused_until.get(&receiver).copied();
        if let Some(resumes_at) = resumes_at.filter(|resumes_at| *resumes_at > self.now) {
            self.schedule(resumes_at, simulated_event);
            return;
        }
        match simulated_event {
            SimulatedEvent::Wake(node) => self.wake(node),
            SimulatedEvent::Deliver { from, to, message } => {
                let message = *message;
                self.handle(to, FleetEvent::Message { from, message });
            }
        }
    }

    fn wake(&mut self, node: NodeId) {
        self.handle(node, FleetEvent::Wake);
        let Some(fleet) = self.fleets.get(&node) else {
            return;
        };
        let next = fleet.next_wake().unwrap_or(self.now);
        self.schedule(next.max(self.now), SimulatedEvent::Wake(node));
    }

    fn handle(&mut self, node: NodeId, event: FleetEvent) {
        let Some(fleet) = self.fleets.get_mut(&node) else {
            return;
        };
        let mut effects = Vec::new();
        fleet.handle(self.now, event, &mut effects);
        for effect in effects {
            self.apply_effect(node, effect);
        }
    }

    fn apply_effect(&mut self, node: NodeId, effect: FleetEffect) {
        match effect {
            FleetEffect::FetchTable => {
                let answer = self.tables.get(&node).cloned().ok_or(FetchFailed);
                self.handle(node, FleetEvent::TableFetched(answer));
            }
            FleetEffect::FetchMachines => {
                let answer = self.machines.clone().ok_or(FetchFailed);
                self.handle(node, FleetEvent::MachinesFetched(answer));
            }
            FleetEffect::Send { to, message } => self.send(node, to, message),
            FleetEffect::Report(report) => self.reports.push((self.now, node, report)),
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: ControlMessage) {
        if (self.drop_rule)(from, to) || self.random.random_bool(self.loss) {
            return;
        }
        let datagram = message.encode().expect("every message fits a datagram");
        let mut message = ControlMessage::decode(&datagram).expect("what is sent is decoded");
        if let Some(tamper) = &mut self.tamper {
            tamper(from, to, &mut message);
        }
        let message = Box::new(message);
        let delay = DELAY + self.jitter.mul_f64(self.random.random());
        self.schedule(
            self.now + delay,
            SimulatedEvent::Deliver { from, to, message },
        );
    }

    fn schedule(&mut self, at: Timestamp, simulated_event: SimulatedEvent) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(Scheduled {
            at,
            order,
            simulated_event,
        }));
    }
}

fn machine(number: u64, zones: u64) -> Machine {
    Machine {
        node: node(number),
        service: service(number),
        side: Side::Old,
        zone: Zone((number % zones) as u16),
        leaving: false,
    }
}
