//! Tests the choice of replicas, and that no key runs twice during and after changes of
//! the roster.

mod claims_support;

use std::collections::BTreeSet;
use std::time::Duration;

use claims_support::*;
use lifthollow_coordination::claims::roster::ReplicaSets;
use lifthollow_coordination::claims::{ClaimSettings, Claims};
use lifthollow_protocol::{ClaimMessage, RefusalReason, Roster, RosterMember};
use lifthollow_state::{IdempotencyKey, Incarnation, Side, Zone};
use quickcheck::{Gen, QuickCheck};

const OLD_MEMBERS: [usize; 5] = [0, 1, 2, 3, 4];
const NEW_MEMBERS: [usize; 5] = [1, 2, 3, 4, 5];
const CALLER: usize = 6;
const RETENTION: Duration = Duration::from_secs(630);

fn deliver_roster(fleet: &mut TestFleet, to: usize, roster: &Roster) {
    fleet.inject(to, CALLER, ClaimMessage::Roster(roster.clone()));
}

/// A roster of 68 members in 17 zones on two sides.
fn large_roster() -> Roster {
    let members = (0..68).map(|index| RosterMember {
        zone: Zone((index % 17) as u16),
        side: Side::ALL[index % 17 % 2],
        ..member(index)
    });
    Roster {
        members: members.collect(),
        ..Roster::default()
    }
}

fn replicas_are_spread(key: u64) -> bool {
    let roster = large_roster();
    let replicas = ReplicaSets::of(&roster, IdempotencyKey(u128::from(key)));
    let chosen = roster
        .members
        .iter()
        .filter(|member| replicas.contains(member.node));
    let zones: BTreeSet<Zone> = chosen.clone().map(|member| member.zone).collect();
    let on_old_side = chosen.filter(|member| member.side == Side::Old).count();
    zones.len() == 5 && (2..=3).contains(&on_old_side)
}

#[test]
fn a_key_has_five_replicas_in_different_zones_and_at_most_three_on_a_side() {
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(100, 1))
        .quickcheck(replicas_are_spread as fn(u64) -> bool);
}

#[test]
fn without_a_roster_no_key_runs() {
    let mut fleet = TestFleet::new();
    fleet.claims = (0..NODES)
        .map(|index| {
            let settings = ClaimSettings::new(node(index), Incarnation(1), Roster::default(), 0);
            Claims::new(fleet.now, settings)
        })
        .collect();
    let (_, decision) = fleet.call(CALLER, BODY);
    assert_eq!(reason_of(&decision), Some(RefusalReason::NoQuorum));
}

#[test]
fn a_node_with_an_older_roster_adopts_the_newer_one_and_claims_with_it() {
    let mut fleet = TestFleet::new();
    let change = roster(2, &NEW_MEMBERS, &OLD_MEMBERS);
    for index in 0..6 {
        deliver_roster(&mut fleet, index, &change);
    }
    assert_eq!(fleet.claims[CALLER].roster().epoch, 1);
    let (_, decision) = fleet.call(CALLER, BODY);
    assert!(is_granted(&decision));
    assert_eq!(fleet.claims[CALLER].roster().epoch, 2);
}

#[test]
fn a_claim_made_before_a_roster_change_holds_during_it() {
    let mut fleet = TestFleet::new();
    fleet.call(CALLER, BODY);
    let change = roster(2, &NEW_MEMBERS, &OLD_MEMBERS);
    deliver_roster(&mut fleet, 5, &change);
    let (_, during) = fleet.call(5, BODY);
    assert!(is_unknown(&during));
}

#[test]
fn a_claim_during_a_roster_change_needs_a_majority_of_both_rosters() {
    let mut fleet = TestFleet::new();
    let change = roster(2, &[3, 4, 5, 6], &OLD_MEMBERS);
    for index in 0..NODES {
        deliver_roster(&mut fleet, index, &change);
    }
    fleet.partition(&[3, 4, 5, 6], &[0, 1, 2]);
    let (_, decision) = fleet.call(CALLER, BODY);
    assert_eq!(reason_of(&decision), Some(RefusalReason::NoQuorum));
    fleet.heal();
    let (_, decision) = fleet.call(CALLER, BODY);
    assert!(is_granted(&decision));
}

#[test]
fn after_a_roster_change_replicas_vote_only_when_they_saw_all_claims() {
    let mut fleet = TestFleet::new();
    let change = roster(2, &NEW_MEMBERS, &OLD_MEMBERS);
    let end = roster(3, &NEW_MEMBERS, &[]);
    deliver_roster(&mut fleet, 5, &change);
    fleet.advance(Duration::from_secs(60));
    deliver_roster(&mut fleet, 5, &end);
    assert!(!fleet.claims[5].report(fleet.now, KEY).may_vote);
    fleet.advance(RETENTION);
    assert!(fleet.claims[5].report(fleet.now, KEY).may_vote);
}

#[test]
fn a_replica_that_missed_a_roster_abstains_for_one_retention() {
    let mut fleet = TestFleet::new();
    let end = roster(3, &NEW_MEMBERS, &[]);
    deliver_roster(&mut fleet, 1, &end);
    assert!(!fleet.claims[1].report(fleet.now, KEY).may_vote);
    fleet.advance(RETENTION);
    assert!(fleet.claims[1].report(fleet.now, KEY).may_vote);
}

#[test]
fn votes_of_different_rosters_with_one_epoch_are_not_combined() {
    let mut fleet = TestFleet::new();
    let one = roster(2, &NEW_MEMBERS, &OLD_MEMBERS);
    let other = roster(2, &[0, 1, 2, 3, 5], &OLD_MEMBERS);
    for index in 0..5 {
        deliver_roster(&mut fleet, index, &one);
    }
    deliver_roster(&mut fleet, CALLER, &other);
    let (_, decision) = fleet.call(CALLER, BODY);
    assert_eq!(reason_of(&decision), Some(RefusalReason::NoQuorum));
}
