//! The lowest priority that the services needed further down admit.

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::{Priority, PriorityClass, ServiceName};

use super::{CallGraph, CallSource};

/// The level below which calls from `source` would fail further down, where
/// `level_of` tells the level of a needed service.
///
/// Classes are looked at from the least important: the level enters a class
/// only if all classes below it are refused as well, so that calls of a class
/// that does not need an overloaded service are never refused for it. Classes that
/// hardly any call belongs to are passed over: nothing is known of their needs, and
/// they must not keep the level from the classes above them.
pub fn downstream_level(
    graph: &CallGraph,
    source: &CallSource,
    level_of: impl Fn(&ServiceName) -> AdmissionLevel,
) -> AdmissionLevel {
    let mut combined = AdmissionLevel::OPEN;
    let known = |class: &PriorityClass| graph.is_known(source, *class);
    for class in PriorityClass::ALL.into_iter().filter(known) {
        let needed = graph.needed(source, class);
        let level = needed.map(&level_of).max().unwrap_or(AdmissionLevel::OPEN);
        if level <= first_of(class) {
            return combined;
        }
        combined = level.min(beyond(class));
        if level < beyond(class) {
            return combined;
        }
    }
    combined
}

fn first_of(class: PriorityClass) -> AdmissionLevel {
    AdmissionLevel::of(Priority { class, user: 0 })
}

/// The first level of the next class.
fn beyond(class: PriorityClass) -> AdmissionLevel {
    let last = AdmissionLevel::of(Priority {
        class,
        user: u8::MAX,
    });
    AdmissionLevel(last.0 + 1)
}
