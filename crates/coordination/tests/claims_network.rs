//! Tests that no key runs twice despite partitions, lost messages, pauses and clock
//! drift.

mod claims_support;

use std::time::Duration;

use claims_support::*;
use lifthollow_coordination::claims::{ClaimDecision, ClaimEvent, ClaimSettings, RunEnd};
use lifthollow_protocol::RefusalReason;
use lifthollow_state::Incarnation;

const OLD_SIDE: [usize; 4] = [0, 2, 4, 6];
const NEW_SIDE: [usize; 3] = [1, 3, 5];
const OLD_SIDE_NODE: usize = 6;
const NEW_SIDE_NODE: usize = 5;
const MINUTE: Duration = Duration::from_secs(60);

#[test]
fn in_a_partition_only_the_side_with_the_majority_runs_the_key() {
    let mut fleet = TestFleet::new();
    fleet.partition(&OLD_SIDE, &NEW_SIDE);
    let (id, old) = fleet.call(OLD_SIDE_NODE, BODY);
    let (_, new) = fleet.call(NEW_SIDE_NODE, BODY);
    assert!(is_granted(&old));
    assert!(!is_unknown(&new));
    assert_eq!(reason_of(&new), Some(RefusalReason::NoQuorum));

    fleet.end(OLD_SIDE_NODE, id, completed("receipt 1"));
    fleet.heal();
    fleet.advance(MINUTE);
    let (_, repeat) = fleet.call(NEW_SIDE_NODE, BODY);
    assert_eq!(repeat, ClaimDecision::Replay(answer("receipt 1")));
}

#[test]
fn a_key_refused_in_a_partition_is_free_after_it() {
    let mut fleet = TestFleet::new();
    fleet.partition(&OLD_SIDE, &NEW_SIDE);
    let (_, during) = fleet.call(NEW_SIDE_NODE, BODY);
    assert_eq!(reason_of(&during), Some(RefusalReason::NoQuorum));
    fleet.heal();
    let (_, after) = fleet.call(OLD_SIDE_NODE, BODY);
    assert!(is_granted(&after));
}

#[test]
fn a_key_claimed_on_one_side_is_refused_as_unknown_on_the_other() {
    let mut fleet = TestFleet::new();
    fleet.call(NEW_SIDE_NODE, BODY);
    fleet.partition(&OLD_SIDE, &NEW_SIDE);
    let (_, repeat) = fleet.call(OLD_SIDE_NODE, BODY);
    assert!(is_unknown(&repeat));
}

#[test]
fn votes_received_after_a_pause_beyond_the_window_are_not_counted() {
    let mut fleet = TestFleet::new();
    let id = fleet.start_call(OLD_SIDE_NODE, KEY, BODY);
    fleet.pause(OLD_SIDE_NODE);
    fleet.advance(MINUTE);
    fleet.resume(OLD_SIDE_NODE);
    fleet.advance(Duration::from_millis(1));
    let decision = fleet.decision(OLD_SIDE_NODE, id);
    assert!(!is_granted(&decision));
    assert!(!is_unknown(&decision));

    fleet.advance(Duration::from_millis(10));
    let (_, repeat) = fleet.call(NEW_SIDE_NODE, BODY);
    assert!(is_granted(&repeat));
}

#[test]
fn a_resumed_node_requests_a_new_claim() {
    let mut fleet = TestFleet::new();
    fleet.partition(&[OLD_SIDE_NODE], &[0, 1, 2, 3, 4]);
    let id = fleet.start_call(OLD_SIDE_NODE, KEY, BODY);
    fleet.pause(OLD_SIDE_NODE);
    fleet.advance(Duration::from_secs(3));
    fleet.resume(OLD_SIDE_NODE);
    fleet.heal();
    fleet.handle(OLD_SIDE_NODE, ClaimEvent::Resumed);
    let resumed_at = fleet.now;
    fleet.advance(Duration::from_millis(10));

    let window = ClaimSettings::DEFAULT_START_WINDOW;
    let start_before = resumed_at + window;
    assert_eq!(
        fleet.decision(OLD_SIDE_NODE, id),
        ClaimDecision::Granted { start_before }
    );
}

#[test]
fn a_holder_paused_past_its_start_window_releases_the_key() {
    let mut fleet = TestFleet::new();
    let asked_at = fleet.now;
    let (id, decision) = fleet.call(OLD_SIDE_NODE, BODY);
    let start_before = asked_at + ClaimSettings::DEFAULT_START_WINDOW;
    assert_eq!(decision, ClaimDecision::Granted { start_before });

    fleet.pause(OLD_SIDE_NODE);
    fleet.advance(MINUTE);
    fleet.resume(OLD_SIDE_NODE);
    assert!(fleet.now >= start_before);
    fleet.end(OLD_SIDE_NODE, id, RunEnd::NotStarted);
    let (_, repeat) = fleet.call(NEW_SIDE_NODE, BODY);
    assert!(is_granted(&repeat));
}

#[test]
fn one_percent_clock_drift_keeps_the_lifetime_between_two_runs() {
    let settings = ClaimSettings::new(node(0), Incarnation(1), roster(1, &[0], &[]), 0);
    let shortest_retention = settings.retention().mul_f64(1.0 / 1.01);
    let longest_window = settings.start_window.mul_f64(1.0 / 0.99);
    assert!(shortest_retention - longest_window >= settings.lifetime);
    let shortest_vote_expiry = settings.predecessor_vote_expiry().mul_f64(1.0 / 1.01);
    assert!(shortest_vote_expiry >= longest_window);
}

#[test]
fn an_outcome_reaches_replicas_that_were_partitioned_when_it_was_recorded() {
    let mut fleet = TestFleet::new();
    let (id, _) = fleet.call(OLD_SIDE_NODE, BODY);
    fleet.partition(&[OLD_SIDE_NODE], &[0, 1, 2, 3, 4]);
    fleet.end(OLD_SIDE_NODE, id, completed("receipt 1"));
    let (_, before) = fleet.call(NEW_SIDE_NODE, BODY);
    assert!(is_unknown(&before));

    fleet.heal();
    fleet.advance(Duration::from_secs(2));
    let (_, after) = fleet.call(NEW_SIDE_NODE, BODY);
    assert_eq!(after, ClaimDecision::Replay(answer("receipt 1")));
}
