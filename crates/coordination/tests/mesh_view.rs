//! Who asks the source, when, and how others learn from them.

mod mesh_support;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use lifthollow_coordination::mesh::snapshot_store::{Applied, SnapshotStore};
use lifthollow_coordination::mesh::view_freshness::{
    ACCEPTED_AGE, NamedAge, Role, ViewFreshness, age_limit,
};
use lifthollow_coordination::mesh::watchers::watchers;
use lifthollow_state::mesh::{Change, InstanceId, KnownServer, Revision, ServerInstance, Update};
use mesh_support::{at, at_revision, configuration, id, ms, route, server, version_of};
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Every leaving server must be known within this time.
const DRAIN: u64 = 2000;
/// What a listener may spend on watchers that don't answer.
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
        assert_eq!(zones.len(), 5, "one in each zone");
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
    assert_eq!(others[1..], chosen[1..], "only its zone chooses another");
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
    assert_eq!(view.age(at(1500)), Some(ms(0)), "never from the future");
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
    assert_eq!(named(400).at_most(ms(304)), ms(100), "clocks that disagree");
}

/// A node that waits for another's answer.
#[derive(Clone, Copy)]
struct Question {
    from: usize,
    to: usize,
    asked: u64,
    /// When the question arrives, is answered, and the answer arrives.
    arrives: u64,
    answered: u64,
    ends: u64,
    named: Option<NamedAge>,
}

/// Nodes that tell each other how fresh their views are.
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

    /// In the millisecond that ends at `now`, every node asks another one. Each way
    /// takes a millisecond, and one of `late` as many milliseconds more as `delay`.
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

/// No node takes a view for younger than it is, in a fleet that talks much and whose
/// messages wait, some for longer than a leaving server may be used.
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

fn store_of(count: u64) -> SnapshotStore {
    let mut store = SnapshotStore::default();
    for revision in 1..=count {
        let name = format!("i-{revision}");
        let change = Change::Server(server(&name, "a", (revision % 250) as u8));
        store.apply(at(revision), at_revision(revision), change);
        store.advance(at_revision(revision));
    }
    store
}

#[test]
fn a_node_that_is_behind_is_sent_only_what_it_lacks() {
    let store = store_of(9);
    let Update::Difference {
        revision, changes, ..
    } = store.update_since(version_of(7))
    else {
        panic!("the whole was sent");
    };
    assert_eq!(revision, at_revision(9));
    let revisions: Vec<Revision> = changes.iter().map(|change| change.revision).collect();
    assert_eq!(revisions, [at_revision(8), at_revision(9)]);
}

#[test]
fn a_node_that_knows_nothing_or_is_too_far_behind_is_sent_the_whole() {
    let store = store_of(2000);
    assert!(matches!(
        store.update_since(version_of(0)),
        Update::Whole(_)
    ));
    assert!(matches!(
        store.update_since(version_of(100)),
        Update::Whole(_)
    ));
    assert!(matches!(
        store.update_since(version_of(1500)),
        Update::Difference { .. }
    ));
}

#[test]
fn a_node_that_read_the_whole_tells_others_only_what_they_lack() {
    let mut reader = store_of(2000);
    let mut behind = reader.clone();
    let mut newer = (**reader.snapshot()).clone();
    newer.revision = at_revision(2500);
    newer.servers.remove(&id("i-1"));
    let joined = KnownServer {
        instance: server("i-new", "a", 251),
        revision: at_revision(2400),
    };
    newer.servers.insert(id("i-new"), joined);
    newer.configuration = Some(configuration(3, vec![route("r", "/")]));
    reader.replace(at(3000), newer.clone());
    let update = reader.update_since(version_of(2000));
    let Update::Difference { changes, .. } = &update else {
        panic!("the whole was sent");
    };
    assert_eq!(changes.len(), 3, "{changes:?}");
    behind.update(at(3001), update);
    assert_eq!(**behind.snapshot(), newer);
    assert!(matches!(
        reader.update_since(version_of(100)),
        Update::Whole(_)
    ));
}

