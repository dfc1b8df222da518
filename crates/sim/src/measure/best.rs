//! An upper bound of what a mesh could serve at best under a disturbance.
//!
//! For each service: its capacity in a second is the slot time of its servers
//! that are up and answer, on sides whose weight in the newest table is not 0,
//! with no more slots than `max_in_flight` there. What a visit costs is the mean
//! time that it holds a slot on an otherwise idle mesh: its own work under the
//! slowness in force, streaming, and the mean of its nested calls (network
//! delays and waiting count nothing). The bound of one service fills its
//! capacity with the cheapest requests first, and lets requests that do not fit
//! wait for following seconds as long as their users would; requests that do not
//! visit it are all served. The bound of the mesh is the smallest of its
//! services. Every simplification makes the bound larger, so that
//! `goodput_ratio` is never flattered.

use std::time::Duration;

use lifthollow_state::Side;

use crate::mesh::{KindIndex, Mesh, RequestKind, ServiceIndex, VisitIndex};
use crate::scenario::{Fault, FaultKind, Scenario, TableColumn, Target};

/// Points in each second at which the faults in force are looked at.
const SAMPLES_PER_SECOND: u32 = 10;
/// Retries that may repair an error of a back end: the allowance of the whole
/// request, and the repeats of an ordinary client.
const REPAIRING_RETRIES: i32 = 3 + 3;

/// Whole requests a second that the mesh serves at best undisturbed, both sides
/// together, in the mix of its kinds.
pub fn best_rate(mesh: &Mesh) -> f64 {
    let services = (0..mesh.services.len()).map(ServiceIndex);
    services
        .map(|service| {
            let model = mesh.service(service);
            let slots = f64::from(model.slots) * f64::from(model.servers_per_side) * 2.0;
            let kinds = mesh.kinds.iter();
            let hold: f64 = kinds
                .map(|kind| kind.share * slot_time(kind, service, &|_| 1.0))
                .sum();
            slots / hold.max(f64::EPSILON)
        })
        .fold(f64::INFINITY, f64::min)
}

/// Whole requests that could have been useful at best, of those offered:
/// `offered[second][kind]` counts the arrivals in each second of the window that
/// begins at `start`.
pub fn best_possible(
    mesh: &Mesh,
    scenario: &Scenario,
    start: Duration,
    offered: &[Vec<f64>],
) -> f64 {
    let repairable = |kind: usize, second: usize| {
        let time = start + Duration::from_secs(second as u64);
        repairable_share(mesh, scenario, &mesh.kinds[kind], time)
    };
    let reachable: Vec<Vec<f64>> = offered
        .iter()
        .enumerate()
        .map(|(second, kinds)| {
            let counts = kinds.iter().enumerate();
            counts
                .map(|(kind, count)| count * repairable(kind, second))
                .collect()
        })
        .collect();
    let services = (0..mesh.services.len()).map(ServiceIndex);
    services
        .map(|service| best_of_service(mesh, scenario, service, start, &reachable))
        .fold(f64::INFINITY, f64::min)
}

/// What is left of the demand of one second.
struct Pending {
    kind: KindIndex,
    expires: usize,
    count: f64,
}

fn best_of_service(
    mesh: &Mesh,
    scenario: &Scenario,
    service: ServiceIndex,
    start: Duration,
    offered: &[Vec<f64>],
) -> f64 {
    let mut served = 0.0;
    let mut pending: Vec<Pending> = Vec::new();
    for (second, kinds) in offered.iter().enumerate() {
        let time = start + Duration::from_secs(second as u64);
        let state = service_state(mesh, scenario, service, time);
        pending.retain(|request| request.expires >= second);
        pending.extend(kinds.iter().enumerate().map(|(kind, count)| Pending {
            kind: KindIndex(kind),
            expires: second + patience(mesh.kind(KindIndex(kind))),
            count: *count,
        }));
        served += serve_second(mesh, service, &state, &mut pending);
    }
    served
}

