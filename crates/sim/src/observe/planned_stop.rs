//! `planned_stop`: a planned stop of any machine cuts no request in progress.
//!
//! Violations are the calls and runs that a machine still had when it was
//! stopped as planned, and every run that the node of a leaving machine told its
//! back end to give up although the caller still waited for it in time.

use std::collections::BTreeSet;

use lifthollow_state::Timestamp;

use super::{Observation, Observer};
use crate::world::MachineIndex;

/// Counts what planned stops cut.
#[derive(Default)]
pub(super) struct PlannedStop {
    leaving: BTreeSet<MachineIndex>,
    violations: u64,
}

impl Observer for PlannedStop {
    fn observe(&mut self, _now: Timestamp, observation: &Observation) {
        match observation {
            Observation::LeavingTold { machine, .. } => {
                self.leaving.insert(*machine);
            }
            Observation::ProcessStarted { machine } => {
                self.leaving.remove(machine);
            }
            Observation::RunCancelled {
                machine,
                wanted: true,
            } if self.leaving.contains(machine) => self.violations += 1,
            Observation::PlannedStop { cut, .. } => self.violations += cut,
            _ => {}
        }
    }

    fn violations(&self) -> u64 {
        self.violations
    }
}
