//! Tests that no key runs twice when its claimant or replicas are replaced by
//! processes without records.

mod claims_support;

use std::time::Duration;

use claims_support::*;
use lifthollow_coordination::claims::{ClaimDecision, ClaimSettings};
use lifthollow_protocol::RefusalReason;
use lifthollow_state::{IdempotencyKey, Incarnation};

const CALLER: usize = 5;
const OTHER_CALLER: usize = 6;
const REPLICAS: [usize; 5] = [0, 1, 2, 3, 4];
const REJOIN_TIME: Duration = Duration::from_secs(16);

fn settings() -> ClaimSettings {
    let roster = roster(1, &REPLICAS, &[]);
    ClaimSettings::new(node(0), Incarnation(1), roster, 0)
}

#[test]
fn a_key_stays_claimed_when_one_or_two_replicas_are_replaced() {
    for replaced in [&REPLICAS[..1], &REPLICAS[..2], &REPLICAS[3..]] {
        let mut fleet = TestFleet::new();
        fleet.call(CALLER, BODY);
        fleet.replace(replaced);
        let (_, at_once) = fleet.call(OTHER_CALLER, BODY);
        assert!(is_unknown(&at_once));
        fleet.advance(REJOIN_TIME);
        let (_, later) = fleet.call(OTHER_CALLER, BODY);
        assert!(is_unknown(&later));
    }
}

#[test]
fn after_replacing_all_replicas_nothing_runs_until_all_claims_expired() {
    let mut fleet = TestFleet::new();
    let (_, first) = fleet.call(CALLER, BODY);
    assert!(is_granted(&first));
    fleet.replace(&REPLICAS);
    let replaced_at = fleet.now;

    while fleet.now - replaced_at < settings().lifetime {
        let (_, repeat) = fleet.call(OTHER_CALLER, BODY);
        assert_eq!(reason_of(&repeat), Some(RefusalReason::NoQuorum));
        fleet.advance(Duration::from_secs(60));
    }
    fleet.advance(settings().retention() - settings().lifetime);
    let (_, later) = fleet.call(OTHER_CALLER, BODY);
    assert!(is_granted(&later));
}

#[test]
fn a_key_whose_claimant_was_replaced_stays_unknown() {
    let mut fleet = TestFleet::new();
    fleet.call(CALLER, BODY);
    fleet.replace(&[CALLER]);
    for index in [CALLER, OTHER_CALLER] {
        let (_, repeat) = fleet.call(index, BODY);
        assert!(is_unknown(&repeat));
    }
}

#[test]
fn replicas_replaced_in_turn_keep_claim_and_answer() {
    let mut fleet = TestFleet::new();
    let (id, _) = fleet.call(CALLER, BODY);
    fleet.end(CALLER, id, completed("receipt 1"));
    let unfinished = IdempotencyKey(8);
    fleet.start_call(CALLER, unfinished, BODY);
    for index in REPLICAS {
        fleet.replace(&[index]);
        fleet.advance(REJOIN_TIME);
        assert!(
            fleet.claims[index]
                .replica()
                .has_learned_all_claims(fleet.now)
        );
    }

    let (_, repeat) = fleet.call(OTHER_CALLER, BODY);
    assert_eq!(repeat, ClaimDecision::Replay(answer("receipt 1")));
    let id = fleet.start_call(OTHER_CALLER, unfinished, BODY);
    fleet.advance(Duration::from_millis(600));
    assert!(is_unknown(&fleet.decision(OTHER_CALLER, id)));
}

#[test]
fn replicas_replaced_in_turn_block_no_new_claim() {
    let mut fleet = TestFleet::new();
    for (number, index) in REPLICAS.into_iter().enumerate() {
        fleet.replace(&[index]);
        let id = fleet.start_call(CALLER, IdempotencyKey(100 + number as u128), BODY);
        fleet.advance(REJOIN_TIME);
        assert!(is_granted(&fleet.decision(CALLER, id)));
    }
}

#[test]
fn two_replicas_replaced_at_once_learn_from_the_other_three() {
    let mut fleet = TestFleet::new();
    fleet.replace(&[0, 1]);
    fleet.advance(REJOIN_TIME);
    for index in [0, 1] {
        assert!(
            fleet.claims[index]
                .replica()
                .has_learned_all_claims(fleet.now)
        );
    }
}

#[test]
fn three_replicas_replaced_at_once_do_not_inform_each_other() {
    let mut fleet = TestFleet::new();
    fleet.call(CALLER, BODY);
    fleet.replace(&[0, 1, 2]);
    fleet.advance(REJOIN_TIME);
    for index in [0, 1, 2] {
        assert!(!fleet.claims[index].report(fleet.now, KEY).may_vote);
    }
    let (_, repeat) = fleet.call(OTHER_CALLER, BODY);
    assert!(is_unknown(&repeat));
    let id = fleet.start_call(OTHER_CALLER, IdempotencyKey(9), BODY);
    fleet.advance(Duration::from_millis(600));
    let new_key = fleet.decision(OTHER_CALLER, id);
    assert_eq!(reason_of(&new_key), Some(RefusalReason::NoQuorum));
}

#[test]
fn a_replaced_replica_does_not_vote_while_its_predecessors_votes_may_count() {
    let mut fleet = TestFleet::new();
    fleet.replace(&[0]);
    fleet.advance(settings().start_window);
    assert!(!fleet.claims[0].report(fleet.now, KEY).may_vote);
    fleet.advance(REJOIN_TIME - settings().start_window);
    assert!(fleet.claims[0].report(fleet.now, KEY).may_vote);
}
