//! Tests for a source that is restored from an older backup: its revision numbers go back and are
//! assigned again, while the nodes must not lose what they know.

mod mesh_support;

use std::time::Duration;

use lifthollow_coordination::mesh::snapshot_store::{Applied, EntryTimes, SnapshotStore};
use lifthollow_state::mesh::{
    Change, KnownServer, Revision, ServerInstance, ServerState, Snapshot, SnapshotVersion, Update,
};
use mesh_support::{at, configuration, id, ms, route, server};
use quickcheck::quickcheck;

/// Time after which an entry expires that nobody renews.
const ENTRY_TIMES: EntryTimes = EntryTimes {
    lifetime: Duration::from_millis(3000),
    drain: Duration::from_millis(2000),
};
/// Milliseconds after which an entry that only a backup lists has expired, or is confirmed.
const UNCONFIRMED_MS: u64 = 5000;

fn draining(name: &str, last_octet: u8) -> ServerInstance {
    ServerInstance {
        state: ServerState::Draining,
        ..server(name, "a", last_octet)
    }
}

/// A node at revision 20 of the first era, with configuration version 21 and three servers: one
/// ready, one draining, and one whose entry was removed without an announcement.
fn node_before_restore() -> SnapshotStore {
    let mut node = SnapshotStore::new(ENTRY_TIMES);
    let changes = [
        (5, Change::Server(server("i-ready", "a", 1))),
        (6, Change::Server(server("i-leaving", "a", 2))),
        (7, Change::Server(server("i-gone", "a", 3))),
        (17, Change::Server(draining("i-leaving", 2))),
        (18, Change::ServerGone(id("i-gone"))),
        (20, Change::Configuration(configuration_of_version(21))),
    ];
    for (number, change) in changes {
        node.apply(at(number), Revision::new(1, number), change);
        node.advance(Revision::new(1, number));
    }
    node
}

fn configuration_of_version(number: u64) -> lifthollow_state::mesh::Configuration {
    configuration(number, vec![route("r", "/")])
}

/// The content of the source after a restore from a backup that was made at revision 16.
fn restored_snapshot(era: u64) -> Snapshot {
    let entries = [("i-ready", 1, 5), ("i-leaving", 2, 6), ("i-gone", 3, 7)];
    let servers = entries.map(|(name, octet, number)| {
        let known = KnownServer {
            instance: server(name, "a", octet),
            revision: Revision::new(era, number),
        };
        (id(name), known)
    });
    Snapshot {
        revision: Revision::new(era, 16),
        configuration: Some(configuration_of_version(18)),
        servers: servers.into(),
    }
}

fn configuration_version(node: &SnapshotStore) -> u64 {
    node.version().configuration
}

fn ready_servers(node: &SnapshotStore) -> Vec<String> {
    let servers = node.active_servers();
    let ready = servers.iter().filter(|server| server.is_ready());
    let mut ready: Vec<String> = ready.map(|server| server.id.to_string()).collect();
    ready.sort();
    ready
}

#[test]
fn a_snapshot_of_a_later_era_is_newer_whatever_its_number() {
    let mut node = node_before_restore();
    node.replace(at(1000), restored_snapshot(2));
    assert_eq!(node.snapshot().revision, Revision::new(2, 16));
    let late = Snapshot {
        revision: Revision::new(1, 500),
        ..Snapshot::default()
    };
    assert_eq!(node.replace(at(1001), late), []);
    assert_eq!(node.snapshot().servers.len(), 3);
}

#[test]
fn changes_of_another_era_are_not_applied() {
    let mut node = node_before_restore();
    let joined = || Change::Server(server("i-new", "a", 4));
    let other = Revision::new(2, 21);
    assert_eq!(node.apply(at(1000), other, joined()), Applied::Unchanged);
    node.advance(other);
    assert_eq!(node.snapshot().revision, Revision::new(1, 20));
    node.replace(at(1001), restored_snapshot(2));
    let former = Revision::new(1, 21);
    assert_eq!(node.apply(at(1002), former, joined()), Applied::Unchanged);
    let next = Revision::new(2, 17);
    assert_eq!(node.apply(at(1003), next, joined()), Applied::Servers);
}

#[test]
fn a_node_of_an_earlier_era_is_sent_the_whole_snapshot() {
    let mut reader = node_before_restore();
    let theirs = reader.version();
    reader.replace(at(1000), restored_snapshot(2));
    reader.apply(
        at(1001),
        Revision::new(2, 30),
        Change::Configuration(configuration_of_version(25)),
    );
    reader.advance(Revision::new(2, 30));
    let update = reader.update_since(theirs);
    assert!(matches!(update, Update::Whole(_)));
    let mut behind = node_before_restore();
    behind.update(at(1002), update);
    assert_eq!(behind.version(), reader.version());
}

#[test]
fn a_restore_does_not_bring_back_an_older_configuration() {
    let mut node = node_before_restore();
    node.replace(at(1000), restored_snapshot(2));
    assert_eq!(configuration_version(&node), 21);
    let again = Change::Configuration(configuration_of_version(21));
    assert_eq!(
        node.apply(at(1001), Revision::new(2, 17), again),
        Applied::Unchanged
    );
    let newest = Change::Configuration(configuration_of_version(25));
    assert_eq!(
        node.apply(at(1002), Revision::new(2, 18), newest),
        Applied::Configuration
    );
}

