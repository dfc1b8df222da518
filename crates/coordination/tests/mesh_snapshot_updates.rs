//! Tests for the snapshot store: nodes send each other only the changes that the other one lacks.

mod mesh_support;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use lifthollow_coordination::mesh::snapshot_store::{Applied, SnapshotStore};
use lifthollow_state::mesh::{Change, InstanceId, KnownServer, Revision, ServerInstance, Update};
use mesh_support::{at, at_revision, configuration, id, route, server, version_of};
use quickcheck::quickcheck;

fn store_with_servers(count: u64) -> SnapshotStore {
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
    let store = store_with_servers(9);
    let Update::Difference {
        revision, changes, ..
    } = store.update_since(version_of(7))
    else {
        panic!("the whole snapshot was sent instead of a difference");
    };
    assert_eq!(revision, at_revision(9));
    let revisions: Vec<Revision> = changes.iter().map(|change| change.revision).collect();
    assert_eq!(revisions, [at_revision(8), at_revision(9)]);
}

#[test]
fn a_node_that_knows_nothing_or_is_too_far_behind_is_sent_the_whole_snapshot() {
    let store = store_with_servers(2000);
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
fn a_node_that_read_the_whole_snapshot_sends_others_only_what_they_lack() {
    let mut reader = store_with_servers(2000);
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
        panic!("the whole snapshot was sent instead of a difference");
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
fn a_node_that_knew_little_before_it_read_the_whole_snapshot_sends_the_whole_snapshot() {
    let whole = (**store_with_servers(2000).snapshot()).clone();
    for known in [0, 3] {
        let mut store = store_with_servers(known);
        store.replace(at(3000), whole.clone());
        assert!(matches!(
            store.update_since(version_of(known)),
            Update::Whole(_)
        ));
    }
}

#[test]
fn a_node_whose_revision_lies_in_a_gap_of_the_log_is_sent_the_whole_snapshot() {
    let mut between = store_with_servers(5);
    let mut reader = between.clone();
    let mut newer = (**reader.snapshot()).clone();
    newer.revision = at_revision(9);
    reader.replace(at(20), newer.clone());
    let mut told = between.clone();
    told.update(at(21), reader.update_since(version_of(5)));
    // A server joined at revision 7, and was removed before the whole snapshot was read.
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
        let mut receiver = between.clone();
        receiver.update(at(22), store.update_since(version_of(7)));
        assert_eq!(**receiver.snapshot(), newer);
    }
}

#[test]
fn an_item_newer_than_the_snapshot_it_was_read_with_reaches_all_nodes() {
    let mut reader = store_with_servers(10);
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
fn a_change_older_than_the_snapshot_is_not_applied() {
    let mut store = store_with_servers(3);
    store.apply(at(10), at_revision(4), Change::ServerGone(id("i-2")));
    store.advance(at_revision(4));
    let late = Change::Server(server("i-2", "a", 2));
    assert_eq!(
        store.apply(at(11), at_revision(2), late),
        Applied::Unchanged
    );
    assert!(!store.snapshot().servers.contains_key(&id("i-2")));
}

/// Returns the number of routes and servers' texts' bytes that an update carries.
fn size_of_update(update: &Update) -> (usize, usize) {
    let Update::Difference { changes, .. } = update else {
        panic!("the whole snapshot was sent instead of a difference");
    };
    let mut size = (0, 0);
    for change in changes {
        match &change.change {
            Change::Configuration(configuration) => size.0 += configuration.routes.len(),
            Change::Server(instance) => size.1 += instance.service.len() + instance.zone.len(),
            Change::ServerGone(_) | Change::ServerOverwritten(_) => {}
        }
    }
    size
}

/// Guards against a log of changes that keeps each of the last configurations whole: nodes exceeded
/// their memory when a large configuration changed often.
#[test]
fn log_of_changes_holds_no_former_configuration() {
    const ROUTES: usize = 100;
    let mut store = store_with_servers(3);
    for revision in 4..=500 {
        let routes =
            (0..ROUTES).map(|number| route(&format!("r{number}"), &format!("/r{number}/")));
        let newest = configuration(revision, routes.collect());
        let applied = store.apply(
            at(revision),
            at_revision(revision),
            Change::Configuration(newest),
        );
        assert_eq!(applied, Applied::Configuration);
        store.advance(at_revision(revision));
    }
    let mut behind = store_with_servers(3);
    let update = store.update_since(behind.version());
    assert_eq!(size_of_update(&update).0, ROUTES);
    behind.update(at(501), update);
    assert_eq!(behind.snapshot(), store.snapshot());
}

/// Guards against a configuration that is not valid and takes the place of the one in force in the log
/// of changes: a node that is behind would get neither.
#[test]
fn refused_configuration_hides_no_valid_one_from_nodes_that_are_behind() {
    let mut store = store_with_servers(3);
    let mut behind = store.clone();
    let valid = configuration(1, vec![route("r", "/")]);
    store.apply(at(4), at_revision(4), Change::Configuration(valid));
    let mut invalid = configuration(2, vec![route("r", "/")]);
    invalid.routes[0].max_attempts = 0;
    let applied = store.apply(at(5), at_revision(5), Change::Configuration(invalid));
    assert!(matches!(applied, Applied::Rejected(_)));
    store.advance(at_revision(5));
    behind.update(at(6), store.update_since(behind.version()));
    assert_eq!(behind.snapshot(), store.snapshot());
}

/// Guards against entries with long texts, which another writer may make: the log of changes kept a
/// thousand of them.
#[test]
fn log_of_changes_is_bounded_in_bytes() {
    const TEXT_BYTES: usize = 100_000;
    const CHANGES: u64 = 100;
    let mut store = store_with_servers(3);
    for revision in 4..4 + CHANGES {
        let mut changed = server("i-long", &"z".repeat(TEXT_BYTES), 9);
        changed.slots = revision as u32;
        store.apply(at(revision), at_revision(revision), Change::Server(changed));
        store.advance(at_revision(revision));
    }
    let logged = (4..4 + CHANGES).filter(|revision| {
        let update = store.update_since(version_of(*revision));
        matches!(update, Update::Difference { .. })
    });
    let logged = logged.count();
    assert!(
        (2..=20).contains(&logged),
        "{logged} of {CHANGES} changes are in the log"
    );
    let mut behind = store_with_servers(3);
    behind.update(at(1000), store.update_since(behind.version()));
    assert_eq!(behind.snapshot(), store.snapshot());
}

/// A fleet with one address per server, whose changes are applied to a store and, for comparison,
/// to two plain maps of the same size.
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
        let mut changed = server(&format!("i-{number}"), "a", 1);
        let octets = (number as u32).to_be_bytes();
        changed
            .address
            .set_ip([10, octets[1], octets[2], octets[3]].into());
        changed.slots = self.revision as u32;
        (at_revision(self.revision), changed)
    }

    fn change_store(&mut self, number: u64) {
        let (revision, changed) = self.next_change(number);
        let now = at(self.revision);
        let applied = self.store.apply(now, revision, Change::Server(changed));
        assert_eq!(applied, Applied::Servers);
        self.store.advance(revision);
    }

    fn change_maps(&mut self, number: u64) {
        let (revision, changed) = self.next_change(number);
        self.by_address.insert(changed.address, revision);
        self.by_id.remove(&changed.id);
        self.by_id.insert(changed.id.clone(), changed);
    }

    /// Measures a round of changes spread over the whole fleet. Returns the time in the store and
    /// the time in the maps.
    fn measure_round(&mut self) -> [Duration; 2] {
        const CHANGES: u64 = 500;
        let servers = self.servers;
        let numbers = || (0..CHANGES).map(|place| place * servers / CHANGES + 1);
        let began = Instant::now();
        numbers().for_each(|number| self.change_store(number));
        let store_time = began.elapsed();
        let began = Instant::now();
        numbers().for_each(|number| self.change_maps(number));
        [store_time, began.elapsed()]
    }
}

