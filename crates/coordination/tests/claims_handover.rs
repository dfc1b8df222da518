//! Replicas that stop as planned hand their records over.

mod claims_support;

use std::time::Duration;

use claims_support::*;
use lifthollow_coordination::claims::{ClaimDecision, ClaimEvent, ClaimSettings};
use lifthollow_protocol::RefusalReason;
use lifthollow_state::IdempotencyKey;

const CALLER: usize = 5;
const OTHER_CALLER: usize = 6;
const HANDED_OVER: Duration = Duration::from_millis(3_500);
const TAKEN_OVER: Duration = Duration::from_millis(100);
const OPEN_KEY: IdempotencyKey = IdempotencyKey(8);

fn leave(fleet: &mut TestFleet, indexes: &[usize]) {
    for index in indexes {
        fleet.handle(*index, ClaimEvent::Leave);
    }
    fleet.advance(HANDED_OVER);
}

fn votes(fleet: &TestFleet, index: usize) -> bool {
    fleet.claims[index].report(fleet.now, KEY).votes
}

/// One call that was answered and one that still runs.
fn fleet_with_two_claims() -> TestFleet {
    let mut fleet = TestFleet::new();
    let (id, _) = fleet.call(CALLER, BODY);
    fleet.end(CALLER, id, completed("receipt 1"));
    fleet.want(CALLER, OPEN_KEY, BODY);
    fleet.advance(TAKEN_OVER);
    fleet
}

fn assert_both_claims_hold(fleet: &mut TestFleet) {
    let (_, repeat) = fleet.call(OTHER_CALLER, BODY);
    assert_eq!(repeat, ClaimDecision::Replay(answer("receipt 1")));
    let id = fleet.want(OTHER_CALLER, OPEN_KEY, BODY);
    fleet.advance(Duration::from_millis(600));
    assert!(is_unknown(&fleet.decision(OTHER_CALLER, id)));
}

#[test]
fn a_replica_stopped_as_planned_is_replaced_by_one_that_votes_at_once() {
    let mut fleet = fleet_with_two_claims();
    leave(&mut fleet, &[0]);
    assert!(!votes(&fleet, 0));
    fleet.replace(&[0]);
    assert!(!votes(&fleet, 0));
    fleet.advance(TAKEN_OVER);
    assert!(votes(&fleet, 0));
    assert_both_claims_hold(&mut fleet);
}

#[test]
fn the_replicas_of_a_side_stopped_together_keep_every_claim() {
    let mut fleet = fleet_with_two_claims();
    leave(&mut fleet, &[0, 2, 4]);
    fleet.replace(&[0, 2, 4]);
    fleet.advance(TAKEN_OVER);
    assert!([0, 2, 4].iter().all(|index| votes(&fleet, *index)));
    assert_both_claims_hold(&mut fleet);
    let id = fleet.want(CALLER, IdempotencyKey(9), BODY);
    fleet.advance(TAKEN_OVER);
    assert!(is_granted(&fleet.decision(CALLER, id)));
}

#[test]
fn many_records_are_handed_over_in_pages() {
    let mut fleet = TestFleet::new();
    for number in 0..60 {
        fleet.want(CALLER, IdempotencyKey(1_000 + number), BODY);
    }
    fleet.advance(TAKEN_OVER);
    let before = fleet.claims[0].replica().store().len();
    leave(&mut fleet, &[0]);
    fleet.replace(&[0]);
    fleet.advance(TAKEN_OVER);
    assert!(votes(&fleet, 0));
    assert_eq!(fleet.claims[0].replica().store().len(), before);
}

#[test]
fn records_are_taken_over_by_one_process_only() {
    let mut fleet = fleet_with_two_claims();
    leave(&mut fleet, &[0]);
    fleet.replace(&[0]);
    fleet.advance(TAKEN_OVER);
    fleet.replace(&[0]);
    fleet.advance(TAKEN_OVER);
    assert!(!votes(&fleet, 0));
}

#[test]
fn records_are_not_taken_over_when_their_time_is_over() {
    let mut fleet = fleet_with_two_claims();
    leave(&mut fleet, &[0]);
    fleet.advance(ClaimSettings::DEFAULT_HANDOVER_VALIDITY);
    fleet.replace(&[0]);
    fleet.advance(TAKEN_OVER);
    assert!(!votes(&fleet, 0));
}

#[test]
fn what_ends_after_the_handover_is_told_to_the_next_process() {
    let mut fleet = TestFleet::new();
    let (id, _) = fleet.call(CALLER, BODY);
    leave(&mut fleet, &[0]);
    fleet.end(CALLER, id, completed("receipt 1"));
    fleet.replace(&[0]);
    fleet.advance(Duration::from_secs(1));
    let record = fleet.claims[0].report(fleet.now, KEY).record;
    assert!(record.is_some_and(|record| record.outcome().is_some()));
}

#[test]
fn two_replicas_missing_and_a_third_stopping_leave_no_quorum_and_nothing_runs() {
    let mut fleet = TestFleet::new();
    fleet.replace(&[1, 3]);
    leave(&mut fleet, &[0]);
    let (_, decision) = fleet.call(CALLER, BODY);
    assert_eq!(reason_of(&decision), Some(RefusalReason::NoQuorum));
}
