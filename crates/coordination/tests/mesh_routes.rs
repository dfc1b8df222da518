//! Tests of route lookup, splits by weight, and the snapshot of configuration and servers.

mod mesh_support;

use lifthollow_coordination::mesh::route_table::RouteTable;
use lifthollow_coordination::mesh::snapshot_store::{Applied, SnapshotStore};
use lifthollow_coordination::mesh::weighted_split::WeightedSplit;
use lifthollow_state::mesh::{
    Change, ConfigurationError, KnownServer, ServerInstance, ServerState, Snapshot,
};
use mesh_support::{at, at_revision, configuration, destination, id, random, route, server};

#[test]
fn longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("whole", "/"),
        route("shop", "/a/"),
        route("deep", "/a/b/"),
    ];
    let table = RouteTable::new(&configuration(1, routes));
    let found = |host: &str, path: &str| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(found("shop.example", "/a/b/c").as_deref(), Some("deep"));
    assert_eq!(found("shop.example", "/a/bc").as_deref(), Some("shop"));
    assert_eq!(found("SHOP.example:8080", "/a/b/").as_deref(), Some("deep"));
    assert_eq!(found("shop.example", "/x").as_deref(), Some("whole"));
    assert_eq!(found("other.example", "/a/b/c"), None);
}

#[test]
fn prefix_without_its_slash_does_not_match() {
    let table = RouteTable::new(&configuration(1, vec![route("shop", "/a/")]));
    assert!(table.find("shop.example", "/a").is_none());
    assert!(table.find("shop.example", "").is_none());
}

#[test]
fn every_sequence_of_requests_is_split_by_weight() {
    let mut split_route = route("split", "/");
    split_route.destinations = vec![destination("feeds", 90), destination("media", 10)];
    let mut split = WeightedSplit::default();
    let mut random = random();
    let chosen: Vec<bool> = (0..1000)
        .map(|_| split.choose(&split_route, &mut random) == "media")
        .collect();
    for window in chosen.windows(300) {
        let media = window.iter().filter(|media| **media).count();
        assert!(
            (29..=31).contains(&media),
            "{media} of 300 requests went to media"
        );
    }
}

#[test]
fn destination_without_weight_gets_no_requests() {
    let mut split_route = route("split", "/");
    split_route.destinations = vec![destination("feeds", 0), destination("media", 5)];
    let mut split = WeightedSplit::default();
    let mut random = random();
    assert!((0..50).all(|_| split.choose(&split_route, &mut random) == "media"));
}

#[test]
fn nodes_start_their_splits_at_different_points() {
    let mut split_route = route("split", "/");
    split_route.destinations = vec![destination("feeds", 50), destination("media", 50)];
    let mut random = random();
    let starting_with_media =
        (0..400).filter(|_| WeightedSplit::default().choose(&split_route, &mut random) == "media");
    let count = starting_with_media.count();
    assert!(
        (150..=250).contains(&count),
        "{count} of 400 splits begin with media"
    );
}

#[test]
fn older_configuration_never_replaces_a_newer_one() {
    let mut store = SnapshotStore::default();
    let newer = configuration(7, vec![route("r", "/")]);
    let older = configuration(6, vec![route("old", "/")]);
    let applied = store.apply(at(0), at_revision(10), Change::Configuration(newer));
    assert_eq!(applied, Applied::Configuration);
    let applied = store.apply(at(1), at_revision(11), Change::Configuration(older.clone()));
    assert_eq!(applied, Applied::Unchanged);
    let snapshot = Snapshot {
        revision: at_revision(12),
        configuration: Some(older),
        ..Snapshot::default()
    };
    store.replace(at(2), snapshot);
    let version = store
        .snapshot()
        .configuration
        .as_ref()
        .map(|known| known.version);
    assert_eq!(version, Some(7));
}

#[test]
fn older_snapshot_is_ignored_completely() {
    let mut store = SnapshotStore::default();
    apply_entry(&mut store, 0, 20, server("i-1", "a", 1));
    store.advance(at_revision(20));
    assert!(
        store
            .replace(
                at(1),
                Snapshot {
                    revision: at_revision(19),
                    ..Snapshot::default()
                }
            )
            .is_empty()
    );
    assert_eq!(store.snapshot().servers.len(), 1);
}

