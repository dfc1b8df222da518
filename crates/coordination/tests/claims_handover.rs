//! Tests that replicas that stop as planned hand their records over, and that a
//! handover is used by one process and in time only.

mod claims_support;

use std::time::Duration;

use claims_support::*;
use lifthollow_coordination::claims::{ClaimDecision, ClaimEvent, ClaimSettings};
use lifthollow_protocol::RefusalReason;
use lifthollow_state::IdempotencyKey;

const CALLER: usize = 5;
const OTHER_CALLER: usize = 6;
const HANDOVER_TIME: Duration = Duration::from_millis(3_500);
const TAKEOVER_TIME: Duration = Duration::from_millis(100);
const OPEN_KEY: IdempotencyKey = IdempotencyKey(8);

fn hand_over(fleet: &mut TestFleet, indexes: &[usize]) {
    for index in indexes {
        fleet.handle(*index, ClaimEvent::Leave);
    }
    fleet.advance(HANDOVER_TIME);
}

fn may_vote(fleet: &TestFleet, index: usize) -> bool {
    fleet.claims[index].report(fleet.now, KEY).may_vote
}

/// A fleet with one call that was answered and one call that still runs.
fn fleet_with_two_claims() -> TestFleet {
    let mut fleet = TestFleet::new();
    let (id, _) = fleet.call(CALLER, BODY);
    fleet.end(CALLER, id, completed("receipt 1"));
    fleet.start_call(CALLER, OPEN_KEY, BODY);
    fleet.advance(TAKEOVER_TIME);
    fleet
}

fn assert_both_claims_hold(fleet: &mut TestFleet) {
    let (_, repeat) = fleet.call(OTHER_CALLER, BODY);
    assert_eq!(repeat, ClaimDecision::Replay(answer("receipt 1")));
    let id = fleet.start_call(OTHER_CALLER, OPEN_KEY, BODY);
    fleet.advance(Duration::from_millis(600));
    assert!(is_unknown(&fleet.decision(OTHER_CALLER, id)));
}

#[test]
fn the_successor_of_a_replica_stopped_as_planned_soon_votes() {
    let mut fleet = fleet_with_two_claims();
    hand_over(&mut fleet, &[0]);
    assert!(!may_vote(&fleet, 0));
    fleet.replace(&[0]);
    assert!(!may_vote(&fleet, 0));
    fleet.advance(TAKEOVER_TIME);
    assert!(may_vote(&fleet, 0));
    assert_both_claims_hold(&mut fleet);
}

#[test]
fn the_replicas_of_a_side_stopped_together_keep_every_claim() {
    let mut fleet = fleet_with_two_claims();
    hand_over(&mut fleet, &[0, 2, 4]);
    fleet.replace(&[0, 2, 4]);
    fleet.advance(TAKEOVER_TIME);
    assert!([0, 2, 4].iter().all(|index| may_vote(&fleet, *index)));
    assert_both_claims_hold(&mut fleet);
    let id = fleet.start_call(CALLER, IdempotencyKey(9), BODY);
    fleet.advance(TAKEOVER_TIME);
    assert!(is_granted(&fleet.decision(CALLER, id)));
}

#[test]
fn many_records_are_handed_over_in_pages() {
    let mut fleet = TestFleet::new();
    for number in 0..60 {
        fleet.start_call(CALLER, IdempotencyKey(1_000 + number), BODY);
    }
    fleet.advance(TAKEOVER_TIME);
    let before = fleet.claims[0].replica().store().len();
    hand_over(&mut fleet, &[0]);
    fleet.replace(&[0]);
    fleet.advance(TAKEOVER_TIME);
    assert!(may_vote(&fleet, 0));
    assert_eq!(fleet.claims[0].replica().store().len(), before);
}

#[test]
fn handed_over_records_are_read_by_one_process_only() {
    let mut fleet = fleet_with_two_claims();
    hand_over(&mut fleet, &[0]);
    fleet.replace(&[0]);
    fleet.advance(TAKEOVER_TIME);
    fleet.replace(&[0]);
    fleet.advance(TAKEOVER_TIME);
    assert!(!may_vote(&fleet, 0));
}

#[test]
fn an_expired_handover_is_not_read() {
    let mut fleet = fleet_with_two_claims();
    hand_over(&mut fleet, &[0]);
    fleet.advance(ClaimSettings::DEFAULT_HANDOVER_VALIDITY);
    fleet.replace(&[0]);
    fleet.advance(TAKEOVER_TIME);
    assert!(!may_vote(&fleet, 0));
}

#[test]
fn an_outcome_after_the_handover_reaches_the_next_process() {
    let mut fleet = TestFleet::new();
    let (id, _) = fleet.call(CALLER, BODY);
    hand_over(&mut fleet, &[0]);
    fleet.end(CALLER, id, completed("receipt 1"));
    fleet.replace(&[0]);
    fleet.advance(Duration::from_secs(1));
    let record = fleet.claims[0].report(fleet.now, KEY).record;
    assert!(record.is_some_and(|record| record.outcome().is_some()));
}

#[test]
fn two_replaced_replicas_and_a_stopped_one_leave_no_quorum() {
    let mut fleet = TestFleet::new();
    fleet.replace(&[1, 3]);
    hand_over(&mut fleet, &[0]);
    let (_, decision) = fleet.call(CALLER, BODY);
    assert_eq!(reason_of(&decision), Some(RefusalReason::NoQuorum));
}
