//! What a disturbance leaves of each service: slots, slowness, errors.

use std::time::Duration;

use lifthollow_state::Side;

use crate::mesh::{Mesh, RequestKind, ServiceIndex};
use crate::scenario::{Fault, FaultKind, Scenario, TableColumn, Target};

/// Points in each second at which the faults in force are looked at.
const SAMPLES_PER_SECOND: u32 = 10;

/// What one second offers.
pub(super) struct SecondState {
    /// Slot time of each service in seconds.
    pub slot_seconds: Vec<f64>,
    /// Least factor on the service times of each service.
    pub slowness: Vec<f64>,
}

impl SecondState {
    /// The state of the second that begins at a time.
    pub(super) fn at(mesh: &Mesh, scenario: &Scenario, second: Duration) -> SecondState {
        let step = Duration::from_secs(1) / SAMPLES_PER_SECOND;
        let samples: Vec<Duration> = (0..SAMPLES_PER_SECOND).map(|n| second + step * n).collect();
        let services = (0..mesh.services.len()).map(ServiceIndex);
        let slots = |service: ServiceIndex| {
            let at = samples
                .iter()
                .map(|time| slots_at(mesh, scenario, service, *time));
            at.sum::<f64>() / samples.len() as f64
        };
        let slowness = |service: ServiceIndex| {
            let at = samples
                .iter()
                .map(|time| slowness_at(mesh, scenario, service, *time));
            at.fold(f64::INFINITY, f64::min)
        };
        SecondState {
            slot_seconds: services.clone().map(slots).collect(),
            slowness: services.map(slowness).collect(),
        }
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
/// erring server of each service is used, and repeats repair all errors of what
/// may be repeated.
pub(super) fn repairable_share(
    mesh: &Mesh,
    scenario: &Scenario,
    kind: &RequestKind,
    time: Duration,
) -> f64 {
    let visits = kind.visits.iter();
    visits
        .map(|visit| {
            let rates = servers(mesh, visit.service)
                .filter(|server| !is_out(scenario, server, time))
                .map(|server| error_rate(scenario, &server, time));
            let rate = rates.fold(1.0, f64::min);
            if visit.once || rate >= 1.0 {
                1.0 - rate
            } else {
                1.0
            }
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
