//! A fleet that has been running for long: each node begins with what it would
//! have learned by then.

use lifthollow_coordination::fleet::{Fleet, FleetEvent, FleetSettings};
use lifthollow_protocol::ControlMessage;
use lifthollow_protocol::control::{
    FleetBody, FleetHeader, FleetMessage, MemberRecord, MemberStatus, TablePage,
};
use lifthollow_state::{Incarnation, Side, Table, Timestamp, Zone};

use super::nodes::FIRST_INCARNATION;
use super::setup::{ScaleSetup, node_id};

/// What a node knows after a long time, seen from outside the fleet.
pub fn fleet(setup: &ScaleSetup, table: &Table) -> Fleet {
    let mut fleet = Fleet::new(FleetSettings {
        node: node_id(setup.nodes),
        incarnation: Incarnation::default(),
        side: Side::Old,
        zone: Zone::default(),
        services: Vec::new(),
        seeds: Vec::new(),
        seed: setup.seed,
    });
    let members = (0..setup.nodes).map(|index| record(setup, index)).collect();
    let complete = Vec::new();
    let from = node_id(0);
    for body in [
        FleetBody::TablePage(all_rows(table)),
        FleetBody::MemberBuckets { complete, members },
    ] {
        let message = message(body);
        fleet.handle(
            Timestamp::ZERO,
            FleetEvent::Message { from, message },
            &mut Vec::new(),
        );
    }
    fleet
}

fn message(body: FleetBody) -> ControlMessage {
    let header = FleetHeader::default();
    ControlMessage::Fleet(FleetMessage { header, body })
}

fn all_rows(table: &Table) -> TablePage {
    let mut page = TablePage::empty(None, table.version(), None);
    for row in table.rows() {
        page.push_row(row);
    }
    page
}

fn record(setup: &ScaleSetup, index: u32) -> MemberRecord {
    let machine = setup.machine(index);
    MemberRecord {
        node: machine.node,
        incarnation: Incarnation(FIRST_INCARNATION),
        status: MemberStatus::Alive,
        side: machine.side,
        zone: machine.zone,
        services: vec![machine.service],
    }
}
