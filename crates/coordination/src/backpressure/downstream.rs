//! The lowest priority that the downstream services needed by a call admit.

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::{Priority, PriorityClass, ServiceName};

use super::{CallGraph, CallSource};

/// The level below which calls from `source` would fail in a downstream service;
/// `level_of` returns the admission level of a needed service.
///
/// Classes are examined from the least important one up. The level reaches into a
/// class only if all classes below it are refused completely, so that calls of a
/// class that does not need an overloaded service are never refused because of it.
/// Classes with too few observed runs are skipped: which services they need is
/// unknown, and they must not stop the level from reaching the classes above them.
pub fn downstream_level(
    graph: &CallGraph,
    source: &CallSource,
    level_of: impl Fn(&ServiceName) -> AdmissionLevel,
) -> AdmissionLevel {
    let mut combined = AdmissionLevel::OPEN;
    let known = |class: &PriorityClass| graph.is_known(source, *class);
    for class in PriorityClass::ALL.into_iter().filter(known) {
        let needed = graph.needed_services(source, class);
        let level = needed.map(&level_of).max().unwrap_or(AdmissionLevel::OPEN);
        if level <= first_level_of(class) {
            return combined;
        }
        combined = level.min(first_level_above(class));
        if level < first_level_above(class) {
            return combined;
        }
    }
    combined
}

/// The lowest level of a class.
fn first_level_of(class: PriorityClass) -> AdmissionLevel {
    AdmissionLevel::of(Priority { class, user: 0 })
}

/// The level that follows the highest level of a class, which is the lowest level
/// of the next class.
fn first_level_above(class: PriorityClass) -> AdmissionLevel {
    let last = AdmissionLevel::of(Priority {
        class,
        user: u8::MAX,
    });
    AdmissionLevel(last.0 + 1)
}
