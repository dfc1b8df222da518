//! Building a world and running it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use lifthollow_coordination::{Node, NodeSettings, PolicyKind};
use lifthollow_protocol::{Roster, RosterMember};
use lifthollow_state::{NodeId, Side, Timestamp};
use simcore::Simulation;

use super::World;
use super::backend::BackEnd;
use super::clients::Clients;
use super::event::WorldEvent;
use super::ids::{FaultIndex, MachineIndex};
use super::machine::{FIRST_INCARNATION, Machine, MachineSpec, ProcessSettings, ProcessState};
use super::network::Network;
use super::platform::Platform;
use super::trace::TraceHash;
use crate::measure::{Recorder, RunResult, best_rate, summarize};
use crate::mesh::{KindIndex, Mesh, ServiceIndex};
use crate::observe::Observers;
use crate::random::RandomStream;
use crate::scenario::Scenario;

/// The port that every node listens on.
const NODE_PORT: u16 = 7_000;
/// Nodes start within this time of the simulation's start.
const START_SPREAD: Duration = Duration::from_millis(200);
/// When clients begin to send.
const CLIENTS_START: Duration = Duration::from_millis(500);
/// Clocks of machines differ by this much for each machine.
const CLOCK_STEP: Duration = Duration::from_secs(977);

/// Makes the node of a machine.
pub type NodeFactory = fn(NodeSettings) -> Node;

/// How a world is run.
#[derive(Clone, Copy)]
pub struct WorldSettings {
    /// The policy that every node runs.
    pub policy: PolicyKind,
    /// Seed of every random choice.
    pub seed: u64,
    /// Makes nodes; tests put broken ones in.
    pub node_factory: NodeFactory,
    /// What is wrong with the transport on purpose; nothing in ordinary runs.
    pub defect: Option<TransportDefect>,
}

/// A transport that is wrong on purpose, so that observers can be tried on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransportDefect {
    /// Answers end in order although bytes are missing.
    TruncatesAnswers,
    /// Datagrams between nodes are never delivered.
    DropsDatagrams,
    /// Nodes are not told that their machine is to be stopped.
    LosesLeaveSignal,
}

impl WorldSettings {
    /// A world of ordinary nodes.
    pub fn new(policy: PolicyKind, seed: u64) -> Self {
        WorldSettings {
            policy,
            seed,
            node_factory: Node::new,
            defect: None,
        }
    }
}

/// Purposes of the streams of random numbers.
#[derive(Clone, Copy)]
enum Purpose {
    Network = 1,
    Clients,
    ServiceTimes,
    ProcessSeeds,
}

/// Runs a scenario on a mesh from beginning to end.
pub fn run_world(mesh: Mesh, scenario: Scenario, settings: WorldSettings) -> RunResult {
    let mut simulation = Simulation::new(settings.seed);
    let context = simulation.create_context("world");
    let end = scenario.duration + longest_deadline(&mesh) + Duration::from_secs(1);
    let world = Rc::new(RefCell::new(World::new(context, mesh, scenario, settings)));
    simulation.add_handler("world", world.clone());
    world.borrow_mut().start();
    simulation.step_until_time(end.as_secs_f64());
    let world = world.borrow();
    summarize(
        &world.mesh,
        &world.scenario,
        settings,
        &world.recorder,
        world.observers.violations(),
        world.trace.digest(),
    )
}

fn longest_deadline(mesh: &Mesh) -> Duration {
    let deadlines = mesh.kinds.iter().map(|kind| kind.deadline);
    deadlines.max().unwrap_or_default()
}

impl World {
    fn new(
        context: simcore::SimulationContext,
        mesh: Mesh,
        scenario: Scenario,
        settings: WorldSettings,
    ) -> Self {
        let stream = |purpose: Purpose| RandomStream::new(settings.seed, purpose as u64);
        let specs = machine_specs(&mesh);
        let mut process_seeds = stream(Purpose::ProcessSeeds);
        let seeds = entry_addresses(&specs);
        let roster = claim_roster(&mesh, &specs);
        let machines = specs
            .iter()
            .enumerate()
            .map(|(index, spec)| {
                let process = ProcessSettings {
                    mesh: &mesh,
                    policy: settings.policy,
                    incarnation: FIRST_INCARNATION,
                    seeds: &seeds,
                    roster: &roster,
                    seed: process_seeds.seed(),
                };
                machine(index, spec, process, settings.node_factory)
            })
            .collect();
        let entries = entries(&specs);
        let total_rate = best_rate(&mesh) * scenario.load;
        let rates = mesh.kinds.iter().map(|kind| kind.share * total_rate);
        let clients = Clients::new(
            settings.seed,
            rates.collect(),
            entries,
            stream(Purpose::Clients),
        );
        World {
            network: Network::new(&mesh, &specs, stream(Purpose::Network)),
            platform: Platform::new(&mesh, &specs, scenario.weights),
            by_address: addresses(&specs),
            recorder: Recorder::new(&mesh),
            observers: Observers::new(),
            context,
            settings,
            mesh,
            scenario,
            machines,
            seeds,
            roster,
            clients,
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            attempts_by_caller: BTreeMap::new(),
            next_call: 0,
            next_wire: 0,
            service_times: stream(Purpose::ServiceTimes),
            process_seeds,
            trace: TraceHash::default(),
            spare_effects: Vec::new(),
        }
    }