#[test]
fn a_node_that_knew_nothing_or_little_of_the_whole_sends_the_whole() {
    let whole = (**store_of(2000).snapshot()).clone();
    for known in [0, 3] {
        let mut store = store_of(known);
        store.replace(at(3000), whole.clone());
        assert!(matches!(
            store.update_since(version_of(known)),
            Update::Whole(_)
        ));
    }
}

#[test]
fn a_node_between_what_was_read_and_what_was_known_before_is_sent_the_whole() {
    let mut between = store_of(5);
    let mut reader = between.clone();
    let mut newer = (**reader.snapshot()).clone();
    newer.revision = at_revision(9);
    reader.replace(at(20), newer.clone());
    let mut told = between.clone();
    told.update(at(21), reader.update_since(version_of(5)));
    // A server came at 7, and went again before the whole was read.
    between.apply(
        at(7),
        at_revision(7),
        Change::Server(server("i-short", "a", 251)),
    );
    between.advance(at_revision(7));
    for store in [&reader, &told] {
        assert!(matches!(
            store.update_since(version_of(7)),
            Update::Whole(_)
        ));
        let mut one = between.clone();
        one.update(at(22), store.update_since(version_of(7)));
        assert_eq!(**one.snapshot(), newer);
    }
}

#[test]
fn an_item_newer_than_the_snapshot_it_was_told_with_reaches_all() {
    let mut reader = store_of(10);
    let mut behind = reader.clone();
    let mut newer = (**reader.snapshot()).clone();
    newer.revision = at_revision(12);
    newer.servers.remove(&id("i-2"));
    let joined = KnownServer {
        instance: server("i-new", "a", 251),
        revision: at_revision(14),
    };
    newer.servers.insert(id("i-new"), joined);
    reader.replace(at(20), newer);
    behind.update(at(21), reader.update_since(version_of(10)));
    let servers = |store: &SnapshotStore| -> Vec<InstanceId> {
        store.snapshot().servers.keys().cloned().collect()
    };
    assert_eq!(servers(&behind), servers(&reader));
}

#[test]
fn what_the_snapshot_includes_is_not_applied_again() {
    let mut store = store_of(3);
    store.apply(at(10), at_revision(4), Change::ServerGone(id("i-2")));
    store.advance(at_revision(4));
    let late = Change::Server(server("i-2", "a", 2));
    assert_eq!(store.apply(at(11), at_revision(2), late), Applied::Nothing);
    assert!(!store.snapshot().servers.contains_key(&id("i-2")));
}

/// Changes of one fleet, each server at an address of its own, made in a store and in two maps
/// of the same size.
struct ChangingFleet {
    servers: u64,
    revision: u64,
    store: SnapshotStore,
    by_id: BTreeMap<InstanceId, ServerInstance>,
    by_address: HashMap<SocketAddrV4, Revision>,
}

impl ChangingFleet {
    fn new(servers: u64) -> Self {
        let mut fleet = ChangingFleet {
            servers,
            revision: 0,
            store: SnapshotStore::default(),
            by_id: BTreeMap::new(),
            by_address: HashMap::new(),
        };
        for number in 1..=servers {
            fleet.change_store(number);
            fleet.change_maps(number);
        }
        fleet
    }

    fn next_change(&mut self, number: u64) -> (Revision, ServerInstance) {
        self.revision += 1;
        let mut one = server(&format!("i-{number}"), "a", 1);
        let octets = (number as u32).to_be_bytes();
        one.address
            .set_ip([10, octets[1], octets[2], octets[3]].into());
        one.slots = self.revision as u32;
        (at_revision(self.revision), one)
    }

    fn change_store(&mut self, number: u64) {
        let (revision, one) = self.next_change(number);
        let now = at(self.revision);
        let applied = self.store.apply(now, revision, Change::Server(one));
        assert_eq!(applied, Applied::Servers);
        self.store.advance(revision);
    }

    fn change_maps(&mut self, number: u64) {
        let (revision, one) = self.next_change(number);
        self.by_address.insert(one.address, revision);
        self.by_id.remove(&one.id);
        self.by_id.insert(one.id.clone(), one);
    }