/// Fills the capacity of a second, cheapest requests first.
fn serve_second(
    mesh: &Mesh,
    service: ServiceIndex,
    state: &ServiceState,
    pending: &mut [Pending],
) -> f64 {
    let cost =
        |kind: KindIndex| slot_time(mesh.kind(kind), service, &|other| state.slowness[other.0]);
    pending.sort_by(|a, b| cost(a.kind).total_cmp(&cost(b.kind)));
    let mut capacity = state.slot_seconds;
    let mut served = 0.0;
    for request in pending.iter_mut() {
        let cost = cost(request.kind);
        let fits = if cost > 0.0 {
            request.count.min(capacity / cost)
        } else {
            request.count
        };
        capacity -= fits * cost;
        request.count -= fits;
        served += fits;
    }
    served
}

/// Whole seconds that a request may wait beyond the one that it came in.
fn patience(kind: &RequestKind) -> usize {
    (kind.deadline.as_secs() as usize).saturating_sub(1)
}

/// A service's slot time in a second and the slowness of all services.
struct ServiceState {
    slot_seconds: f64,
    slowness: Vec<f64>,
}

fn service_state(
    mesh: &Mesh,
    scenario: &Scenario,
    service: ServiceIndex,
    second: Duration,
) -> ServiceState {
    let step = Duration::from_secs(1) / SAMPLES_PER_SECOND;
    let samples: Vec<Duration> = (0..SAMPLES_PER_SECOND).map(|n| second + step * n).collect();
    let slots = samples
        .iter()
        .map(|time| slots_at(mesh, scenario, service, *time));
    let slot_seconds = slots.sum::<f64>() / samples.len() as f64;
    let slowness = (0..mesh.services.len())
        .map(|index| {
            let service = ServiceIndex(index);
            let at = |time: &Duration| slowness_at(mesh, scenario, service, *time);
            samples.iter().map(at).fold(f64::INFINITY, f64::min)
        })
        .collect();
    ServiceState {
        slot_seconds,
        slowness,
    }
}

/// Slots of the service's servers that are up, answer, and may be used.
fn slots_at(mesh: &Mesh, scenario: &Scenario, service: ServiceIndex, time: Duration) -> f64 {
    let servers = servers(mesh, service);
    servers
        .filter(|server| !is_out(scenario, server, time))
        .map(|server| f64::from(usable_slots(mesh, scenario, &server, time)))
        .sum()
}

/// The least slowness among the servers of a service.
fn slowness_at(mesh: &Mesh, scenario: &Scenario, service: ServiceIndex, time: Duration) -> f64 {
    servers(mesh, service)
        .map(|server| server_slowness(scenario, &server, time))
        .fold(f64::INFINITY, f64::min)
}

/// One server, as far as faults select it.
struct ServerPlace {
    service: ServiceIndex,
    side: Side,
    zone: u16,
    server: u16,
}

fn servers(mesh: &Mesh, service: ServiceIndex) -> impl Iterator<Item = ServerPlace> + '_ {
    let count = mesh.service(service).servers_per_side;
    Side::ALL.into_iter().flat_map(move |side| {
        (0..count).map(move |server| ServerPlace {
            service,
            side,
            zone: mesh.zone_of(service, server),
            server,
        })
    })
}

impl ServerPlace {
    fn matches(&self, target: &Target) -> bool {
        !target.entry
            && target.service.is_none_or(|service| service == self.service)
            && target.side.is_none_or(|side| side == self.side)
            && target.zone.is_none_or(|zone| zone == self.zone)
            && target.server.is_none_or(|server| server == self.server)
    }
}

fn active(scenario: &Scenario, time: Duration) -> impl Iterator<Item = &Fault> {
    scenario
        .faults
        .iter()
        .filter(move |fault| fault.active_at(time))
}