    /// Schedules what happens of itself: processes start, users arrive, faults come.
    fn start(&mut self) {
        for index in 0..self.machines.len() {
            self.start_machine(MachineIndex(index));
        }
        for index in 0..self.mesh.kinds.len() {
            let kind = KindIndex(index);
            let first = self.clients.next_arrival(kind);
            self.schedule(WorldEvent::Arrival { kind }, CLIENTS_START + first);
        }
        for index in 0..self.scenario.faults.len() {
            let fault = FaultIndex(index);
            let (at, lasts) = (
                self.scenario.faults[index].at,
                self.scenario.faults[index].lasts,
            );
            self.schedule(WorldEvent::FaultBegins { fault }, at);
            if let Some(lasts) = lasts {
                self.schedule(WorldEvent::FaultEnds { fault }, at + lasts);
            }
        }
        self.schedule(WorldEvent::Second, Duration::from_secs(1));
    }

    fn start_machine(&mut self, machine: MachineIndex) {
        let starts = Timestamp::ZERO + self.service_times.around(START_SPREAD / 2);
        self.machine_mut(machine).wake_at = Some(starts);
        let incarnation = self.machine(machine).incarnation;
        let wake = WorldEvent::Wake {
            machine,
            incarnation,
        };
        self.schedule_at(wake, starts);
        self.schedule_at(WorldEvent::HealthCheck { machine }, starts);
    }

    /// Once a second: samples what the observers compare over time.
    pub(super) fn second_passed(&mut self) {
        self.sample_tables();
        self.schedule(WorldEvent::Second, Duration::from_secs(1));
    }
}

fn machine(
    index: usize,
    spec: &MachineSpec,
    process: ProcessSettings<'_>,
    node_factory: NodeFactory,
) -> Machine {
    let back_end = spec.service.map(|service| {
        let model = process.mesh.service(service);
        BackEnd::new(model.slots, model.max_connections)
    });
    Machine {
        spec: spec.clone(),
        node: process.claim_keys(spec, node_factory(spec.settings(process))),
        state: ProcessState::Running,
        incarnation: FIRST_INCARNATION,
        clock_offset: CLOCK_STEP * index as u32,
        wake_at: None,
        held: Vec::new(),
        back_end,
        leaving_since: None,
        claimed_health: None,
    }
}

/// Entry nodes, one in each zone, then the servers of each service.
fn machine_specs(mesh: &Mesh) -> Vec<MachineSpec> {
    let mut specs = Vec::new();
    for side in Side::ALL {
        for zone in 0..mesh.zones_per_side {
            specs.push(spec(mesh, None, side, zone, zone));
        }
        for (index, service) in mesh.services.iter().enumerate() {
            for server in 0..service.servers_per_side {
                let index = ServiceIndex(index);
                let zone = mesh.zone_of(index, server);
                specs.push(spec(mesh, Some(index), side, zone, server));
            }
        }
    }
    specs
}

fn spec(
    mesh: &Mesh,
    service: Option<ServiceIndex>,
    side: Side,
    zone: u16,
    server: u16,
) -> MachineSpec {
    let group = service.map_or(0, |index| index.0 as u8 + 1);
    let address = Ipv4Addr::new(10, side as u8, group, server as u8 + 1);
    MachineSpec {
        node: NodeId::from_address(SocketAddrV4::new(address, NODE_PORT)),
        service,
        service_name: service.map(|index| mesh.service(index).name.clone()),
        side,
        zone,
        server,
    }
}

fn entries(specs: &[MachineSpec]) -> Vec<MachineIndex> {
    let machines = specs.iter().enumerate();
    machines
        .filter(|(_, spec)| spec.service.is_none())
        .map(|(index, _)| MachineIndex(index))
        .collect()
}

/// The entry nodes, one in each zone, are the replicas of idempotency keys.
fn claim_roster(mesh: &Mesh, specs: &[MachineSpec]) -> Roster {
    let entries = specs.iter().filter(|spec| spec.service.is_none());
    let members = entries.map(|spec| RosterMember {
        node: spec.node,
        side: spec.side,
        zone: spec.global_zone(mesh.zones_per_side),
    });
    Roster {
        epoch: 1,
        members: members.collect(),
        previous: Vec::new(),
    }
}

/// Nodes name the entry nodes as seeds in their settings.
fn entry_addresses(specs: &[MachineSpec]) -> Vec<NodeId> {
    let entries = specs.iter().filter(|spec| spec.service.is_none());
    entries.map(|spec| spec.node).collect()
}

fn addresses(specs: &[MachineSpec]) -> BTreeMap<NodeId, MachineIndex> {
    let machines = specs.iter().enumerate();
    machines
        .map(|(index, spec)| (spec.node, MachineIndex(index)))
        .collect()
}