#[test]
fn invalid_configuration_is_refused_with_all_its_errors() {
    let mut store = SnapshotStore::default();
    store.apply(
        at(0),
        at_revision(1),
        Change::Configuration(configuration(1, vec![route("r", "/")])),
    );
    let mut bare = route("bare", "a");
    bare.destinations = vec![destination("unheard-of", 1)];
    let mut idle = route("idle", "/b/");
    idle.destinations = vec![destination("feeds", 0)];
    idle.max_attempts = 0;
    let broken = configuration(2, vec![bare, idle]);
    let Applied::Rejected(findings) =
        store.apply(at(1), at_revision(2), Change::Configuration(broken))
    else {
        panic!("the configuration was not refused");
    };
    let named = |wanted: fn(&ConfigurationError) -> bool| findings.iter().any(wanted);
    assert!(named(|finding| matches!(
        finding,
        ConfigurationError::BarePrefix { .. }
    )));
    assert!(named(|finding| matches!(
        finding,
        ConfigurationError::UnknownService { .. }
    )));
    assert!(named(|finding| matches!(
        finding,
        ConfigurationError::NoDestination { .. }
    )));
    assert!(named(|finding| matches!(
        finding,
        ConfigurationError::NoAttempts { .. }
    )));
    let version = store
        .snapshot()
        .configuration
        .as_ref()
        .map(|known| known.version);
    assert_eq!(version, Some(1));
}

#[test]
fn outdated_entry_does_not_replace_a_newer_one() {
    let mut store = SnapshotStore::default();
    apply_entry(&mut store, 0, 5, server("i-1", "a", 1));
    let mut draining = server("i-1", "a", 1);
    draining.state = ServerState::Draining;
    apply_entry(&mut store, 1, 8, draining);
    let applied = apply_entry(&mut store, 2, 6, server("i-1", "a", 1));
    assert_eq!(applied, Applied::Unchanged);
    assert!(!store.snapshot().servers[&id("i-1")].instance.is_ready());
}

/// A store whose only server's entry was removed at 1 s.
fn store_whose_server_vanished() -> SnapshotStore {
    let mut store = SnapshotStore::default();
    apply_entry(&mut store, 0, 5, server("i-1", "a", 1));
    store.apply(at(1000), at_revision(6), Change::ServerGone(id("i-1")));
    assert!(store.snapshot().servers.is_empty());
    store
}

#[test]
fn vanished_server_is_kept_until_it_would_have_returned() {
    let mut store = store_whose_server_vanished();
    assert!(!store.expire_vanished(at(2_400), Some(at(0))));
    assert_eq!(store.recently_vanished().len(), 1);
    assert!(store.expire_vanished(at(2_500), Some(at(0))));
    assert!(store.recently_vanished().is_empty());
    assert!(
        !store.expire_vanished(at(2_500), Some(at(0))),
        "no vanished server is left"
    );
}

/// Guards against a drain time that is counted from when a node learns that a server has gone: it had gone
/// at any time since the view was last confirmed.
#[test]
fn only_server_of_a_service_is_not_used_until_the_end_of_its_drain_time_if_the_source_was_there() {
    const DRAIN_MS: u64 = 2_000;
    for learned_late_ms in [0, 400, 1_300, 1_900, 5_000] {
        let mut store = SnapshotStore::default();
        apply_entry(&mut store, 0, 5, server("i-1", "a", 1));
        store.confirm(at(10_000));
        let learned = 10_000 + learned_late_ms;
        store.apply(at(learned), at_revision(6), Change::ServerGone(id("i-1")));
        let last = 10_000 + DRAIN_MS - 1;
        for now in (learned..12_500).step_by(20) {
            store.expire_vanished(at(now), Some(at(0)));
            let is_used = !ids_in_force(&store).is_empty();
            let has_left = store.has_left(at(now), Some(at(0)), &id("i-1"));
            assert_ne!(is_used, has_left, "at {now}");
            assert!(
                !is_used || now <= last,
                "used at {now}, learned at {learned}"
            );
            let is_early = now < 10_000 + DRAIN_MS / 2;
            assert!(
                is_used || !is_early,
                "dropped at {now}, learned at {learned}"
            );
        }
    }
}

#[test]
fn next_expiry_is_when_the_first_vanished_server_is_forgotten() {
    let mut store = store_whose_server_vanished();
    assert_eq!(store.next_expiry(None), None, "the source is unreachable");
    let next = store
        .next_expiry(Some(at(0)))
        .expect("a server has vanished");
    assert!(next > at(1_000));
    let before = at(next.saturating_since(at(0)).as_millis() as u64 - 1);
    assert!(!store.expire_vanished(before, Some(at(0))));
    assert!(store.expire_vanished(next, Some(at(0))));
    assert_eq!(store.next_expiry(Some(at(0))), None);
}

#[test]
fn vanished_server_is_kept_until_the_source_was_reachable_for_a_while() {
    let mut store = store_whose_server_vanished();
    assert!(
        !store.expire_vanished(at(60_000), None),
        "the source is unreachable"
    );
    assert!(!store.expire_vanished(at(62_000), Some(at(60_000))));
    assert!(store.expire_vanished(at(62_600), Some(at(60_000))));
}

