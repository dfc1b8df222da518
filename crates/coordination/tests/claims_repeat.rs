//! Tests repeats of a call with the same idempotency key: on another node, while the
//! first call runs, after it ran, and with another body.

mod claims_support;

use std::time::Duration;

use claims_support::*;
use lifthollow_coordination::claims::{ClaimDecision, ClaimEvent, RunEnd};
use lifthollow_protocol::{RecordedOutcome, RefusalReason};

const OLD_SIDE_NODE: usize = 0;
const NEW_SIDE_NODE: usize = 1;
const OUTSIDE_ROSTER: usize = 6;

#[test]
fn a_repeat_on_another_node_gets_the_recorded_answer() {
    let mut fleet = TestFleet::new();
    let (id, first) = fleet.call(OLD_SIDE_NODE, BODY);
    assert!(is_granted(&first));
    fleet.end(OLD_SIDE_NODE, id, completed("receipt 1"));

    for index in [NEW_SIDE_NODE, OLD_SIDE_NODE, OUTSIDE_ROSTER] {
        let (_, repeat) = fleet.call(index, BODY);
        assert_eq!(repeat, ClaimDecision::Replay(answer("receipt 1")));
    }
}

#[test]
fn a_repeat_during_the_first_run_is_immediately_refused_as_unknown() {
    let mut fleet = TestFleet::new();
    fleet.call(OLD_SIDE_NODE, BODY);

    for index in [NEW_SIDE_NODE, OLD_SIDE_NODE] {
        let id = fleet.start_call(index, KEY, BODY);
        fleet.advance(Duration::from_millis(3));
        let repeat = fleet.decision(index, id);
        assert!(is_unknown(&repeat));
        assert_eq!(reason_of(&repeat), Some(RefusalReason::AlreadyRunning));
    }
}

#[test]
fn a_repeat_after_the_answer_was_lost_is_refused_as_unknown() {
    let mut fleet = TestFleet::new();
    let (id, _) = fleet.call(OLD_SIDE_NODE, BODY);
    let lost = RunEnd::Ended(RecordedOutcome::AnswerLost);
    fleet.end(OLD_SIDE_NODE, id, lost);

    let (_, repeat) = fleet.call(NEW_SIDE_NODE, BODY);
    assert!(is_unknown(&repeat));
    assert_eq!(reason_of(&repeat), Some(RefusalReason::AnswerLost));
}

#[test]
fn a_repeat_of_a_call_that_the_back_end_refused_runs() {
    let mut fleet = TestFleet::new();
    let (id, _) = fleet.call(OLD_SIDE_NODE, BODY);
    fleet.end(OLD_SIDE_NODE, id, RunEnd::NotStarted);

    let (_, repeat) = fleet.call(NEW_SIDE_NODE, BODY);
    assert!(is_granted(&repeat));
}

#[test]
fn a_repeat_with_another_body_is_refused_as_key_reused() {
    let mut fleet = TestFleet::new();
    let (id, _) = fleet.call(OLD_SIDE_NODE, BODY);
    let (_, while_running) = fleet.call(NEW_SIDE_NODE, OTHER_BODY);
    fleet.end(OLD_SIDE_NODE, id, completed("receipt 1"));
    let (_, afterwards) = fleet.call(NEW_SIDE_NODE, OTHER_BODY);

    for refusal in [while_running, afterwards] {
        assert!(!is_unknown(&refusal));
        assert_eq!(reason_of(&refusal), Some(RefusalReason::KeyReused));
    }
}

#[test]
fn of_simultaneous_calls_on_all_nodes_exactly_one_runs() {
    let mut fleet = TestFleet::new();
    let ids: Vec<_> = (0..NODES)
        .map(|index| fleet.start_call(index, KEY, BODY))
        .collect();
    fleet.advance(Duration::from_millis(600));

    let decisions = ids
        .iter()
        .enumerate()
        .map(|(index, id)| fleet.decision(index, *id));
    let (granted, refused): (Vec<_>, Vec<_>) = decisions.partition(is_granted);
    assert_eq!(granted.len(), 1);
    assert!(refused.iter().all(is_unknown), "{refused:?}");
}

#[test]
fn a_call_abandoned_before_the_grant_leaves_the_key_free() {
    let mut fleet = TestFleet::new();
    let id = fleet.start_call(OLD_SIDE_NODE, KEY, BODY);
    fleet.handle(OLD_SIDE_NODE, ClaimEvent::Abandoned { id });
    fleet.advance(Duration::from_millis(10));
    assert!(!fleet.is_decided(OLD_SIDE_NODE, id));

    let (_, repeat) = fleet.call(NEW_SIDE_NODE, BODY);
    assert!(is_granted(&repeat));
}

#[test]
fn a_claim_takes_one_round_trip_and_at_most_twenty_messages() {
    let mut fleet = TestFleet::new();
    let id = fleet.start_call(OUTSIDE_ROSTER, KEY, BODY);
    fleet.advance(Duration::from_millis(2));
    assert!(is_granted(&fleet.decision(OUTSIDE_ROSTER, id)));
    fleet.end(OUTSIDE_ROSTER, id, completed("receipt 1"));
    assert_eq!(fleet.messages_sent, 20);
}
