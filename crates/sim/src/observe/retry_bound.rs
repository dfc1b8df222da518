//! `retry_bound`: retries for one whole request are bounded, however many hops
//! it crosses.
//!
//! A retry is every attempt of a call after its first, on any node, in all call
//! trees of the whole request together, those of the client's own repeats
//! included. A whole request with more of them than [`RETRY_ALLOWANCE`] is one
//! violation.

use std::collections::HashMap;

use lifthollow_state::Timestamp;

use super::{Observation, Observer};
use crate::world::RequestNumber;

/// Retries allowed for one whole request.
const RETRY_ALLOWANCE: u32 = 3;

/// Counts retries by whole request.
#[derive(Default)]
pub(super) struct RetryBound {
    retries: HashMap<RequestNumber, u32>,
    violations: u64,
}

impl Observer for RetryBound {
    fn observe(&mut self, _now: Timestamp, observation: &Observation) {
        let Observation::AttemptSent {
            operation,
            first: false,
            ..
        } = observation
        else {
            return;
        };
        let retries = self.retries.entry(operation.request).or_default();
        *retries += 1;
        if *retries == RETRY_ALLOWANCE + 1 {
            self.violations += 1;
        }
    }

    fn violations(&self) -> u64 {
        self.violations
    }
}
