//! What is simulated: zones and delays, services and servers, kinds of whole
//! requests with their call trees.

mod deep_chain;
mod midlands;
mod sofia;

use std::time::Duration;

use lifthollow_state::{PriorityClass, ServiceName};

/// Place of a service in [`Mesh::services`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIndex(pub usize);

/// Place of a kind of request in [`Mesh::kinds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindIndex(pub usize);

/// Place of a visit in [`RequestKind::visits`]; the root is 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VisitIndex(pub usize);

/// A mesh of both sides of a migration.
#[derive(Clone, Debug)]
pub struct Mesh {
    /// Name on the command line.
    pub name: &'static str,
    /// Failure domains of each side.
    pub zones_per_side: u16,
    /// Mean one-way delay inside a zone.
    pub local_delay: Duration,
    /// Mean one-way delay between zones and between sides.
    pub zone_delay: Duration,
    /// Mean one-way delay between clients and entry nodes.
    pub client_delay: Duration,
    /// What opening a connection costs.
    pub connection_cost: Duration,
    /// The services; each has its servers on both sides.
    pub services: Vec<ServiceModel>,
    /// What clients ask for.
    pub kinds: Vec<RequestKind>,
}

/// One service and the size of its servers.
#[derive(Clone, Debug)]
pub struct ServiceModel {
    /// Its name in the table.
    pub name: ServiceName,
    /// Servers on each side, spread over the zones.
    pub servers_per_side: u16,
    /// Calls that a server runs at once.
    pub slots: u32,
    /// Connections that a server accepts.
    pub max_connections: u32,
    /// The table's class for calls that state none.
    pub class: PriorityClass,
    /// The table's word on whether unkeyed calls may be run again.
    pub repeatable: bool,
    /// The table's deadline.
    pub deadline: Duration,
}

/// One kind of whole request.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Name in scenario files.
    pub name: &'static str,
    /// Importance.
    pub class: PriorityClass,
    /// Share of all requests; the shares of a mesh add up to 1.
    pub share: f64,
    /// When its user notices: later answers are not useful.
    pub deadline: Duration,
    /// When its client repeats an unanswered request.
    pub client_timeout: Duration,
    /// The call tree.
    pub visits: Vec<Visit>,
}

/// A kind of request whose client repeats it after half its deadline.
fn kind(
    name: &'static str,
    class: PriorityClass,
    share: f64,
    deadline_millis: u64,
    visits: Vec<Visit>,
) -> RequestKind {
    let deadline = Duration::from_millis(deadline_millis);
    RequestKind {
        name,
        class,
        share,
        deadline,
        client_timeout: deadline / 2,
        visits,
    }
}

/// One call of a service in a request's call tree.
#[derive(Clone, Debug)]
pub struct Visit {
    /// The service called.
    pub service: ServiceIndex,
    /// Mean time of the service's own work, half before and half after the
    /// nested calls.
    pub work: Duration,
    /// Mean time that the answer's body streams, with the slot held.
    pub stream: Duration,
    /// Whether it must run at most once.
    pub once: bool,
    /// Nested calls: stages one after another, the calls of a stage at once.
    pub stages: Vec<Vec<VisitIndex>>,
}

impl Mesh {
    /// Names of all meshes.
    pub const NAMES: [&'static str; 3] = ["midlands", "sofia", "deep-chain"];

    /// The mesh of a name.
    pub fn by_name(name: &str) -> Option<Mesh> {
        match name {
            "midlands" => Some(midlands::mesh()),
            "sofia" => Some(sofia::mesh()),
            "deep-chain" => Some(deep_chain::mesh()),
            _ => None,
        }
    }

    /// The service of an index.
    pub fn service(&self, index: ServiceIndex) -> &ServiceModel {
        &self.services[index.0]
    }

    /// The zone of its side that a server stands in.
    pub fn zone_of(&self, service: ServiceIndex, server: u16) -> u16 {
        (service.0 as u16 + server) % self.zones_per_side
    }

    /// The kind of an index.
    pub fn kind(&self, index: KindIndex) -> &RequestKind {
        &self.kinds[index.0]
    }

    /// The service of a name.
    pub fn service_by_name(&self, name: &str) -> Option<ServiceIndex> {
        let position = self.services.iter().position(|s| s.name.as_str() == name);
        position.map(ServiceIndex)
    }

    /// The service that the most call trees end in.
    pub fn deepest_service(&self) -> ServiceIndex {
        let leaves = |service: usize| -> f64 {
            let kinds = self.kinds.iter();
            kinds
                .map(|kind| kind.share * kind.leaves_at(ServiceIndex(service)))
                .sum()
        };
        let deepest = (0..self.services.len()).max_by(|a, b| leaves(*a).total_cmp(&leaves(*b)));
        ServiceIndex(deepest.unwrap_or(0))
    }

    /// The kind of a name, or the kinds of a class.
    pub fn kinds_by_name_or_class(&self, name: &str) -> Vec<KindIndex> {
        let kinds = self.kinds.iter().enumerate();
        kinds
            .filter(|(_, kind)| kind.name == name || kind.class.as_str() == name)
            .map(|(index, _)| KindIndex(index))
            .collect()
    }
}

impl RequestKind {
    /// The visit of an index.
    pub fn visit(&self, index: VisitIndex) -> &Visit {
        &self.visits[index.0]
    }

    /// Whether the whole request may be run again.
    pub fn repeatable(&self) -> bool {
        !self.visits[0].once
    }

    /// Visits of a service that call nothing further.
    fn leaves_at(&self, service: ServiceIndex) -> f64 {
        let visits = self.visits.iter();
        visits
            .filter(|visit| visit.service == service && visit.stages.is_empty())
            .count() as f64
    }
}

/// A visit without nested calls, built up by the mesh descriptions.
fn visit(service: usize, work_millis: u64) -> Visit {
    Visit {
        service: ServiceIndex(service),
        work: Duration::from_millis(work_millis),
        stream: Duration::ZERO,
        once: false,
        stages: Vec::new(),
    }
}

/// The same visit with nested calls, given by their places in the tree.
fn calling(visit: Visit, stages: &[&[usize]]) -> Visit {
    let stages = stages
        .iter()
        .map(|stage| stage.iter().map(|index| VisitIndex(*index)).collect())
        .collect();
    Visit { stages, ..visit }
}

/// The same visit, to be run at most once.
fn once(visit: Visit) -> Visit {
    Visit {
        once: true,
        ..visit
    }
}