/// Ratio of the time of a change in the store to that in the maps, each by its fastest round.
fn store_to_maps_ratio(rounds: &[[Duration; 2]]) -> f64 {
    let best = |kind: usize| rounds.iter().map(|round| round[kind]).min();
    let (store, maps) = (
        best(0).expect("at least one round was measured"),
        best(1).expect("at least one round was measured"),
    );
    println!("{store:?} in the store, {maps:?} in maps");
    store.as_secs_f64() / maps.as_secs_f64()
}

/// Guards against a change that iterates over all servers, which makes the cost of a fleet's start
/// quadratic in its size at each node. The ratio to plain maps of the same size may double at ten
/// times the size; cold caches and a busy machine slow the maps as much as the store.
#[test]
fn the_cost_of_a_change_does_not_grow_with_the_fleet() {
    const ROUNDS: usize = 20;
    let mut small = ChangingFleet::new(1_000);
    let mut large = ChangingFleet::new(10_000);
    let (mut few, mut many) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        few.push(small.measure_round());
        many.push(large.measure_round());
    }
    let (few, many) = (store_to_maps_ratio(&few), store_to_maps_ratio(&many));
    assert!(many < few * 2.0, "{many} against {few} times a map's");
}

/// Maps a random byte to a change as a source makes it: a server is added, changed or removed, or
/// the configuration is replaced.
fn change_from_byte(pick: u8) -> Change {
    let name = format!("i-{}", pick % 7);
    match pick % 5 {
        0 => Change::ServerGone(id(&name)),
        1 => Change::Configuration(configuration(u64::from(pick) + 1, vec![route("r", "/")])),
        _ => {
            let mut changed = server(&name, "a", pick % 7);
            changed.slots = u32::from(pick);
            Change::Server(changed)
        }
    }
}

quickcheck! {
    /// Nodes that read whole snapshots from the source bring nodes that ask them to the same
    /// snapshot.
    fn differences_between_whole_snapshots_lead_to_the_same_snapshot(picks: Vec<u8>, reads: Vec<(u8, u8)>) -> bool {
        let mut source = SnapshotStore::default();
        let mut nodes = vec![SnapshotStore::default(); 4];
        let mut reads = reads.into_iter();
        for (place, pick) in picks.into_iter().enumerate() {
            let revision = place as u64 + 1;
            source.apply(at(revision), at_revision(revision), change_from_byte(pick));
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

    /// In whatever order nodes ask each other for updates, all that reach the newest revision have
    /// the same snapshot.
    fn updates_lead_to_the_same_snapshot(picks: Vec<u8>, asking: Vec<(u8, u8)>) -> bool {
        let mut source = SnapshotStore::default();
        let mut nodes = vec![SnapshotStore::default(); 4];
        let mut asking = asking.into_iter();
        for (place, pick) in picks.into_iter().enumerate() {
            let revision = place as u64 + 1;
            source.apply(at(revision), at_revision(revision), change_from_byte(pick));
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