#[test]
fn a_node_that_knows_only_the_backup_is_sent_the_newer_configuration_of_others() {
    let mut carrying = node_before_restore();
    carrying.replace(at(1000), restored_snapshot(2));
    let mut started = SnapshotStore::new(ENTRY_TIMES);
    started.replace(at(1000), restored_snapshot(2));
    assert_eq!(configuration_version(&started), 18);
    assert!(started.version().lacks(carrying.version()));
    started.update(at(1001), carrying.update_since(started.version()));
    assert_eq!(configuration_version(&started), 21);
    assert!(!started.version().lacks(carrying.version()));
}

#[test]
fn a_node_of_an_earlier_era_passes_on_its_newer_configuration() {
    let behind = node_before_restore();
    let mut started = SnapshotStore::new(ENTRY_TIMES);
    started.replace(at(1000), restored_snapshot(2));
    started.update(at(1001), behind.update_since(started.version()));
    assert_eq!(configuration_version(&started), 21);
    assert_eq!(started.snapshot().revision, Revision::new(2, 16));
}

#[test]
fn a_restore_does_not_make_a_draining_server_ready() {
    let mut node = node_before_restore();
    for era in [2, 3] {
        node.replace(at(era * 1000), restored_snapshot(era));
        assert!(
            !ready_servers(&node).contains(&"i-leaving".to_owned()),
            "{era}"
        );
        let known = node.snapshot().server(&id("i-leaving"));
        assert!(known.is_some_and(|known| !known.instance.is_ready()));
    }
    // Other nodes are told that the server is draining.
    let mut started = SnapshotStore::new(ENTRY_TIMES);
    started.update(at(3001), node.update_since(SnapshotVersion::default()));
    assert!(!ready_servers(&started).contains(&"i-leaving".to_owned()));
    // The same entry is read once more.
    node.replace(at(3002), restored_snapshot(3));
    assert!(!ready_servers(&node).contains(&"i-leaving".to_owned()));
}

#[test]
fn a_restore_does_not_make_a_drained_and_removed_server_ready() {
    let mut node = node_before_restore();
    let gone = Change::ServerGone(id("i-leaving"));
    node.apply(at(21), Revision::new(1, 21), gone);
    node.advance(Revision::new(1, 21));
    node.replace(at(1000), restored_snapshot(2));
    node.expire_vanished(at(60_000), Some(at(0)));
    assert!(!ready_servers(&node).contains(&"i-leaving".to_owned()));
}

#[test]
fn a_removed_server_that_a_backup_lists_is_not_used_before_its_entry_would_have_expired() {
    let mut node = node_before_restore();
    node.replace(at(1000), restored_snapshot(2));
    assert_eq!(ready_servers(&node), ["i-ready"]);
    assert!(!node.expire_vanished(at(1000 + 3000), Some(at(0))));
    assert_eq!(ready_servers(&node), ["i-ready"]);
    assert!(node.expire_vanished(at(1000 + UNCONFIRMED_MS), Some(at(0))));
    assert_eq!(
        ready_servers(&node),
        ["i-gone", "i-ready"],
        "an entry still listed is being renewed"
    );
}

#[test]
fn a_removed_server_that_writes_its_entry_again_is_used_at_once() {
    let mut node = node_before_restore();
    node.replace(at(1000), restored_snapshot(2));
    let written = Change::Server(server("i-gone", "a", 3));
    node.apply(at(1001), Revision::new(2, 17), written.clone());
    assert_eq!(ready_servers(&node), ["i-gone", "i-ready"]);
    // Another node reads the whole snapshot only after the entry was written again.
    let mut late = self::node_before_restore();
    let mut whole = restored_snapshot(2);
    let revision = Revision::new(2, 19);
    whole.revision = revision;
    let entry = whole
        .servers
        .get_mut(&id("i-gone"))
        .expect("the backup lists i-gone");
    entry.revision = revision;
    late.replace(at(1002), whole);
    assert_eq!(ready_servers(&late), ["i-gone", "i-ready"]);
}

#[test]
fn a_removed_server_that_a_backup_lists_is_used_if_its_service_has_no_other() {
    let mut node = node_before_restore();
    let mut whole = restored_snapshot(2);
    whole.servers.remove(&id("i-ready"));
    whole.servers.remove(&id("i-leaving"));
    node.replace(at(1000), whole);
    let removed = Change::ServerGone(id("i-ready"));
    node.apply(at(1001), Revision::new(2, 17), removed);
    node.expire_vanished(at(1000 + 3000), Some(at(0)));
    assert_eq!(ready_servers(&node), ["i-gone"]);
}

