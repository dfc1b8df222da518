//! Tests of the failure share of servers that fail part of their requests.

mod mesh_support;

use lifthollow_coordination::inbound::InboundId;
use lifthollow_coordination::mesh::server_health::{RunEnd, ServerHealth};
use mesh_support::{at, ms};

const OWN_ZONE: &str = "a";
const OTHER_ZONE: &str = "b";

/// Runs one request of a caller in `zone`, for 30 ms.
fn run(health: &mut ServerHealth, number: u64, zone: &str, end: RunEnd) {
    let run = InboundId(number);
    health.started(at(number), run, zone, false);
    health.ended(at(number + 30), run, end);
}

/// The health of a server that failed ten requests from [`OWN_ZONE`].
fn failing_server() -> ServerHealth {
    let mut health = ServerHealth::default();
    for number in 0..10 {
        run(&mut health, number, OWN_ZONE, RunEnd::Failed);
    }
    health
}

#[test]
fn failures_count_only_for_the_zone_of_the_caller() {
    let mut health = failing_server();
    run(&mut health, 11, OTHER_ZONE, RunEnd::Served);
    assert!(health.failure_share(at(40), OWN_ZONE) > 0.5);
    assert_eq!(health.failure_share(at(40), OTHER_ZONE), 0.0);
}

#[test]
fn failures_of_nested_calls_do_not_count_against_the_server() {
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
fn overdue_run_counts_as_a_failure_at_once_and_only_once() {
    let mut health = ServerHealth::default();
    assert_eq!(health.overdue_after(false), None, "no run times are known");
    run(&mut health, 0, OWN_ZONE, RunEnd::Served);
    let limit = health
        .overdue_after(false)
        .expect("a run time is known now");
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
fn abandoned_run_does_not_count() {
    let mut health = ServerHealth::default();
    run(&mut health, 0, OWN_ZONE, RunEnd::Abandoned);
    assert_eq!(health.failure_share(at(30), OWN_ZONE), 0.0);
}

#[test]
fn failing_zone_is_the_one_with_the_most_failures() {
    let mut health = failing_server();
    run(&mut health, 11, OTHER_ZONE, RunEnd::Served);
    let zone = |at_ms| health.failing_zone(at(at_ms)).map(|(zone, _)| zone);
    assert_eq!(zone(40), Some(OWN_ZONE));
    assert_eq!(zone(20_000), None, "old failures must decay");
}

#[test]
fn failing_server_refuses_attempts_except_a_few_trials() {
    let mut health = failing_server();
    let refused = (0..80).filter(|_| health.should_refuse(at(40), OWN_ZONE));
    let refused = refused.count();
    assert!(
        (60..80).contains(&refused),
        "{refused} of 80 attempts were refused"
    );
    assert!(!health.should_refuse(at(40), OTHER_ZONE));
    assert!(
        !health.should_refuse(at(20_000), OWN_ZONE),
        "old failures must decay"
    );
}

#[test]
fn restart_of_the_server_resets_its_failure_share() {
    let mut health = failing_server();
    assert!(health.should_refuse(at(40), OWN_ZONE));
    health.server_started();
    assert_eq!(health.failure_share(at(40), OWN_ZONE), 0.0);
    assert!(!health.should_refuse(at(40), OWN_ZONE));
    // A run from before the restart ends later and must not be counted.
    health.ended(at(50), InboundId(3), RunEnd::Failed);
    assert_eq!(health.failure_share(at(50), OWN_ZONE), 0.0);
}
