//! Tests for the choice of the nodes that watch the source, and for the freshness of views.

mod mesh_support;

use std::collections::BTreeSet;
use std::time::Duration;

use lifthollow_coordination::mesh::view_freshness::{
    MAX_ACCEPTED_AGE, ReportedAge, Role, ViewFreshness, age_limit,
};
use lifthollow_coordination::mesh::watchers::choose_watchers;
use lifthollow_state::mesh::ServerInstance;
use mesh_support::{at, id, ms, server};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time in milliseconds within which every node must know that a server is draining.
const DRAIN_MS: u64 = 2000;
/// Time in milliseconds that a listener may spend on watchers that don't answer.
const ASKING_MS: u64 = 400;

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
        let chosen = choose_watchers(&servers);
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
    assert_eq!(choose_watchers(&[]).len(), 0);
    assert_eq!(choose_watchers(&fleet(1, 2)).len(), 2);
    assert_eq!(choose_watchers(&fleet(1, 9)).len(), 3);
    assert_eq!(choose_watchers(&fleet(2, 9)).len(), 4);
    assert_eq!(choose_watchers(&fleet(3, 4)).len(), 3);
}

#[test]
fn the_choice_of_watchers_does_not_depend_on_the_order_or_on_other_zones() {
    let servers = fleet(4, 20);
    let mut reversed = servers.clone();
    reversed.reverse();
    let chosen = choose_watchers(&servers);
    assert_eq!(choose_watchers(&reversed), chosen);
    let without_one: Vec<ServerInstance> = servers
        .iter()
        .filter(|server| server.address != chosen[0])
        .cloned()
        .collect();
    let others = choose_watchers(&without_one);
    assert_eq!(
        others[1..],
        chosen[1..],
        "only the zone of the removed server chooses another watcher"
    );
    assert_ne!(others[0], chosen[0]);
}

#[test]
fn a_restarted_server_does_not_change_the_choice_of_watchers() {
    let servers = fleet(3, 5);
    let mut both = servers.clone();
    both.extend(servers.iter().cloned().map(|mut server| {
        server.id = id(&format!("{}-again", server.id));
        server
    }));
    assert_eq!(choose_watchers(&both), choose_watchers(&servers));
}

#[test]
fn a_listener_without_reports_asks_before_a_draining_server_must_be_known() {
    let latest = age_limit(Role::Listener, 1.0);
    assert!(latest + ms(ASKING_MS) <= ms(DRAIN_MS));
}

#[test]
fn watchers_check_their_views_before_listeners() {
    let latest = age_limit(Role::BusyWatcher, 1.0);
    assert!(latest < age_limit(Role::Listener, 0.0));
    assert!(latest < MAX_ACCEPTED_AGE);
}

