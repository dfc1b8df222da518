//! Tests for the choice of the nodes that watch the source, and for the freshness of views.

mod mesh_support;

use std::collections::BTreeSet;
use std::time::Duration;

use lifthollow_coordination::mesh::view_freshness::{
    ACCEPTED_AGE, NamedAge, Role, ViewFreshness, age_limit,
};
use lifthollow_coordination::mesh::watchers::watchers;
use lifthollow_state::mesh::ServerInstance;
use mesh_support::{at, id, ms, server};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time in milliseconds within which every node must know that a server is draining.
const DRAIN: u64 = 2000;
/// Time in milliseconds that a listener may spend on watchers that don't answer.
const ASKING: u64 = 400;

fn fleet(zones: usize, in_each: usize) -> Vec<ServerInstance> {
    let mut servers = Vec::new();
    for zone in 0..zones {
        for place in 0..in_each {
            let name = format!("i-{zone}-{place}");
            let mut one = server(&name, &format!("zone-{zone}"), 1);
            let octets = [10, zone as u8, (place / 250) as u8, (place % 250) as u8 + 1];
            one.address.set_ip(octets.into());
            servers.push(one);
        }
    }
    servers
}

#[test]
fn few_nodes_watch_and_no_more_in_a_larger_fleet() {
    for in_each in [10, 100, 1000] {
        let servers = fleet(5, in_each);
        let chosen = watchers(&servers);
        assert_eq!(chosen.len(), 5);
        let zones: BTreeSet<u8> = chosen
            .iter()
            .map(|address| address.ip().octets()[1])
            .collect();
        assert_eq!(zones.len(), 5, "each zone has one watcher");
    }
}

#[test]
fn small_fleets_have_three_watchers_if_they_can() {
    assert_eq!(watchers(&[]).len(), 0);
    assert_eq!(watchers(&fleet(1, 2)).len(), 2);
    assert_eq!(watchers(&fleet(1, 9)).len(), 3);
    assert_eq!(watchers(&fleet(2, 9)).len(), 4);
    assert_eq!(watchers(&fleet(3, 4)).len(), 3);
}

#[test]
fn watchers_do_not_depend_on_the_order_or_on_other_zones() {
    let servers = fleet(4, 20);
    let mut reversed = servers.clone();
    reversed.reverse();
    let chosen = watchers(&servers);
    assert_eq!(watchers(&reversed), chosen);
    let without_one: Vec<ServerInstance> = servers
        .iter()
        .filter(|server| server.address != chosen[0])
        .cloned()
        .collect();
    let others = watchers(&without_one);
    assert_eq!(
        others[1..],
        chosen[1..],
        "only the zone of the removed server chooses another watcher"
    );
    assert_ne!(others[0], chosen[0]);
}

#[test]
fn a_server_that_starts_anew_leaves_the_choice_as_it_was() {
    let servers = fleet(3, 5);
    let mut both = servers.clone();
    both.extend(servers.iter().cloned().map(|mut server| {
        server.id = id(&format!("{}-again", server.id));
        server
    }));
    assert_eq!(watchers(&both), watchers(&servers));
}

#[test]
fn a_listener_that_hears_nothing_has_asked_before_a_leaving_server_must_be_known() {
    let latest = age_limit(Role::Listener, 1.0);
    assert!(latest + ms(ASKING) <= ms(DRAIN));
}

#[test]
fn watchers_check_before_listeners_do() {
    let latest = age_limit(Role::BusyWatcher, 1.0);
    assert!(latest < age_limit(Role::Listener, 0.0));
    assert!(latest < ACCEPTED_AGE);
}

#[test]
fn a_view_is_as_old_as_its_newest_confirmation() {
    let mut view = ViewFreshness::default();
    assert_eq!(view.age(at(10)), None);
    assert!(view.is_source_lost(at(10)));
    view.confirm(at(1000), at(900));
    view.confirm(at(1000), at(400));
    assert_eq!(view.age(at(1500)), Some(ms(600)));
    view.confirm(at(1500), at(9000));
    assert_eq!(
        view.age(at(1500)),
        Some(ms(0)),
        "a confirmation from the future counts as made now"
    );
}

#[test]
fn the_source_is_available_from_the_first_confirmation_after_a_gap() {
    let mut view = ViewFreshness::default();
    view.confirm(at(1000), at(1000));
    view.confirm(at(2000), at(2000));
    assert_eq!(view.source_available_since(at(2500)), Some(at(1000)));
    assert_eq!(view.source_available_since(at(5000)), None);
    view.confirm(at(8000), at(8000));
    assert_eq!(view.source_available_since(at(8100)), Some(at(8000)));
}

