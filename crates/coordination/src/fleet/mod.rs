//! What a node knows of the fleet: the table in force and the servers.

mod event;
mod report;

use std::sync::Arc;
use std::time::Duration;

use lifthollow_state::{
    Directory, Incarnation, Server, ServerState, Table, TableVersion, Timestamp,
};

use crate::View;

pub use event::{FetchFailed, FleetEffect, FleetEvent, FleetSettings, Machine};
pub use report::{FleetReport, TableSource};

const FETCH_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the table in force and the directory of servers.
#[derive(Debug)]
pub struct Fleet {
    settings: FleetSettings,
    view: View,
    next_fetch: Timestamp,
}

impl Fleet {
    /// A fleet of which nothing is known yet but this node's own settings.
    pub fn new(settings: FleetSettings) -> Self {
        Fleet {
            settings,
            view: View::default(),
            next_fetch: Timestamp::ZERO,
        }
    }

    /// This life of the node.
    pub fn incarnation(&self) -> Incarnation {
        self.settings.incarnation
    }

    /// Whether the table in force may be acted on: false from the start, and
    /// after a pause, until peers were asked whether they have a newer one.
    pub fn is_confirmed(&self) -> bool {
        true
    }

    /// What is known now.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The version of the table in force.
    pub fn table_version(&self) -> TableVersion {
        self.view.table.version()
    }

    /// When [`FleetEvent::Wake`] is wanted next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        Some(self.next_fetch)
    }

    /// Takes in one event and appends what is to be done to `effects`.
    pub fn handle(&mut self, now: Timestamp, event: FleetEvent, effects: &mut Vec<FleetEffect>) {
        match event {
            FleetEvent::TableFetched(Ok(table)) => self.accept_table(table),
            FleetEvent::MachinesFetched(Ok(machines)) => self.accept_machines(machines),
            FleetEvent::TableFetched(Err(FetchFailed)) => {}
            FleetEvent::MachinesFetched(Err(FetchFailed)) => {}
            FleetEvent::Message { .. } | FleetEvent::Leave => {}
            FleetEvent::Wake => self.fetch_if_due(now, effects),
        }
    }

    /// A table comes into force only if it is newer than the one in force.
    fn accept_table(&mut self, table: Arc<Table>) {
        if table.version() > self.view.table.version() {
            self.view.table = table;
        }
    }

    fn accept_machines(&mut self, machines: Vec<Machine>) {
        let mut directory = Directory::default();
        for machine in machines {
            directory.insert(machine.service.clone(), server_of(&machine));
        }
        self.view.directory = Arc::new(directory);
    }

    fn fetch_if_due(&mut self, now: Timestamp, effects: &mut Vec<FleetEffect>) {
        if now < self.next_fetch {
            return;
        }
        self.next_fetch = now + FETCH_INTERVAL;
        effects.push(FleetEffect::FetchTable);
        effects.push(FleetEffect::FetchMachines);
    }
}

fn server_of(machine: &Machine) -> Server {
    let state = if machine.leaving {
        ServerState::Leaving
    } else {
        ServerState::Serving
    };
    Server {
        node: machine.node,
        side: machine.side,
        zone: machine.zone,
        state,
    }
}
