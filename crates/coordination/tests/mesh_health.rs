//! Servers that fail part of what they are given.

mod mesh_support;

use lifthollow_coordination::inbound::InboundId;
use lifthollow_coordination::mesh::server_health::{RunEnd, ServerHealth};
use mesh_support::{at, ms};

const OWN_ZONE: &str = "a";
const OTHER_ZONE: &str = "b";

/// Runs one request of a caller in `zone`; it takes 30 ms.
fn run(health: &mut ServerHealth, number: u64, zone: &str, end: RunEnd) {
    let run = InboundId(number);
    health.started(at(number), run, zone, false);
    health.ended(at(number + 30), run, end);
}

fn failing() -> ServerHealth {
    let mut health = ServerHealth::default();
    for number in 0..10 {
        run(&mut health, number, OWN_ZONE, RunEnd::Failed);
    }
    health
}

#[test]
fn failures_are_told_by_the_zone_of_the_caller() {
    let mut health = failing();
    run(&mut health, 11, OTHER_ZONE, RunEnd::Served);
    assert!(health.failure_share(at(40), OWN_ZONE) > 0.5);
    assert_eq!(health.failure_share(at(40), OTHER_ZONE), 0.0);
}

#[test]
fn failures_of_nested_calls_are_not_the_servers_own() {
    let mut health = ServerHealth::default();
    for number in 0..10 {
        let run = InboundId(number);
        health.started(at(number), run, OWN_ZONE, false);
        health.call_started(run);
        health.call_ended(run, true);
        health.ended(at(number + 30), run, RunEnd::Failed);
    }
    assert_eq!(health.failure_share(at(40), OWN_ZONE), 0.0);
}

#[test]
fn overdue_run_counts_once_and_at_once() {
    let mut health = ServerHealth::default();
    assert_eq!(health.overdue_after(false), None, "nothing is known");
    run(&mut health, 0, OWN_ZONE, RunEnd::Served);
    let limit = health.overdue_after(false).expect("it is known now");
    assert!(limit >= ms(300));
    let late = InboundId(1);
    health.started(at(100), late, OWN_ZONE, false);
    health.overdue(at(100) + limit, late);
    let share = health.failure_share(at(100) + limit, OWN_ZONE);
    assert!(share > 0.0);
    health.ended(at(100) + limit, late, RunEnd::Failed);
    assert_eq!(health.failure_share(at(100) + limit, OWN_ZONE), share);
}

#[test]
fn run_that_waits_for_a_call_is_not_overdue() {
    let mut health = ServerHealth::default();
    let run = InboundId(1);
    health.started(at(0), run, OWN_ZONE, false);
    health.call_started(run);
    health.overdue(at(5000), run);
    assert_eq!(health.failure_share(at(5000), OWN_ZONE), 0.0);
}

#[test]
fn run_that_nobody_waits_for_says_nothing() {
    let mut health = ServerHealth::default();
    run(&mut health, 0, OWN_ZONE, RunEnd::Abandoned);
    assert_eq!(health.failure_share(at(30), OWN_ZONE), 0.0);
}

#[test]
fn zone_that_is_failed_most_is_named() {
    let mut health = failing();
    run(&mut health, 11, OTHER_ZONE, RunEnd::Served);
    let zone = |at_ms| health.failing_zone(at(at_ms)).map(|(zone, _)| zone);
    assert_eq!(zone(40), Some(OWN_ZONE));
    assert_eq!(zone(20_000), None, "it is forgotten");
}

#[test]
fn failing_server_turns_attempts_away_but_for_a_few() {
    let mut health = failing();
    let turned_away = (0..80).filter(|_| health.turns_away(at(40), OWN_ZONE));
    let turned_away = turned_away.count();
    assert!((60..80).contains(&turned_away), "{turned_away} of 80");
    assert!(!health.turns_away(at(40), OTHER_ZONE));
    assert!(!health.turns_away(at(20_000), OWN_ZONE), "it is forgotten");
}

#[test]
fn a_server_that_starts_again_is_not_held_for_what_it_did_before() {
    let mut health = failing();
    assert!(health.turns_away(at(40), OWN_ZONE));
    health.server_started();
    assert_eq!(health.failure_share(at(40), OWN_ZONE), 0.0);
    assert!(!health.turns_away(at(40), OWN_ZONE));
    // A run of before ends later, and is not counted.
    health.ended(at(50), InboundId(3), RunEnd::Failed);
    assert_eq!(health.failure_share(at(50), OWN_ZONE), 0.0);
}