#[test]
fn an_age_that_is_told_again_is_no_news() {
    let mut view = ViewFreshness::default();
    let named = NamedAge {
        age: ms(200),
        held: ms(30),
    };
    view.confirm(at(1000), at(1000).saturating_sub(named.at_most(ms(40))));
    assert_eq!(view.age(at(1000)), Some(ms(210)));
    view.confirm(at(1500), at(1500).saturating_sub(named.at_most(ms(540))));
    assert_eq!(view.age(at(1500)), Some(ms(710)));
}

#[test]
fn the_time_that_a_question_was_held_is_not_taken_for_its_way() {
    let named = |held| NamedAge {
        age: ms(100),
        held: ms(held),
    };
    assert_eq!(named(300).at_most(ms(304)), ms(104));
    assert_eq!(named(0).at_most(ms(3000)), ms(3100));
    assert_eq!(
        named(400).at_most(ms(304)),
        ms(100),
        "a hold time longer than the whole exchange counts as all of it"
    );
}

/// A request from one node to another for the age of its view. All times are in milliseconds.
#[derive(Clone, Copy)]
struct Question {
    from: usize,
    to: usize,
    asked: u64,
    /// When the request arrives at the other node. It is answered at `answered`, and the answer
    /// arrives at `ends`.
    arrives: u64,
    answered: u64,
    ends: u64,
    named: Option<NamedAge>,
}

/// Nodes that report the ages of their views to each other.
struct Talking {
    views: Vec<ViewFreshness>,
    questions: Vec<Question>,
    random: SmallRng,
}

impl Talking {
    fn new(count: usize) -> Self {
        Talking {
            views: vec![ViewFreshness::default(); count],
            questions: Vec::new(),
            random: SmallRng::seed_from_u64(1),
        }
    }

    /// Lets every node ask a random node in the millisecond that ends at `now`. Each message takes a
    /// millisecond, and one in `late` messages takes `delay` milliseconds more.
    fn step(&mut self, now: u64, late: u32, delay: u64) {
        for from in 0..self.views.len() {
            let to = self.random.random_range(0..self.views.len());
            let mut way = || 1 + delay * u64::from(self.random.random_ratio(1, late));
            let (there, back) = (way(), way());
            let held = self.random.random_range(0..30);
            self.questions.push(Question {
                from,
                to,
                asked: now,
                arrives: now + there,
                answered: now + there + held,
                ends: now + there + held + back,
                named: None,
            });
        }
        self.answer(now);
    }

    fn answer(&mut self, now: u64) {
        for question in &mut self.questions {
            if question.answered == now {
                let age = self.views[question.to].age(at(now));
                let held = ms(question.answered - question.arrives);
                question.named = age.map(|age| NamedAge { age, held });
            }
            if question.ends == now
                && let Some(named) = question.named
            {
                let age = named.at_most(ms(now - question.asked));
                self.views[question.from].confirm(at(now), at(now).saturating_sub(age));
            }
        }
        self.questions.retain(|question| question.ends > now);
    }

    fn youngest(&self, now: u64) -> Duration {
        let ages = self.views.iter().filter_map(|view| view.age(at(now)));
        ages.min().expect("some view was confirmed")
    }
}

/// Guards against views that count as younger than they are, in a fleet with many messages of which
/// some are delayed for longer than a draining server may be used.
#[test]
fn views_grow_old_in_a_fleet_that_talks_much_when_nobody_reaches_the_source() {
    for (nodes, late, delay) in [
        (15, 50, 0),
        (15, 50, 3000),
        (70, 200, 1500),
        (300, 500, 2500),
    ] {
        let mut fleet = Talking::new(nodes);
        for watcher in [0, 1, 2] {
            fleet.views[watcher].confirm(at(1000), at(1000));
        }
        for now in 1001..4000 {
            fleet.step(now, late, delay);
            let youngest = fleet.youngest(now);
            assert!(youngest >= ms(now - 1000), "{nodes} nodes at {now} ms");
        }
    }
}

#[test]
fn one_node_that_reaches_the_source_keeps_all_views_fresh() {
    let mut fleet = Talking::new(300);
    for now in 1000..4000 {
        if now % 500 == 0 {
            fleet.views[9].confirm(at(now), at(now));
        }
        fleet.step(now, 1000, 1000);
        if now > 1500 {
            let oldest = fleet.views.iter().map(|view| view.age(at(now))).max();
            assert!(oldest.flatten() <= Some(ms(600)), "at {now} ms");
            let all_know = fleet.views.iter().all(|view| view.age(at(now)).is_some());
            assert!(all_know);
        }
    }
}