#[test]
fn a_view_is_as_old_as_its_newest_confirmation() {
    let mut view = ViewFreshness::default();
    assert_eq!(view.age(at(10)), None);
    assert!(view.is_source_unavailable(at(10)));
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
fn an_age_that_is_reported_again_does_not_make_a_view_younger() {
    let mut view = ViewFreshness::default();
    let reported = ReportedAge {
        age: ms(200),
        hold_time: ms(30),
    };
    view.confirm(
        at(1000),
        at(1000).saturating_sub(reported.max_age_on_arrival(ms(40))),
    );
    assert_eq!(view.age(at(1000)), Some(ms(210)));
    view.confirm(
        at(1500),
        at(1500).saturating_sub(reported.max_age_on_arrival(ms(540))),
    );
    assert_eq!(view.age(at(1500)), Some(ms(710)));
}

#[test]
fn the_time_that_a_request_was_held_does_not_count_as_transit_time() {
    let reported = |hold_time| ReportedAge {
        age: ms(100),
        hold_time: ms(hold_time),
    };
    assert_eq!(reported(300).max_age_on_arrival(ms(304)), ms(104));
    assert_eq!(reported(0).max_age_on_arrival(ms(3000)), ms(3100));
    assert_eq!(
        reported(400).max_age_on_arrival(ms(304)),
        ms(100),
        "a hold time longer than the whole exchange counts as all of it"
    );
}

/// A request from one node to another for the age of its view. All times are in milliseconds.
#[derive(Clone, Copy)]
struct AgeRequest {
    from: usize,
    to: usize,
    asked: u64,
    /// When the request arrives at the other node. It is answered at `answered`, and the answer
    /// arrives at `ends`.
    arrives: u64,
    answered: u64,
    ends: u64,
    reported: Option<ReportedAge>,
}

/// Nodes that report the ages of their views to each other.
struct ReportingFleet {
    views: Vec<ViewFreshness>,
    requests: Vec<AgeRequest>,
    random: SmallRng,
}

impl ReportingFleet {
    fn new(count: usize) -> Self {
        ReportingFleet {
            views: vec![ViewFreshness::default(); count],
            requests: Vec::new(),
            random: SmallRng::seed_from_u64(1),
        }
    }

    /// Lets every node ask a random node in the millisecond that ends at `now`. Each message takes
    /// a millisecond, and one in `delayed_one_in` messages takes `delay` milliseconds more.
    fn send_requests(&mut self, now: u64, delayed_one_in: u32, delay: u64) {
        for from in 0..self.views.len() {
            let to = self.random.random_range(0..self.views.len());
            let mut transit = || 1 + delay * u64::from(self.random.random_ratio(1, delayed_one_in));
            let (there, back) = (transit(), transit());
            let hold_time = self.random.random_range(0..30);
            self.requests.push(AgeRequest {
                from,
                to,
                asked: now,
                arrives: now + there,
                answered: now + there + hold_time,
                ends: now + there + hold_time + back,
                reported: None,
            });
        }
        self.deliver_answers(now);
    }

    fn deliver_answers(&mut self, now: u64) {
        for request in &mut self.requests {
            if request.answered == now {
                let age = self.views[request.to].age(at(now));
                let hold_time = ms(request.answered - request.arrives);
                request.reported = age.map(|age| ReportedAge { age, hold_time });
            }
            if request.ends == now
                && let Some(reported) = request.reported
            {
                let age = reported.max_age_on_arrival(ms(now - request.asked));
                self.views[request.from].confirm(at(now), at(now).saturating_sub(age));
            }
        }
        self.requests.retain(|request| request.ends > now);
    }

    fn minimum_age(&self, now: u64) -> Duration {
        let ages = self.views.iter().filter_map(|view| view.age(at(now)));
        ages.min().expect("some view was confirmed")
    }
}

/// Guards against views that count as younger than they are, in a fleet with many messages of which
/// some are delayed for longer than a draining server may be used.
#[test]
fn views_age_in_a_fleet_with_many_messages_when_no_node_reaches_the_source() {
    for (nodes, delayed_one_in, delay) in [
        (15, 50, 0),
        (15, 50, 3000),
        (70, 200, 1500),
        (300, 500, 2500),
    ] {
        let mut fleet = ReportingFleet::new(nodes);
        for watcher in [0, 1, 2] {
            fleet.views[watcher].confirm(at(1000), at(1000));
        }
        for now in 1001..4000 {
            fleet.send_requests(now, delayed_one_in, delay);
            let minimum_age = fleet.minimum_age(now);
            assert!(minimum_age >= ms(now - 1000), "{nodes} nodes at {now} ms");
        }
    }
}

#[test]
fn one_node_that_reaches_the_source_keeps_all_views_fresh() {
    let mut fleet = ReportingFleet::new(300);
    for now in 1000..4000 {
        if now % 500 == 0 {
            fleet.views[9].confirm(at(now), at(now));
        }
        fleet.send_requests(now, 1000, 1000);
        if now > 1500 {
            let oldest = fleet.views.iter().map(|view| view.age(at(now))).max();
            assert!(oldest.flatten() <= Some(ms(600)), "at {now} ms");
            let all_know = fleet.views.iter().all(|view| view.age(at(now)).is_some());
            assert!(all_know);
        }
    }
}
