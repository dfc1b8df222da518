//! `not_run_truth`: when a caller is told that its call did not run, it truly
//! did not, and will not.
//!
//! One violation is a call whose maker was told *not run* and of which a back
//! end began to execute a run, before or after.

use std::collections::HashSet;

use lifthollow_coordination::outbound::CallId;
use lifthollow_state::Timestamp;

use super::{Observation, Observer, Told};

/// Remembers which calls ran and which were said not to run.
#[derive(Default)]
pub(super) struct NotRunTruth {
    ran: HashSet<CallId>,
    told_not_run: HashSet<CallId>,
    violations: u64,
}

impl Observer for NotRunTruth {
    fn observe(&mut self, _now: Timestamp, observation: &Observation) {
        match observation {
            Observation::RunStarted { call, .. } => {
                let first = self.ran.insert(*call);
                if first && self.told_not_run.contains(call) {
                    self.violations += 1;
                }
            }
            Observation::CallAnswered {
                call,
                told: Told::NotRun(_),
                ..
            } => {
                let first = self.told_not_run.insert(*call);
                if first && self.ran.contains(call) {
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
