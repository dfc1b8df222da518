//! Tests that failed members are detected, and that members are not removed because
//! of a pause, a partition, a restart or datagram loss.

mod fleet_network;

use std::time::Duration;

use fleet_network::{Network, node, table};
use lifthollow_coordination::fleet::{FleetEvent, FleetReport};
use lifthollow_protocol::ControlMessage;
use lifthollow_protocol::control::{
    FleetBody, FleetHeader, FleetMessage, MemberRecord, MemberStatus,
};
use lifthollow_state::{ServerState, Side, Zone};

const NODES: u64 = 24;
const ZONES: u64 = 3;
const SERVING: Option<ServerState> = Some(ServerState::Serving);
const SUSPECTED: Option<ServerState> = Some(ServerState::Suspected);

fn settled_network() -> Network {
    Network::settled(NODES, ZONES, &table(1, 50))
}

fn removals(network: &Network) -> usize {
    network.count_reports(|report| matches!(report, FleetReport::MemberRemoved { .. }))
}

fn suspicions(network: &Network) -> usize {
    network.count_reports(|report| matches!(report, FleetReport::MemberSuspected { .. }))
}

/// Number of other nodes whose directory shows node `number` in `state`.
fn observers_seeing(network: &Network, number: u64, state: Option<ServerState>) -> usize {
    let others = network
        .fleets
        .keys()
        .filter(|other| **other != node(number));
    let directories = others.map(|other| &network.fleets[other].view().directory);
    let service = fleet_network::service(number);
    directories
        .filter(|directory| directory.server(&service, node(number)).map(|s| s.state) == state)
        .count()
}

#[test]
fn every_node_learns_of_every_other_from_two_seeds_without_the_platforms_list() {
    let mut network = Network::new(NODES, ZONES);
    network.machines = None;
    for number in 1..=NODES {
        network.start(number, ZONES, 1);
    }
    network.run(Duration::from_secs(30));
    for number in 1..=NODES {
        assert_eq!(
            observers_seeing(&network, number, SERVING),
            NODES as usize - 1
        );
    }
}

#[test]
fn a_crashed_member_is_suspected_by_all_within_seconds() {
    let mut network = settled_network();
    network.kill(5);
    network.run(Duration::from_secs(10));
    assert_eq!(observers_seeing(&network, 5, SUSPECTED), NODES as usize - 1);
    assert_eq!(removals(&network), 0, "the platform still lists it");
}

#[test]
fn a_member_that_is_silent_and_no_longer_listed_is_removed() {
    let mut network = settled_network();
    network.kill(5);
    let machines = network.machines.as_mut().expect("listed");
    machines.retain(|machine| machine.node != node(5));
    network.run(Duration::from_secs(120));
    assert_eq!(observers_seeing(&network, 5, None), NODES as usize - 1);
}

#[test]
fn a_paused_member_is_not_removed_and_serves_again_after_it() {
    let mut network = settled_network();
    network.pause(5, Duration::from_secs(10));
    network.run(Duration::from_secs(20));
    assert_eq!(removals(&network), 0);
    assert_eq!(observers_seeing(&network, 5, SERVING), NODES as usize - 1);
}

#[test]
fn a_node_that_was_paused_suspects_no_other_member() {
    let mut network = settled_network();
    for number in 1..=4 {
        network.pause(number, Duration::from_secs(10));
    }
    network.run(Duration::from_secs(9));
    network.reports.clear();
    network.run(Duration::from_secs(6));
    let paused: Vec<_> = (1..=4).map(node).collect();
    let accusations = network.reports.iter().filter(|(_, reporter, report)| {
        let accused = match report {
            FleetReport::MemberSuspected { node, .. } => *node,
            _ => return false,
        };
        paused.contains(reporter) && !paused.contains(&accused)
    });
    assert_eq!(accusations.count(), 0);
}

#[test]
fn ten_percent_loss_leads_to_hardly_any_suspicion_and_no_removal() {
    let mut network = settled_network();
    network.loss = 0.1;
    network.run(Duration::from_secs(300));
    assert_eq!(removals(&network), 0);
    // The run has about 14,000 probes; each suspicion is reported by every node.
    assert!(
        suspicions(&network) < NODES as usize,
        "{}",
        suspicions(&network)
    );
}