    /// The times that a round of changes all over the fleet takes, in the store and in the maps.
    fn round(&mut self) -> [Duration; 2] {
        const CHANGES: u64 = 500;
        let servers = self.servers;
        let numbers = || (0..CHANGES).map(|place| place * servers / CHANGES + 1);
        let began = Instant::now();
        numbers().for_each(|number| self.change_store(number));
        let in_store = began.elapsed();
        let began = Instant::now();
        numbers().for_each(|number| self.change_maps(number));
        [in_store, began.elapsed()]
    }
}

/// How many times as long as in maps a change takes in the store, by the best rounds.
fn cost_of_a_change(rounds: &[[Duration; 2]]) -> f64 {
    let best = |kind: usize| rounds.iter().map(|round| round[kind]).min();
    let (store, maps) = (best(0).expect("rounds"), best(1).expect("rounds"));
    println!("{store:?} in the store, {maps:?} in maps");
    store.as_secs_f64() / maps.as_secs_f64()
}

/// Each change walked all servers of the fleet, so that the start of a fleet cost each node the
/// square of its size. Twice as much at ten times the size is allowed, of what plain maps of that
/// size cost: these feel a cold cache and a busy machine as the store does.
#[test]
fn the_work_of_a_change_does_not_grow_with_the_fleet() {
    const ROUNDS: usize = 20;
    let mut small = ChangingFleet::new(1_000);
    let mut large = ChangingFleet::new(10_000);
    let (mut few, mut many) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        few.push(small.round());
        many.push(large.round());
    }
    let (few, many) = (cost_of_a_change(&few), cost_of_a_change(&many));
    assert!(many < few * 2.0, "{many} against {few} times a map's");
}

/// Changes as a source makes them: servers come, change and go.
fn change(pick: u8) -> Change {
    let name = format!("i-{}", pick % 7);
    match pick % 5 {
        0 => Change::ServerGone(id(&name)),
        1 => Change::Configuration(configuration(u64::from(pick) + 1, vec![route("r", "/")])),
        _ => {
            let mut one = server(&name, "a", pick % 7);
            one.slots = u32::from(pick);
            Change::Server(one)
        }
    }
}

quickcheck! {
    /// Some nodes read the whole from the source, the others ask these for what they lack.
    fn differences_of_wholes_lead_to_the_same_snapshot(picks: Vec<u8>, reads: Vec<(u8, u8)>) -> bool {
        let mut source = SnapshotStore::default();
        let mut nodes = vec![SnapshotStore::default(); 4];
        let mut reads = reads.into_iter();
        for (place, pick) in picks.into_iter().enumerate() {
            let revision = place as u64 + 1;
            source.apply(at(revision), at_revision(revision), change(pick));
            source.advance(at_revision(revision));
            if let Some((reader, asking)) = reads.next() {
                let (reader, asking) = (usize::from(reader) % 4, usize::from(asking) % 4);
                nodes[reader].replace(at(revision), (**source.snapshot()).clone());
                let update = nodes[reader].update_since(nodes[asking].version());
                nodes[asking].update(at(revision), update);
                if nodes[asking].snapshot() != nodes[reader].snapshot() {
                    return false;
                }
            }
        }
        true
    }

    /// However nodes take turns at asking each other, all that end at the newest
    /// revision know the same.
    fn updates_lead_to_the_same_snapshot(picks: Vec<u8>, asking: Vec<(u8, u8)>) -> bool {
        let mut source = SnapshotStore::default();
        let mut nodes = vec![SnapshotStore::default(); 4];
        let mut asking = asking.into_iter();
        for (place, pick) in picks.into_iter().enumerate() {
            let revision = place as u64 + 1;
            source.apply(at(revision), at_revision(revision), change(pick));
            source.advance(at_revision(revision));
            if let Some((from, to)) = asking.next() {
                let (from, to) = (usize::from(from) % 5, usize::from(to) % 4);
                let mine = nodes[to].version();
                let update = match nodes.get(from) {
                    Some(node) => node.update_since(mine),
                    None => source.update_since(mine),
                };
                nodes[to].update(at(revision), update);
            }
        }
        nodes.into_iter().all(|mut node| {
            let update = source.update_since(node.version());
            node.update(at(10_000), update);
            node.snapshot() == source.snapshot()
        })
    }
}