#[test]
fn a_server_whose_entry_a_restore_lost_stays_in_use_until_it_would_be_written_again() {
    let mut node = node_before_restore();
    let joined = Change::Server(server("i-joined", "a", 4));
    node.apply(at(21), Revision::new(1, 21), joined.clone());
    node.advance(Revision::new(1, 21));
    node.replace(at(1000), restored_snapshot(2));
    assert_eq!(ready_servers(&node), ["i-joined", "i-ready"]);
    let mut written = node.clone();
    written.apply(at(1500), Revision::new(2, 17), joined);
    for (mut node, expected) in [
        (written, vec!["i-joined", "i-ready"]),
        (node, vec!["i-ready"]),
    ] {
        node.expire_vanished(at(3600), Some(at(0)));
        assert_eq!(ready_servers(&node), expected);
    }
}

#[test]
fn a_server_whose_entry_a_restore_lost_is_dropped_when_its_address_is_taken() {
    let mut node = node_before_restore();
    let joined = Change::Server(server("i-joined", "a", 4));
    node.apply(at(21), Revision::new(1, 21), joined);
    node.advance(Revision::new(1, 21));
    node.replace(at(1000), restored_snapshot(2));
    let taken = Change::Server(server("i-other", "a", 4));
    node.apply(at(1001), Revision::new(2, 17), taken);
    assert_eq!(ready_servers(&node), ["i-other", "i-ready"]);
}

#[test]
fn a_restore_does_not_bring_back_an_earlier_incarnation_of_a_server() {
    let start = |milliseconds| ServerInstance {
        id: id("i-again").started_at(milliseconds),
        ..server("i-again", "a", 5)
    };
    let mut node = node_before_restore();
    let again = Change::Server(start(200));
    node.apply(at(21), Revision::new(1, 21), again);
    node.advance(Revision::new(1, 21));
    let mut whole = restored_snapshot(2);
    let former = KnownServer {
        instance: start(100),
        revision: Revision::new(2, 8),
    };
    whole.servers.insert(former.instance.id.clone(), former);
    node.replace(at(1000), whole);
    assert_eq!(ready_servers(&node), ["i-again@200", "i-ready"]);
}

/// A source that can be backed up and restored from its backup.
#[derive(Clone)]
struct RestorableSource {
    store: SnapshotStore,
    backup: Snapshot,
    version: u64,
}

impl RestorableSource {
    fn new() -> Self {
        RestorableSource {
            store: SnapshotStore::default(),
            backup: Snapshot {
                revision: Revision::new(1, 1),
                ..Snapshot::default()
            },
            version: 0,
        }
    }

    fn write(&mut self, change: Change) {
        let revision = match self.store.snapshot().revision {
            Revision::NONE => Revision::new(1, 1),
            newest => newest.next(),
        };
        self.store.apply(at(0), revision, change);
        self.store.advance(revision);
    }

    fn restore(&mut self) {
        let mut restored = self.backup.clone();
        restored.revision.era = self.store.snapshot().revision.era.max(1) + 1;
        for known in restored.servers.values_mut() {
            known.revision.era = restored.revision.era;
        }
        self.store = SnapshotStore::default();
        self.store.replace(at(0), restored);
    }
}

quickcheck! {
    /// However often the source is restored, and whichever node learns of it from whom: no node's
    /// configuration or revision goes back, and all nodes that reach the source's newest revision
    /// know the servers that it lists.
    fn restores_never_move_nodes_back(picks: Vec<(u8, u8, u8)>) -> bool {
        let mut source = RestorableSource::new();
        let mut nodes = vec![SnapshotStore::default(); 4];
        for (kind, from, to) in picks {
            match kind % 8 {
                0 => source.backup = (**source.store.snapshot()).clone(),
                1 => source.restore(),
                2 => {
                    source.version += 1;
                    source.write(Change::Configuration(configuration_of_version(source.version)));
                }
                3 => source.write(Change::ServerGone(id(&format!("i-{}", from % 5)))),
                4 => {
                    let name = format!("i-{}", from % 5);
                    source.write(Change::Server(server(&name, "a", from % 5)));
                }
                5 => {
                    let whole = (**source.store.snapshot()).clone();
                    let before = nodes[usize::from(to) % 4].version();
                    nodes[usize::from(to) % 4].replace(at(0), whole);
                    let after = nodes[usize::from(to) % 4].version();
                    if after.lacks(before) {
                        return false;
                    }
                }
                _ => {
                    let (from, to) = (usize::from(from) % 4, usize::from(to) % 4);
                    let before = nodes[to].version();
                    let update = nodes[from].update_since(before);
                    nodes[to].update(at(0), update);
                    if nodes[to].version().lacks(before) || nodes[to].version().lacks(nodes[from].version()) {
                        return false;
                    }
                }
            }
        }
        source.write(Change::Configuration(configuration_of_version(source.version + 1)));
        nodes.into_iter().all(|mut node| {
            node.replace(at(0), (**source.store.snapshot()).clone());
            node.version() == source.store.version()
                && node.snapshot().servers.keys().eq(source.store.snapshot().servers.keys())
        })
    }
}

#[test]
fn an_entry_expires_before_it_is_trusted_again() {
    assert!(ENTRY_TIMES.lifetime < ms(UNCONFIRMED_MS));
}