#[test]
fn a_member_with_one_broken_path_to_one_node_is_not_suspected() {
    let mut network = settled_network();
    network.drop_rule = Box::new(|from, to| from == node(5) && to == node(6));
    network.run(Duration::from_secs(60));
    assert_eq!(observers_seeing(&network, 5, SERVING), NODES as usize - 1);
    assert_eq!(suspicions(&network), 0);
}

#[test]
fn a_node_that_receives_nothing_suspects_no_member() {
    let mut network = settled_network();
    network.drop_rule = Box::new(|_, to| to == node(6));
    network.run(Duration::from_secs(60));
    let accusations = network.reports.iter().filter(|(_, reporter, report)| {
        *reporter == node(6) && matches!(report, FleetReport::MemberSuspected { .. })
    });
    assert_eq!(accusations.count(), 0);
}

#[test]
fn a_false_accusation_is_refuted_by_a_larger_incarnation() {
    let mut network = settled_network();
    let before = network.fleet(5).incarnation();
    let accusation = MemberRecord {
        node: node(5),
        incarnation: before,
        status: MemberStatus::Suspected,
        side: Side::Old,
        zone: Zone(2),
        services: vec![fleet_network::service(5)],
    };
    let message = ControlMessage::Fleet(FleetMessage {
        header: FleetHeader::default(),
        body: FleetBody::Updates {
            updates: vec![accusation],
        },
    });
    let from = node(7);
    network.inject_event(6, FleetEvent::Message { from, message });
    assert_eq!(network.state(6, 5), SUSPECTED);
    network.run(Duration::from_secs(5));
    assert!(network.fleet(5).incarnation() > before);
    assert_eq!(observers_seeing(&network, 5, SERVING), NODES as usize - 1);
}

#[test]
fn a_process_whose_wall_clock_went_back_is_accepted_after_its_restart() {
    let mut network = settled_network();
    let before = network.fleet(5).incarnation();
    network.kill(5);
    network.run(Duration::from_secs(10));
    network.start(5, ZONES, 0);
    network.run(Duration::from_secs(10));
    assert!(network.fleet(5).incarnation() > before);
    assert_eq!(observers_seeing(&network, 5, SERVING), NODES as usize - 1);
}

#[test]
fn a_partition_removes_no_member_and_the_views_merge_after_it() {
    let mut network = settled_network();
    let in_zone_zero = |node| fleet_network::zone(node, ZONES) == 0;
    network.drop_rule = Box::new(move |from, to| in_zone_zero(from) != in_zone_zero(to));
    network.run(Duration::from_secs(1_200));
    assert_eq!(removals(&network), 0);
    assert_eq!(network.state(1, 3), SUSPECTED);
    assert_eq!(network.state(3, 1), SUSPECTED);
    assert_eq!(network.state(3, 6), SERVING);
    assert_eq!(network.state(1, 2), SERVING);
    network.drop_rule = Box::new(|_, _| false);
    network.run(Duration::from_secs(15));
    for number in 1..=NODES {
        assert_eq!(
            observers_seeing(&network, number, SERVING),
            NODES as usize - 1
        );
    }
}

#[test]
fn a_zone_whose_nodes_all_restart_serves_within_seconds_without_removals() {
    let mut network = settled_network();
    let zone: Vec<u64> = (1..=NODES).filter(|number| number % ZONES == 1).collect();
    for number in &zone {
        network.kill(*number);
    }
    network.run(Duration::from_secs(8));
    for number in &zone {
        network.start(*number, ZONES, 2);
    }
    network.run(Duration::from_secs(15));
    assert_eq!(removals(&network), 0);
    for number in 1..=NODES {
        assert_eq!(
            observers_seeing(&network, number, SERVING),
            NODES as usize - 1
        );
    }
    for number in zone {
        assert_eq!(network.fleet(number).table_version().number, 1);
    }
}
