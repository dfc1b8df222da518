//! What is simulated: sizes, faults and where each node stands.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use lifthollow_coordination::fleet::Machine;
use lifthollow_state::{NodeId, ServiceName, Side, Zone};

/// The fleet runs for a while before anything is measured or disturbed.
pub const WARM_UP: Duration = Duration::from_secs(30);
/// Faults that begin at one moment begin here.
pub const FAULT_AT: Duration = Duration::from_secs(60);
/// Shortest run that leaves time to see what a fault does.
const SHORTEST_SECONDS: u32 = 180;
const MAX_NODES: u32 = 20_000;
/// Nodes in a rack.
pub const RACK: u32 = 20;

const FIRST_ADDRESS: u64 = 0x0a00_0001;
const PORT: u64 = 7_000;
const PORT_BITS: u32 = 16;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// 5% of all datagrams are lost.
    Loss,
    /// 10% of all datagrams are lost.
    HeavyLoss,
    /// Nodes are paused for up to 10 s, about one in a hundred at any time.
    Pauses,
    /// A rack of 20 nodes is gone.
    RackLost,
    /// A zone is gone.
    ZoneLost,
    /// A region has no contact with the others, for an hour or nearly to the end.
    RegionsCut,
    /// All nodes of a zone restart at once.
    MassRestart,
    /// The whole fleet starts with nothing at once.
    ColdStart,
    /// Half of the nodes that can read the platform's service read old tables.
    StaleService,
}

impl Fault {
    /// All kinds.
    pub const ALL: [Fault; 9] = [
        Fault::Loss,
        Fault::HeavyLoss,
        Fault::Pauses,
        Fault::RackLost,
        Fault::ZoneLost,
        Fault::RegionsCut,
        Fault::MassRestart,
        Fault::ColdStart,
        Fault::StaleService,
    ];

    /// The name on command lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Fault::Loss => "loss",
            Fault::HeavyLoss => "heavy-loss",
            Fault::Pauses => "pauses",
            Fault::RackLost => "rack-lost",
            Fault::ZoneLost => "zone-lost",
            Fault::RegionsCut => "regions-cut",
            Fault::MassRestart => "mass-restart",
            Fault::ColdStart => "cold-start",
            Fault::StaleService => "stale-service",
        }
    }

    /// The share of datagrams that are lost.
    fn loss(self) -> f64 {
        match self {
            Fault::Loss => 0.05,
            Fault::HeavyLoss => 0.10,
            _ => 0.0,
        }
    }
}

/// Faults that happen in one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultSet(Vec<Fault>);

impl FaultSet {
    /// Loss alone.
    pub fn loss() -> Self {
        FaultSet(vec![Fault::Loss])
    }

    /// Whether this fault happens.
    pub fn has(&self, fault: Fault) -> bool {
        self.0.contains(&fault)
    }

    /// The share of datagrams that are lost.
    pub fn loss_ratio(&self) -> f64 {
        self.0.iter().map(|fault| fault.loss()).fold(0.0, f64::max)
    }
}

impl fmt::Display for FaultSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_str("none");
        }
        let names: Vec<&str> = self.0.iter().map(|fault| fault.as_str()).collect();
        formatter.write_str(&names.join("+"))
    }
}

/// The text names no fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown fault `{0}`")]
pub struct UnknownFault(String);

impl FromStr for FaultSet {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let names = text.split('+').filter(|name| *name != "none");
        let faults = names.map(|name| {
            let found = Fault::ALL.into_iter().find(|fault| fault.as_str() == name);
            found.ok_or_else(|| UnknownFault(name.to_owned()))
        });
        faults.collect::<Result<_, _>>().map(FaultSet)
    }
}

/// Sizes, faults and seed of one run.
#[derive(Clone, Debug)]
pub struct ScaleSetup {
    /// How many nodes.
    pub nodes: u32,
    /// How many regions.
    pub regions: u32,
    /// How many zones in all regions together.
    pub zones: u32,
    /// How many services.
    pub services: u32,
    /// Seed of every random choice.
    pub seed: u64,
    /// What goes wrong.
    pub faults: FaultSet,
    /// Simulated time.
    pub seconds: u32,
}

/// The sizes make no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SetupError {
    /// Too few or too many nodes.
    #[error("nodes must be 10 to {MAX_NODES}")]
    Nodes,
    /// Not 1 <= regions <= zones <= nodes.
    #[error("regions must be at least 1, zones at least as many, nodes at least as many again")]
    Zones,
    /// No services.
    #[error("services must be at least 1")]
    Services,
    /// Too short to see anything.
    #[error("seconds must be at least {SHORTEST_SECONDS}")]
    Seconds,
}

impl ScaleSetup {
    /// Whether the sizes make sense.
    pub fn check(&self) -> Result<(), SetupError> {
        if !(10..=MAX_NODES).contains(&self.nodes) {
            return Err(SetupError::Nodes);
        }
        if self.regions == 0 || self.zones < self.regions || self.nodes < self.zones {
            return Err(SetupError::Zones);
        }
        if self.services == 0 {
            return Err(SetupError::Services);
        }
        match self.seconds < SHORTEST_SECONDS {
            true => Err(SetupError::Seconds),
            false => Ok(()),
        }
    }

    /// The zone of a node.
    pub fn zone(&self, index: u32) -> u32 {
        index % self.zones
    }

    /// The region of a node.
    pub fn region(&self, index: u32) -> u32 {
        self.zone(index) % self.regions
    }

    /// The rack of a node.
    pub fn rack(&self, index: u32) -> u32 {
        index / self.zones / RACK
    }

    /// The service beside a node.
    pub fn service(&self, index: u32) -> ServiceName {
        // Neighbours in a zone are `zones` apart; the division spreads a service
        // over zones also where `zones` divides `services`.
        ServiceName::new(&service_name(
            (index + index / self.services) % self.services,
        ))
    }

    /// The platform's view of a node.
    pub fn machine(&self, index: u32) -> Machine {
        Machine {
            node: node_id(index),
            service: self.service(index),
            side: self.side(index),
            zone: Zone(self.zone(index) as u16),
            leaving: false,
        }
    }

    fn side(&self, index: u32) -> Side {
        match self.region(index) * 2 < self.regions {
            true => Side::Old,
            false => Side::New,
        }
    }

    /// Nodes that a node knows from its settings: two of its zone and one of the
    /// next.
    pub fn seeds(&self, index: u32) -> Vec<NodeId> {
        let zone = self.zone(index);
        let next = (zone + 1) % self.zones;
        let seeds = [zone, zone + self.zones, next];
        let existing = seeds.into_iter().filter(|seed| *seed < self.nodes);
        existing.map(node_id).collect()
    }

    /// Whether the node can read the platform's service: one in a hundred can.
    pub fn reads_platform(&self, index: u32) -> bool {
        const ONE_IN: u32 = 100;
        index.is_multiple_of(ONE_IN)
    }
}

/// The name of a service by its number.
pub fn service_name(number: u32) -> String {
    format!("service-{number:03}")
}

/// The node with this index.
pub fn node_id(index: u32) -> NodeId {
    NodeId::from_u64((FIRST_ADDRESS + u64::from(index)) << PORT_BITS | PORT)
}

/// The index of a node.
pub fn node_index(node: NodeId) -> usize {
    ((node.as_u64() >> PORT_BITS) - FIRST_ADDRESS) as usize
}
