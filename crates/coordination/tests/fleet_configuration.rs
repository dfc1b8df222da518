//! Tests that no node replaces its table by an older version and that all nodes
//! converge on the newest one despite loss, delay, pauses and stale answers.

mod fleet_network;

use std::sync::Arc;
use std::time::Duration;

use fleet_network::{Network, node, row, table};
use lifthollow_coordination::fleet::{FleetEvent, FleetReport};
use lifthollow_protocol::ControlMessage;
use lifthollow_protocol::control::{FleetBody, FleetMessage, TablePage};
use lifthollow_state::{ServiceName, Table, TableVersion};

const NODES: u64 = 12;
const ZONES: u64 = 3;
const CONVERGENCE: Duration = Duration::from_secs(3);

fn versions(network: &Network) -> Vec<TableVersion> {
    network
        .fleets
        .values()
        .map(|fleet| fleet.table_version())
        .collect()
}

#[test]
fn a_table_fetched_by_one_node_comes_into_force_on_all_despite_loss() {
    let mut network = Network::settled(NODES, ZONES, &table(1, 50));
    network.loss = 0.05;
    network.tables.clear();
    network.tables.insert(node(5), table(2, 60));
    network.run(CONVERGENCE);
    assert!(versions(&network).iter().all(|version| version.number == 2));
}

#[test]
fn a_resumed_node_accepts_the_newer_table_before_it_is_confirmed() {
    let mut network = Network::settled(NODES, ZONES, &table(1, 50));
    network.pause(3, Duration::from_secs(30));
    for number in (1..=NODES).filter(|number| *number != 3) {
        network.tables.insert(node(number), table(2, 60));
    }
    network.run(Duration::from_millis(29_900));
    assert_eq!(network.fleet(3).table_version().number, 1);
    let mut confirmed_on_old_table = false;
    for _ in 0..200 {
        network.run(Duration::from_millis(10));
        let fleet = network.fleet(3);
        let resumed =
            network.count_reports(|report| matches!(report, FleetReport::Paused { .. })) > 0;
        confirmed_on_old_table |=
            resumed && fleet.is_confirmed() && fleet.table_version().number == 1;
    }
    assert!(
        !confirmed_on_old_table,
        "acted on the old table after the pause"
    );
    assert!(network.fleet(3).is_confirmed());
    assert_eq!(network.fleet(3).table_version().number, 2);
}

#[test]
fn a_fresh_node_does_not_begin_on_a_stale_answer_of_the_platform() {
    let mut network = Network::settled(NODES, ZONES, &table(7, 50));
    network.kill(4);
    network.run(Duration::from_secs(5));
    network.tables.insert(node(4), table(3, 10));
    network.start(4, ZONES, 2);
    for _ in 0..500 {
        network.run(Duration::from_millis(10));
        let number = network.fleet(4).table_version().number;
        assert!(number == 0 || number == 7, "put version {number} in force");
    }
    assert_eq!(network.fleet(4).table_version().number, 7);
}

#[test]
fn a_started_node_without_peers_accepts_the_platform_table_after_the_timeout() {
    let mut network = Network::new(NODES, ZONES);
    network.tables.insert(node(4), table(3, 10));
    network.start(4, ZONES, 1);
    network.run(Duration::from_millis(1_900));
    assert_eq!(network.fleet(4).table_version().number, 0);
    network.run(Duration::from_millis(700));
    assert_eq!(network.fleet(4).table_version().number, 3);
    let reported = network.count_reports(|report| *report == FleetReport::StartedWithoutPeers);
    assert_eq!(reported, 1);
}

#[test]
fn a_stale_platform_table_is_reported_once_and_not_accepted() {
    let mut network = Network::settled(NODES, ZONES, &table(9, 50));
    network.tables.insert(node(1), table(8, 10));
    network.run(Duration::from_secs(30));
    assert!(versions(&network).iter().all(|version| version.number == 9));
    let stale = |report: &FleetReport| matches!(report, FleetReport::StalePlatformTable { .. });
    assert_eq!(network.count_reports(stale), 1);
}

