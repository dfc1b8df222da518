//! Observers of the eight promises, fed by what back ends really did and what
//! callers really got, never by what a policy believes.

mod at_most_once;
mod complete_answer;
mod config_forward;
mod leaving_quiet;
mod not_run_truth;
mod observation;
mod planned_stop;
mod priority_order;
mod retry_bound;

use lifthollow_state::Timestamp;
use serde::Serialize;

pub use observation::{Observation, Told};

use at_most_once::AtMostOnce;
use complete_answer::CompleteAnswer;
use config_forward::ConfigForward;
use leaving_quiet::LeavingQuiet;
use not_run_truth::NotRunTruth;
use planned_stop::PlannedStop;
use priority_order::PriorityOrder;
use retry_bound::RetryBound;

/// Counts of broken promises under their fixed names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Whole requests with more retries than their allowance.
    pub retry_bound: u64,
    /// Important calls refused while less important ones were admitted.
    pub priority_order: u64,
    /// Answers that were another request's, or not whole.
    pub complete_answer: u64,
    /// Calls that ran although their caller was told that they did not.
    pub not_run_truth: u64,
    /// Runs, beyond the first, of operations that may run only once.
    pub at_most_once: u64,
    /// Runs started on leaving back ends too long after they were told.
    pub leaving_quiet: u64,
    /// Calls and runs cut by a planned stop.
    pub planned_stop: u64,
    /// Reversions of the table, and nodes that stayed behind.
    pub config_forward: u64,
}

impl Violations {
    /// All counts with their names.
    pub fn named(&self) -> [(&'static str, u64); 8] {
        [
            ("retry_bound", self.retry_bound),
            ("priority_order", self.priority_order),
            ("complete_answer", self.complete_answer),
            ("not_run_truth", self.not_run_truth),
            ("at_most_once", self.at_most_once),
            ("leaving_quiet", self.leaving_quiet),
            ("planned_stop", self.planned_stop),
            ("config_forward", self.config_forward),
        ]
    }

    /// The sums of two runs' counts.
    pub fn plus(self, other: Violations) -> Violations {
        Violations {
            retry_bound: self.retry_bound + other.retry_bound,
            priority_order: self.priority_order + other.priority_order,
            complete_answer: self.complete_answer + other.complete_answer,
            not_run_truth: self.not_run_truth + other.not_run_truth,
            at_most_once: self.at_most_once + other.at_most_once,
            leaving_quiet: self.leaving_quiet + other.leaving_quiet,
            planned_stop: self.planned_stop + other.planned_stop,
            config_forward: self.config_forward + other.config_forward,
        }
    }

    /// Sum of all counts.
    pub fn total(&self) -> u64 {
        self.named().iter().map(|(_, count)| count).sum()
    }
}

/// Checks one promise.
trait Observer {
    /// Takes in something that really happened.
    fn observe(&mut self, now: Timestamp, observation: &Observation);

    /// How often the promise was broken so far.
    fn violations(&self) -> u64;
}

/// The observers of all promises.
#[derive(Default)]
pub struct Observers {
    retry_bound: RetryBound,
    priority_order: PriorityOrder,
    complete_answer: CompleteAnswer,
    not_run_truth: NotRunTruth,
    at_most_once: AtMostOnce,
    leaving_quiet: LeavingQuiet,
    planned_stop: PlannedStop,
    config_forward: ConfigForward,
}

impl Observers {
    /// Observers of a world that has just been made.
    pub fn new() -> Self {
        Observers::default()
    }

    /// Takes in something that really happened.
    pub fn observe(&mut self, now: Timestamp, observation: &Observation) {
        let observers: [&mut dyn Observer; 8] = [
            &mut self.retry_bound,
            &mut self.priority_order,
            &mut self.complete_answer,
            &mut self.not_run_truth,
            &mut self.at_most_once,
            &mut self.leaving_quiet,
            &mut self.planned_stop,
            &mut self.config_forward,
        ];
        for observer in observers {
            observer.observe(now, observation);
        }
    }

    /// The counts so far.
    pub fn violations(&self) -> Violations {
        Violations {
            retry_bound: self.retry_bound.violations(),
            priority_order: self.priority_order.violations(),
            complete_answer: self.complete_answer.violations(),
            not_run_truth: self.not_run_truth.violations(),
            at_most_once: self.at_most_once.violations(),
            leaving_quiet: self.leaving_quiet.violations(),
            planned_stop: self.planned_stop.violations(),
            config_forward: self.config_forward.violations(),
        }
    }
}