fn is_out(scenario: &Scenario, server: &ServerPlace, time: Duration) -> bool {
    active(scenario, time).any(|fault| match &fault.kind {
        FaultKind::Gone { target } | FaultKind::Kill { target } | FaultKind::Silent { target } => {
            server.matches(target)
        }
        FaultKind::Pause { target } => server.matches(target),
        _ => false,
    })
}

fn usable_slots(mesh: &Mesh, scenario: &Scenario, server: &ServerPlace, time: Duration) -> u32 {
    let slots = mesh.service(server.service).slots;
    let mut weight = scenario.weights[server.side as usize];
    let mut limit = slots;
    for fault in active(scenario, time) {
        match &fault.kind {
            FaultKind::Cell {
                target,
                column,
                value,
            } if server.matches(target) => match column {
                TableColumn::Weight => weight = *value,
                TableColumn::MaxInFlight => limit = limit.min(*value),
                TableColumn::MaxQueue => {}
            },
            // While weights move, both sides may be used.
            FaultKind::Migrate { .. } => weight = weight.max(1),
            _ => {}
        }
    }
    if weight == 0 { 0 } else { slots.min(limit) }
}

fn server_slowness(scenario: &Scenario, server: &ServerPlace, time: Duration) -> f64 {
    let mut slowness = 1.0;
    for fault in active(scenario, time) {
        match &fault.kind {
            FaultKind::Slow { target, factor } if server.matches(target) => slowness *= factor,
            FaultKind::Cold {
                target,
                factor,
                warm_up,
            } if server.matches(target) => {
                let age = (time - fault.at).as_secs_f64();
                let decay = (-age / warm_up.as_secs_f64().max(f64::EPSILON)).exp();
                slowness *= 1.0 + (factor - 1.0) * decay;
            }
            _ => {}
        }
    }
    slowness
}

/// Share of a kind's requests that errors of back ends leave possible: the least
/// erring server of each service is used, and retries repair what may be repeated.
fn repairable_share(mesh: &Mesh, scenario: &Scenario, kind: &RequestKind, time: Duration) -> f64 {
    let visits = kind.visits.iter();
    visits
        .map(|visit| {
            let rates = servers(mesh, visit.service)
                .filter(|server| !is_out(scenario, server, time))
                .map(|server| error_rate(scenario, &server, time));
            let rate = rates.fold(1.0, f64::min);
            let tries = if visit.once { 1 } else { 1 + REPAIRING_RETRIES };
            1.0 - rate.powi(tries)
        })
        .product()
}

fn error_rate(scenario: &Scenario, server: &ServerPlace, time: Duration) -> f64 {
    let well: f64 = active(scenario, time)
        .map(|fault| match &fault.kind {
            FaultKind::Errors { target, rate } if server.matches(target) => 1.0 - rate,
            _ => 1.0,
        })
        .product();
    1.0 - well
}

/// Mean slot time that a whole request needs at a service.
fn slot_time(
    kind: &RequestKind,
    service: ServiceIndex,
    slowness: &dyn Fn(ServiceIndex) -> f64,
) -> f64 {
    let visits = kind.visits.iter().enumerate();
    visits
        .filter(|(_, visit)| visit.service == service)
        .map(|(index, _)| hold_seconds(kind, VisitIndex(index), slowness))
        .sum()
}

fn hold_seconds(
    kind: &RequestKind,
    index: VisitIndex,
    slowness: &dyn Fn(ServiceIndex) -> f64,
) -> f64 {
    let visit = kind.visit(index);
    let nested: f64 = visit
        .stages
        .iter()
        .map(|stage| {
            let times = stage
                .iter()
                .map(|nested| hold_seconds(kind, *nested, slowness));
            times.fold(0.0, f64::max)
        })
        .sum();
    visit.work.as_secs_f64() * slowness(visit.service) + visit.stream.as_secs_f64() + nested
}
