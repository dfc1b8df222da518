//! What a whole request costs a service.

use crate::mesh::{RequestKind, ServiceIndex, VisitIndex};

/// Mean slot time that a whole request needs at a service.
pub(super) fn slot_time(
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
