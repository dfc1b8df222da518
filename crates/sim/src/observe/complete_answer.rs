//! `complete_answer`: every caller receives the complete answer to its own
//! request.
//!
//! Every body carries what it is the answer to. One violation is an answer that
//! ended in order at its caller, a client or a service, and is the answer to
//! something else or lacks bytes.

use lifthollow_state::Timestamp;

use super::{Observation, Observer};

/// Compares what was asked with what was received.
#[derive(Default)]
pub(super) struct CompleteAnswer {
    violations: u64,
}

impl Observer for CompleteAnswer {
    fn observe(&mut self, _now: Timestamp, observation: &Observation) {
        if let Observation::AnswerReceived {
            asked,
            body_of,
            whole,
        } = observation
            && (asked != body_of || !whole)
        {
            self.violations += 1;
        }
    }

    fn violations(&self) -> u64 {
        self.violations
    }
}
