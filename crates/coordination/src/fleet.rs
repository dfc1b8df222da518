//! What a node knows of the fleet: the table in force and the servers.

use std::sync::Arc;
use std::time::Duration;

use lifthollow_state::{Directory, NodeId, Server, ServerState, ServiceName, Side, Table, Zone};
use lifthollow_state::{TableVersion, Timestamp};

use crate::View;

/// A machine as the platform's list shows it; the list lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// The node on it.
    pub node: NodeId,
    /// The service whose back end it runs.
    pub service: ServiceName,
    /// Its data centre.
    pub side: Side,
    /// Its failure domain.
    pub zone: Zone,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

/// The platform's service could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchFailed;

/// What the fleet part is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// The answer to [`FleetEffect::FetchTable`].
    TableFetched(Result<Arc<Table>, FetchFailed>),
    /// The answer to [`FleetEffect::FetchMachines`].
    MachinesFetched(Result<Vec<Machine>, FetchFailed>),
    /// The time asked for with `next_wake` has come.
    Wake,
}

/// What the fleet part wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEffect {
    /// Read the table from the platform's configuration service.
    FetchTable,
    /// Read the platform's list of machines.
    FetchMachines,
}

const FETCH_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the table in force and the directory of servers.
#[derive(Debug, Default)]
pub struct Fleet {
    view: View,
    next_fetch: Timestamp,
}

impl Fleet {
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