#[test]
fn of_two_tables_with_one_number_every_node_keeps_the_same_one() {
    let mut network = Network::settled(NODES, ZONES, &table(1, 50));
    let (first, second) = (table(2, 60), table(2, 70));
    let winner = first.version().max(second.version());
    for number in 1..=NODES {
        let offered = if number % 2 == 0 { &first } else { &second };
        network.tables.insert(node(number), offered.clone());
    }
    network.run(Duration::from_secs(10));
    assert!(versions(&network).iter().all(|version| *version == winner));
    let conflict = |report: &FleetReport| matches!(report, FleetReport::ConflictingVersion { kept, .. } if *kept == winner);
    assert!(network.count_reports(conflict) > 0);
}

#[test]
fn a_partitioned_fleet_converges_on_the_newer_version_after_it_heals() {
    let mut network = Network::settled(NODES, ZONES, &table(1, 50));
    network.drop_rule = Box::new(|from, to| (from <= node(6)) != (to <= node(6)));
    for number in 1..=6 {
        network.tables.insert(node(number), table(2, 60));
    }
    for number in 7..=NODES {
        network.tables.insert(node(number), table(3, 70));
    }
    network.run(Duration::from_secs(60));
    assert_eq!(network.fleet(1).table_version().number, 2);
    assert_eq!(network.fleet(12).table_version().number, 3);
    network.drop_rule = Box::new(|_, _| false);
    network.tables.clear();
    network.run(Duration::from_secs(15));
    assert!(versions(&network).iter().all(|version| version.number == 3));
}

#[test]
fn a_change_with_a_wrong_digest_is_discarded_and_all_rows_are_requested() {
    let mut network = Network::settled(NODES, ZONES, &table(1, 50));
    network.tamper = Some(Box::new(|_, to, message| {
        let ControlMessage::Fleet(FleetMessage { body, .. }) = message else {
            return;
        };
        let FleetBody::TablePage(page) = body else {
            return;
        };
        if to == node(2) && page.base.is_some() {
            let mut damaged = TablePage::empty(page.base, page.target, None);
            damaged.push_row(&row(0, 99));
            *page = damaged;
        }
    }));
    network.tables.clear();
    network.tables.insert(node(5), table(2, 60));
    network.run(Duration::from_secs(5));
    let mismatch = |report: &FleetReport| matches!(report, FleetReport::TableDigestMismatch { .. });
    assert!(network.count_reports(mismatch) > 0);
    assert_eq!(network.fleet(2).table_version(), table(2, 60).version());
}

/// A table whose rows fill about 14 pages.
fn large_table(number: u64) -> Arc<Table> {
    let rows = (0..400).map(|service| {
        let mut row = row(0, 50);
        row.service = ServiceName::new(&format!("many-{service:03}"));
        row
    });
    Arc::new(Table::new(number, rows))
}

#[test]
fn a_table_of_many_pages_reaches_a_started_node_despite_loss() {
    let large = large_table(5);
    let mut network = Network::settled(NODES, ZONES, &large);
    network.loss = 0.1;
    network.kill(6);
    network.tables.clear();
    network.start(6, ZONES, 2);
    network.run(Duration::from_secs(10));
    assert_eq!(network.fleet(6).table_version(), large.version());
}

#[test]
fn pages_that_overtake_each_other_are_not_asked_for_again() {
    let large = large_table(5);
    let mut network = Network::settled(NODES, ZONES, &large);
    network.kill(6);
    network.tables.clear();
    network.jitter = Duration::from_millis(20);
    network.start(6, ZONES, 2);
    network.run(Duration::from_millis(600));
    assert_eq!(network.fleet(6).table_version(), large.version());
}

#[test]
fn an_older_version_is_never_accepted_after_a_newer_one() {
    let mut network = Network::settled(NODES, ZONES, &table(4, 50));
    let older = table(3, 99);
    network.inject_event(1, FleetEvent::TableFetched(Ok(older.clone())));
    let mut page = TablePage::empty(None, older.version(), None);
    for row in older.rows() {
        page.push_row(row);
    }
    let message = ControlMessage::Fleet(FleetMessage {
        header: Default::default(),
        body: FleetBody::TablePage(page),
    });
    let from = node(2);
    network.inject_event(1, FleetEvent::Message { from, message });
    assert_eq!(network.fleet(1).table_version().number, 4);
}
