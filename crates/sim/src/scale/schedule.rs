//! What happens to the fleet in the course of a run.

use std::time::Duration;

use lifthollow_state::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::platform::CHANGE_INTERVAL;
use super::setup::{FAULT_AT, Fault, ScaleSetup, WARM_UP};

/// Planned restarts of an ordinary day: 750.
const RESTART_INTERVAL: Duration = Duration::from_millis(115_200);
/// From the announcement of a planned stop to the process's end.
const LEAVING_FOR: Duration = Duration::from_secs(8);
/// From a process's end to the start of the next one.
const DOWN_FOR: Duration = Duration::from_secs(5);
/// Machines that fail in a run, so that detection is measured: many more than
/// the 13 of an ordinary day would be.
const FAILURE_INTERVAL: Duration = Duration::from_secs(60);
/// Between two nodes that are paused in a fleet of full size.
const PAUSES_PER_NODE_SECOND: f64 = 0.002;
const LONGEST_PAUSE_SECONDS: f64 = 10.0;
/// All nodes of a fleet that starts with nothing start within this time.
const COLD_START_SPREAD_SECONDS: f64 = 2.0;
/// Nodes of a settled fleet begin their ticks within this time.
const SETTLED_SPREAD_SECONDS: f64 = 0.4;

/// Something that happens to nodes or to the platform.
#[derive(Clone, Copy, Debug)]
pub enum Occurrence {
    /// A process starts with nothing.
    Start(u32),
    /// A planned stop begins.
    Leave(u32),
    /// A process ends without a word or at the end of a planned stop.
    End(u32),
    /// A machine fails for good.
    Fail(u32),
    /// A process does not run for a while.
    Pause(u32, Duration),
    /// An operator changes the table.
    ChangeTable,
    /// A cut between regions heals.
    Heal,
}

/// Everything that is to happen, in no order.
pub fn occurrences(setup: &ScaleSetup, heals: Option<Timestamp>) -> Vec<(Timestamp, Occurrence)> {
    let mut schedule = Schedule {
        setup,
        random: ChaCha8Rng::seed_from_u64(setup.seed ^ 2),
        occurrences: Vec::new(),
    };
    schedule.ordinary_day();
    schedule.faults();
    if let Some(heals) = heals {
        schedule.occurrences.push((heals, Occurrence::Heal));
    }
    schedule.occurrences
}

struct Schedule<'a> {
    setup: &'a ScaleSetup,
    random: ChaCha8Rng,
    occurrences: Vec<(Timestamp, Occurrence)>,
}

impl Schedule<'_> {
    fn ordinary_day(&mut self) {
        let spread = match self.setup.faults.has(Fault::ColdStart) {
            true => COLD_START_SPREAD_SECONDS,
            false => SETTLED_SPREAD_SECONDS,
        };
        for index in 0..self.setup.nodes {
            let seconds = self.random.random_range(0.0..spread);
            self.at(Duration::from_secs_f64(seconds), Occurrence::Start(index));
        }
        self.every(CHANGE_INTERVAL, WARM_UP / 2, |_| Occurrence::ChangeTable);
        self.every(FAILURE_INTERVAL, WARM_UP, Occurrence::Fail);
        for restart in self.times(RESTART_INTERVAL, WARM_UP) {
            let index = self.random_node();
            self.restart(restart, index);
        }
    }

    fn restart(&mut self, at: Duration, index: u32) {
        self.at(at, Occurrence::Leave(index));
        self.at(at + LEAVING_FOR, Occurrence::End(index));
        self.at(at + LEAVING_FOR + DOWN_FOR, Occurrence::Start(index));
    }

    fn faults(&mut self) {
        let setup = self.setup;
        let zone = setup.zones - 1;
        let nodes = 0..setup.nodes;
        let in_zone = |index: &u32| setup.zone(*index) == zone;
        if setup.faults.has(Fault::ZoneLost) {
            self.all_at(nodes.clone().filter(in_zone), Occurrence::Fail);
        }
        if setup.faults.has(Fault::RackLost) {
            let rack = setup.rack(setup.nodes - 1) / 2;
            let in_rack = |index: &u32| setup.zone(*index) == 0 && setup.rack(*index) == rack;
            self.all_at(nodes.clone().filter(in_rack), Occurrence::Fail);
        }
        if setup.faults.has(Fault::MassRestart) {
            for index in nodes.filter(in_zone) {
                self.at(FAULT_AT, Occurrence::End(index));
                self.at(FAULT_AT + DOWN_FOR, Occurrence::Start(index));
            }
        }
        if setup.faults.has(Fault::Pauses) {
            self.pauses();
        }
    }

    fn pauses(&mut self) {
        let per_second = PAUSES_PER_NODE_SECOND * f64::from(self.setup.nodes);
        let interval = Duration::from_secs_f64(1.0 / per_second);
        for at in self.times(interval, WARM_UP) {
            let index = self.random_node();
            let seconds = self.random.random_range(0.5..LONGEST_PAUSE_SECONDS);
            let duration = Duration::from_secs_f64(seconds);
            self.at(at, Occurrence::Pause(index, duration));
        }
    }

    fn all_at(&mut self, indices: impl Iterator<Item = u32>, occurrence: fn(u32) -> Occurrence) {
        for index in indices {
            self.at(FAULT_AT, occurrence(index));
        }
    }

    fn every(
        &mut self,
        interval: Duration,
        first: Duration,
        occurrence: impl Fn(u32) -> Occurrence,
    ) {
        for at in self.times(interval, first) {
            let index = self.random_node();
            self.at(at, occurrence(index));
        }
    }

    fn times(&self, interval: Duration, first: Duration) -> Vec<Duration> {
        let end = Duration::from_secs(self.setup.seconds.into());
        let times = std::iter::successors(Some(first), |at| Some(*at + interval));
        times.take_while(|at| *at < end).collect()
    }

    fn random_node(&mut self) -> u32 {
        self.random.random_range(0..self.setup.nodes)
    }

    fn at(&mut self, at: Duration, occurrence: Occurrence) {
        self.occurrences.push((Timestamp::ZERO + at, occurrence));
    }
}
