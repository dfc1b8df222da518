//! Tests that a leaving node gets no new work after a few seconds, whether or not
//! the platform's list shows it as leaving.

mod fleet_network;

use std::time::Duration;

use fleet_network::{Network, node, table};
use lifthollow_coordination::fleet::FleetEvent;
use lifthollow_state::ServerState;

const NODES: u64 = 24;
const ZONES: u64 = 3;
const CONVERGENCE: Duration = Duration::from_secs(3);

fn settled_network() -> Network {
    Network::settled(NODES, ZONES, &table(1, 50))
}

fn observers_seeing_serving(network: &Network, number: u64) -> usize {
    let observers = (1..=NODES).filter(|observer| *observer != number);
    observers
        .filter(|observer| network.state(*observer, number) == Some(ServerState::Serving))
        .count()
}

fn set_listed_as_leaving(network: &mut Network, number: u64, leaving: bool) {
    let machines = network.machines.as_mut().expect("listed");
    for machine in machines
        .iter_mut()
        .filter(|machine| machine.node == node(number))
    {
        machine.leaving = leaving;
    }
}

#[test]
fn a_planned_stop_reaches_all_nodes_in_time_although_the_list_lags() {
    let mut network = settled_network();
    network.loss = 0.05;
    network.inject_event(5, FleetEvent::Leave);
    assert!(!network.fleet(5).takes_new_work());
    network.run(CONVERGENCE);
    assert_eq!(observers_seeing_serving(&network, 5), 0);
}

#[test]
fn a_node_listed_as_leaving_gets_no_new_work_in_time() {
    let mut network = settled_network();
    set_listed_as_leaving(&mut network, 5, true);
    network.run(CONVERGENCE);
    assert_eq!(observers_seeing_serving(&network, 5), 0);
    assert!(!network.fleet(5).takes_new_work());
}

#[test]
fn nodes_that_cannot_read_the_list_learn_of_leaving_from_those_that_can() {
    let mut network = settled_network();
    let listed = network.machines.take();
    network.run(Duration::from_secs(5));
    let mut machines = listed.expect("listed");
    for machine in machines
        .iter_mut()
        .filter(|machine| machine.node == node(5))
    {
        machine.leaving = true;
    }
    network.inject_event(9, FleetEvent::MachinesFetched(Ok(machines)));
    network.run(CONVERGENCE);
    assert_eq!(observers_seeing_serving(&network, 5), 0);
    assert!(!network.fleet(5).takes_new_work());
}

#[test]
fn a_leaving_node_whose_messages_are_lost_immediately_refuses_new_work() {
    let mut network = settled_network();
    network.drop_rule = Box::new(|from, _| from == node(5));
    network.inject_event(5, FleetEvent::Leave);
    assert!(!network.fleet(5).takes_new_work());
}

#[test]
fn both_sides_of_a_partition_stop_using_a_node_that_leaves() {
    let mut network = settled_network();
    let in_zone_zero = |node| fleet_network::zone(node, ZONES) == 0;
    network.drop_rule = Box::new(move |from, to| in_zone_zero(from) != in_zone_zero(to));
    network.run(Duration::from_secs(15));
    network.inject_event(6, FleetEvent::Leave);
    network.run(CONVERGENCE);
    assert_eq!(observers_seeing_serving(&network, 6), 0);
    network.drop_rule = Box::new(|_, _| false);
    network.run(CONVERGENCE);
    assert_eq!(observers_seeing_serving(&network, 6), 0);
}

#[test]
fn a_planned_stop_is_not_undone_by_a_list_that_shows_the_node_as_live() {
    let mut network = settled_network();
    network.inject_event(5, FleetEvent::Leave);
    network.run(Duration::from_secs(20));
    assert_eq!(observers_seeing_serving(&network, 5), 0);
    assert!(!network.fleet(5).takes_new_work());
}

#[test]
fn a_node_no_longer_listed_as_leaving_takes_work_again() {
    let mut network = settled_network();
    set_listed_as_leaving(&mut network, 5, true);
    network.run(Duration::from_secs(10));
    set_listed_as_leaving(&mut network, 5, false);
    network.run(Duration::from_secs(10));
    assert!(network.fleet(5).takes_new_work());
    assert_eq!(observers_seeing_serving(&network, 5), NODES as usize - 1);
}
