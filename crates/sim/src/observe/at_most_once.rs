//! `at_most_once`: a request that may not be repeated runs at most once.
//!
//! An operation is one visit in the call tree of one whole request, the same in
//! all repeats by client or nodes. Every run of an operation marked as to run
//! once, beyond the first that a back end began to execute, is a violation.

use std::collections::HashSet;

use lifthollow_state::Timestamp;

use super::{Observation, Observer};
use crate::world::Operation;

/// Remembers which operations have run.
#[derive(Default)]
pub(super) struct AtMostOnce {
    ran: HashSet<Operation>,
    violations: u64,
}

impl Observer for AtMostOnce {
    fn observe(&mut self, _now: Timestamp, observation: &Observation) {
        if let Observation::RunStarted {
            operation,
            once: true,
            ..
        } = observation
            && !self.ran.insert(*operation)
        {
            self.violations += 1;
        }
    }

    fn violations(&self) -> u64 {
        self.violations
    }
}
