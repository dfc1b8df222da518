//! `leaving_quiet`: a back end that is leaving receives no new work after a few
//! seconds.
//!
//! One violation is a run that a back end begins to execute more than [`BOUND`]
//! after its node was told to leave or, if only the platform's list says so,
//! after readers of the lagging list could see it.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_state::Timestamp;

use super::{Observation, Observer};
use crate::world::MachineIndex;

/// How long new work may still start.
const BOUND: Duration = Duration::from_secs(3);

/// Remembers which machines are leaving.
#[derive(Default)]
pub(super) struct LeavingQuiet {
    told: BTreeMap<MachineIndex, Timestamp>,
    violations: u64,
}

impl Observer for LeavingQuiet {
    fn observe(&mut self, now: Timestamp, observation: &Observation) {
        match observation {
            Observation::LeavingTold { machine, at } => {
                self.told.insert(*machine, *at);
            }
            Observation::ProcessStarted { machine } => {
                self.told.remove(machine);
            }
            Observation::RunStarted { machine, .. } => {
                let told = self.told.get(machine);
                if told.is_some_and(|at| now > *at + BOUND) {
                    self.violations += 1;
                }
            }
            _ => {}
        }
    }

    fn violations(&self) -> u64 {
        self.violations
    }
}
