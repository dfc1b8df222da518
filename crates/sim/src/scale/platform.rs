//! The platform's configuration service and its list of machines.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use lifthollow_coordination::fleet::{FetchFailed, Machine};
use lifthollow_state::{PriorityClass, ServiceName, Side, Table, TableRow};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::setup::{Fault, ScaleSetup, service_name};

/// Between two changes of the table: 2,500 a day.
pub const CHANGE_INTERVAL: Duration = Duration::from_millis(34_560);
/// Old tables that a stale answer may show.
const STALE_TABLES: usize = 20;
const MAX_WEIGHT: u32 = 100;

/// What the platform would answer.
pub struct Platform {
    setup: ScaleSetup,
    tables: VecDeque<Arc<Table>>,
    machines: Vec<Machine>,
    random: ChaCha8Rng,
}

impl Platform {
    /// The first table and all machines.
    pub fn new(setup: &ScaleSetup) -> Self {
        let rows = (0..setup.services).flat_map(|service| {
            let both = Side::ALL.into_iter();
            both.map(move |side| row(service, side))
        });
        Platform {
            setup: setup.clone(),
            tables: VecDeque::from([Arc::new(Table::new(1, rows))]),
            machines: (0..setup.nodes).map(|index| setup.machine(index)).collect(),
            random: ChaCha8Rng::seed_from_u64(setup.seed ^ 1),
        }
    }

    /// The newest table.
    pub fn newest_table(&self) -> Option<&Arc<Table>> {
        self.tables.back()
    }

    /// An operator changes one cell.
    pub fn change_table(&mut self) {
        let Some(newest) = self.tables.back() else {
            return;
        };
        let service = self.random.random_range(0..self.setup.services);
        let mut changed = row(service, Side::New);
        changed.weight = self.random.random_range(0..=MAX_WEIGHT);
        let number = newest.version().number + 1;
        let table = newest.with_changes(number, [changed], []);
        self.tables.push_back(Arc::new(table));
        if self.tables.len() > STALE_TABLES {
            self.tables.pop_front();
        }
    }

    /// What a node reads as the table.
    pub fn read_table(&mut self, index: u32, stale: bool) -> Result<Arc<Table>, FetchFailed> {
        if !self.setup.reads_platform(index) {
            return Err(FetchFailed);
        }
        let reads_stale =
            stale && self.setup.faults.has(Fault::StaleService) && index / 100 % 2 == 1;
        let newest = self.tables.len() - 1;
        let position = match reads_stale {
            true => self.random.random_range(0..=newest),
            false => newest,
        };
        Ok(self.tables[position].clone())
    }

    /// What a node reads as the list of machines.
    pub fn read_machines(&self, index: u32) -> Result<Vec<Machine>, FetchFailed> {
        match self.setup.reads_platform(index) {
            true => Ok(self.machines.clone()),
            false => Err(FetchFailed),
        }
    }
}

fn row(service: u32, side: Side) -> TableRow {
    TableRow {
        service: ServiceName::new(&service_name(service)),
        side,
        weight: 50,
        max_in_flight: 20,
        max_queue: 40,
        max_connections: 130,
        class: PriorityClass::Normal,
        repeatable: true,
        deadline: Duration::from_millis(2_000),
    }
}