#[test]
fn server_that_returned_is_no_longer_vanished() {
    let mut store = store_whose_server_vanished();
    apply_entry(&mut store, 2500, 7, server("i-1", "a", 1));
    assert!(!store.expire_vanished(at(9_000), Some(at(0))));
    assert_eq!(ids_in_force(&store), ["i-1"]);
}

#[test]
fn server_that_was_draining_is_not_kept_as_vanished() {
    let mut store = SnapshotStore::default();
    let mut draining = server("i-1", "a", 1);
    draining.state = ServerState::Draining;
    apply_entry(&mut store, 0, 5, draining);
    store.apply(at(1000), at_revision(6), Change::ServerGone(id("i-1")));
    assert!(store.recently_vanished().is_empty());
}

/// Applies the entry of a server with the revision `number` at `now`, in milliseconds.
fn apply_entry(store: &mut SnapshotStore, now: u64, number: u64, one: ServerInstance) -> Applied {
    store.apply(at(now), at_revision(number), Change::Server(one))
}

fn ids_in_force(store: &SnapshotStore) -> Vec<String> {
    let servers = store.active_servers();
    servers.iter().map(|server| server.id.to_string()).collect()
}

#[test]
fn newest_of_several_entries_with_one_address_is_in_force() {
    let mut store = SnapshotStore::default();
    apply_entry(&mut store, 0, 5, server("i-old", "a", 1));
    apply_entry(&mut store, 1, 7, server("i-new", "a", 1));
    apply_entry(&mut store, 2, 6, server("i-other", "a", 2));
    assert_eq!(ids_in_force(&store), ["i-new", "i-other"]);
}

#[test]
fn address_taken_over_by_another_service_no_longer_serves_the_former_one() {
    let mut store = SnapshotStore::default();
    apply_entry(&mut store, 0, 5, server("i-feeds", "a", 1));
    let mut taken_over = server("i-media", "a", 1);
    taken_over.service = "media".to_owned();
    apply_entry(&mut store, 1, 6, taken_over);
    assert_eq!(ids_in_force(&store), ["i-media"]);
    store.apply(at(2), at_revision(7), Change::ServerGone(id("i-feeds")));
    assert_eq!(
        ids_in_force(&store),
        ["i-media"],
        "the address belongs to the other service"
    );
}

#[test]
fn draining_server_with_the_newest_entry_keeps_its_address() {
    let mut store = SnapshotStore::default();
    apply_entry(&mut store, 0, 5, server("i-old", "a", 1));
    let mut draining = server("i-new", "a", 1);
    draining.state = ServerState::Draining;
    apply_entry(&mut store, 1, 6, draining);
    assert_eq!(ids_in_force(&store), ["i-new"]);
    assert!(!store.active_servers()[0].is_ready());
}

#[test]
fn older_entry_is_in_force_again_when_the_newer_one_is_gone() {
    let mut store = SnapshotStore::default();
    apply_entry(&mut store, 0, 5, server("i-old", "a", 1));
    apply_entry(&mut store, 1, 6, server("i-new", "a", 1));
    store.apply(at(2), at_revision(7), Change::ServerGone(id("i-new")));
    assert_eq!(ids_in_force(&store), ["i-old"]);
}

#[test]
fn vanished_server_stays_in_force_only_while_its_service_has_no_other() {
    let mut store = SnapshotStore::default();
    apply_entry(&mut store, 0, 5, server("i-1", "a", 1));
    store.apply(at(1), at_revision(6), Change::ServerGone(id("i-1")));
    assert_eq!(ids_in_force(&store), ["i-1"]);
    apply_entry(&mut store, 2, 7, server("i-2", "a", 2));
    assert_eq!(ids_in_force(&store), ["i-2"]);
}

#[test]
fn snapshot_survives_its_encoding() {
    let mut store = SnapshotStore::default();
    store.apply(
        at(0),
        at_revision(1),
        Change::Configuration(configuration(3, vec![route("r", "/a/")])),
    );
    apply_entry(&mut store, 0, 2, server("i-1", "a", 1));
    store.advance(at_revision(2));
    let bytes = minicbor::to_vec(&**store.snapshot()).expect("the snapshot is encoded");
    let decoded: Snapshot = minicbor::decode(&bytes).expect("the snapshot is decoded");
    assert_eq!(decoded, **store.snapshot());
    let known: &KnownServer = &decoded.servers[&id("i-1")];
    assert_eq!(known.revision, at_revision(2));
}
