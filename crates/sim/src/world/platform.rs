//! What the platform gives: the configuration service and the lagging list of
//! machines.

use std::sync::Arc;
use std::time::Duration;

use lifthollow_coordination::fleet::{FetchFailed, Machine as ListedMachine};
use lifthollow_state::{Side, Table, TableRow, Timestamp};

use super::ids::{FaultIndex, MachineIndex};
use super::machine::MachineSpec;
use crate::mesh::{Mesh, ServiceModel};
use crate::scenario::TableColumn;

/// How far the list of machines lags behind.
pub const MACHINE_LIST_LAG: Duration = Duration::from_secs(2);
/// How long a vanished machine stays on the list.
pub const VANISHED_LIST_LAG: Duration = Duration::from_secs(10);
/// Calls that may wait at a server, as a multiple of its slots.
const QUEUE_PER_SLOT: u32 = 2;

/// How a machine is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// In service.
    Listed,
    /// To be stopped.
    Leaving,
    /// Not listed.
    Absent,
}

/// What the configuration service does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigServiceState {
    /// It answers with the newest table.
    Well,
    /// It does not answer.
    Down,
    /// It answers with the first table.
    Stale,
    /// Down, stale and well in turns since a time.
    Flapping {
        /// When it began.
        since: Timestamp,
        /// How long each turn lasts.
        period: Duration,
    },
}

/// The platform's services.
pub struct Platform {
    first: Arc<Table>,
    newest: Arc<Table>,
    states: Vec<(FaultIndex, ConfigServiceState)>,
    listings: Vec<Vec<(Timestamp, Listing)>>,
    specs: Vec<MachineSpec>,
    zones_per_side: u16,
}

impl Platform {
    /// A platform with a first table for the mesh.
    pub fn new(mesh: &Mesh, specs: &[MachineSpec], weights: [u32; 2]) -> Self {
        let rows = mesh.services.iter().flat_map(|service| {
            Side::ALL.map(|side| first_row(service, side, weights[side as usize]))
        });
        let table = Arc::new(Table::new(1, rows));
        Platform {
            first: Arc::clone(&table),
            newest: table,
            states: Vec::new(),
            listings: vec![vec![(Timestamp::ZERO, Listing::Listed)]; specs.len()],
            specs: specs.to_vec(),
            zones_per_side: mesh.zones_per_side,
        }
    }

    /// The table that the mesh began with.
    pub fn first_table(&self) -> Arc<Table> {
        Arc::clone(&self.first)
    }

    /// Publishes the next table with changed rows.
    pub fn publish(&mut self, change: impl Fn(&mut TableRow)) {
        let number = self.newest.version().number + 1;
        let mut rows: Vec<TableRow> = self.newest.rows().cloned().collect();
        rows.iter_mut().for_each(change);
        self.newest = Arc::new(Table::new(number, rows));
    }

    /// What a fetch of the table gets.
    pub fn fetch_table(&self, now: Timestamp) -> Result<Arc<Table>, FetchFailed> {
        let state = self.states.last().map(|(_, state)| state.resolve(now));
        match state.unwrap_or(ConfigServiceState::Well) {
            ConfigServiceState::Down => Err(FetchFailed),
            ConfigServiceState::Stale => Ok(Arc::clone(&self.first)),
            _ => Ok(Arc::clone(&self.newest)),
        }
    }

    /// What a fetch of the list of machines gets.
    pub fn fetch_machines(&self, now: Timestamp) -> Result<Vec<ListedMachine>, FetchFailed> {
        let down = ConfigServiceState::Down;
        if self
            .states
            .last()
            .is_some_and(|(_, state)| state.resolve(now) == down)
        {
            return Err(FetchFailed);
        }
        let seen = now.saturating_sub(MACHINE_LIST_LAG);
        let machines = self.specs.iter().zip(&self.listings);
        Ok(machines
            .filter_map(|(spec, listings)| self.listed(spec, listing_at(listings, seen)))
            .collect())
    }

    /// Records how a machine is listed from a time on (seen later by the lag).
    pub fn list(&mut self, machine: MachineIndex, from: Timestamp, listing: Listing) {
        let listings = &mut self.listings[machine.0];
        listings.push((from, listing));
        listings.sort_by_key(|(time, _)| *time);
    }

    /// Puts a fault of the configuration service in force.
    pub fn set_state(&mut self, fault: FaultIndex, state: ConfigServiceState) {
        self.states.push((fault, state));
    }

    /// Ends a fault of the configuration service.
    pub fn clear_state(&mut self, fault: FaultIndex) {
        self.states.retain(|(known, _)| *known != fault);
    }

    fn listed(&self, spec: &MachineSpec, listing: Listing) -> Option<ListedMachine> {
        if listing == Listing::Absent {
            return None;
        }
        Some(ListedMachine {
            node: spec.node,
            service: spec.service_name.clone()?,
            side: spec.side,
            zone: spec.global_zone(self.zones_per_side),
            leaving: listing == Listing::Leaving,
        })
    }
}

impl ConfigServiceState {
    fn resolve(self, now: Timestamp) -> ConfigServiceState {
        let ConfigServiceState::Flapping { since, period } = self else {
            return self;
        };
        let turn = now.saturating_since(since).as_micros() / period.as_micros().max(1);
        match turn % 3 {
            0 => ConfigServiceState::Down,
            1 => ConfigServiceState::Stale,
            _ => ConfigServiceState::Well,
        }
    }
}

fn listing_at(listings: &[(Timestamp, Listing)], time: Timestamp) -> Listing {
    let known = listings.iter().rev().find(|(from, _)| *from <= time);
    known.map_or(Listing::Absent, |(_, listing)| *listing)
}

fn first_row(service: &ServiceModel, side: Side, weight: u32) -> TableRow {
    TableRow {
        service: service.name.clone(),
        side,
        weight,
        max_in_flight: service.slots,
        max_queue: service.slots * QUEUE_PER_SLOT,
        max_connections: service.max_connections,
        class: service.class,
        repeatable: service.repeatable,
        deadline: service.deadline,
    }
}

/// Sets a cell of a row.
pub fn set_cell(row: &mut TableRow, column: TableColumn, value: u32) {
    match column {
        TableColumn::Weight => row.weight = value,
        TableColumn::MaxInFlight => row.max_in_flight = value,
        TableColumn::MaxQueue => row.max_queue = value,
    }
}
