//! Tests that the admission level of a needed service reaches the entry.

mod support;

use lifthollow_coordination::backpressure::{CallGraph, CallSource, downstream_level};
use lifthollow_coordination::inbound::InboundId;
use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::{Priority, PriorityClass, ServiceName};

fn level(class: PriorityClass, user: u8) -> AdmissionLevel {
    AdmissionLevel::of(Priority { class, user })
}

fn source(caller: Option<&str>) -> CallSource {
    CallSource {
        service: ServiceName::new("entry"),
        caller: caller.map(ServiceName::new),
    }
}

/// Records 100 runs of service `entry` for calls of `class`, of which `of_ten` in ten
/// call service `deep`.
fn record_runs(graph: &mut CallGraph, class: PriorityClass, of_ten: u64) {
    for number in 0..100 {
        let id = InboundId(number);
        graph.add_run(id, source(None), class);
        if number % 10 < of_ten {
            graph.record_call(id, &ServiceName::new("deep"));
        }
        graph.record_completion(id, true);
    }
}

fn level_at_entry(graph: &CallGraph, deep: AdmissionLevel) -> AdmissionLevel {
    downstream_level(graph, &source(None), |_| deep)
}

#[test]
fn level_of_a_service_needed_by_all_calls_applies_at_the_entry() {
    let mut graph = CallGraph::default();
    for class in PriorityClass::ALL {
        record_runs(&mut graph, class, 10);
    }
    for deep in [
        level(PriorityClass::Normal, 40),
        level(PriorityClass::Critical, 7),
    ] {
        assert_eq!(level_at_entry(&graph, deep), deep);
    }
}

#[test]
fn calls_that_seldom_need_the_service_are_not_refused_for_it() {
    let mut graph = CallGraph::default();
    record_runs(&mut graph, PriorityClass::Sheddable, 5);
    record_runs(&mut graph, PriorityClass::Normal, 10);
    let deep = level(PriorityClass::Normal, 40);
    assert_eq!(level_at_entry(&graph, deep), AdmissionLevel::OPEN);
}

#[test]
fn class_that_does_not_need_the_service_limits_the_level() {
    let mut graph = CallGraph::default();
    record_runs(&mut graph, PriorityClass::Sheddable, 10);
    record_runs(&mut graph, PriorityClass::Normal, 0);
    record_runs(&mut graph, PriorityClass::Critical, 10);
    let deep = level(PriorityClass::Critical, 40);
    let first_normal = level(PriorityClass::Normal, 0);
    assert_eq!(level_at_entry(&graph, deep), first_normal);
}

#[test]
fn classes_that_never_come_do_not_keep_the_pressure_from_others() {
    let mut graph = CallGraph::default();
    record_runs(&mut graph, PriorityClass::Critical, 10);
    let deep = level(PriorityClass::Critical, 40);
    assert_eq!(level_at_entry(&graph, deep), deep);
    let below = level(PriorityClass::Sheddable, 40);
    assert_eq!(level_at_entry(&graph, below), AdmissionLevel::OPEN);
}

#[test]
fn class_without_calls_is_not_refused_above_the_last_class_with_calls() {
    let mut graph = CallGraph::default();
    record_runs(&mut graph, PriorityClass::Sheddable, 10);
    let deep = level(PriorityClass::Critical, 40);
    let first_normal = level(PriorityClass::Normal, 0);
    assert_eq!(level_at_entry(&graph, deep), first_normal);
}

#[test]
fn calls_from_another_service_are_not_refused() {
    let mut graph = CallGraph::default();
    record_runs(&mut graph, PriorityClass::Sheddable, 10);
    let deep = level(PriorityClass::Normal, 0);
    assert_eq!(level_at_entry(&graph, deep), deep);
    let other = downstream_level(&graph, &source(Some("other")), |_| deep);
    assert_eq!(other, AdmissionLevel::OPEN);
}
