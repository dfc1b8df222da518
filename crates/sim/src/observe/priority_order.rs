//! `priority_order`: the most important requests are the last to be shed.
//!
//! One violation is a refusal for overload of a call by a node, after which the
//! same node admits a less important class of call to the same service within
//! [`WINDOW`]. Two kinds of refusal count, each compared with admissions of its
//! own kind: an attempt refused by the server's node, against runs that it lets
//! start; and a call refused by the caller's node without any attempt, against
//! first attempts that it sends.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lifthollow_protocol::RefusalReason;
use lifthollow_state::{PriorityClass, Timestamp};

use super::{Observation, Observer, Told};
use crate::mesh::ServiceIndex;
use crate::world::MachineIndex;

/// How long after a refusal a less important call must not be admitted.
const WINDOW: Duration = Duration::from_millis(50);

/// Where a call was refused or admitted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Gate {
    machine: MachineIndex,
    service: ServiceIndex,
    outbound: bool,
}

struct Refusal {
    at: Timestamp,
    class: PriorityClass,
}

/// Remembers refusals for a short time.
#[derive(Default)]
pub(super) struct PriorityOrder {
    recent: BTreeMap<Gate, VecDeque<Refusal>>,
    violations: u64,
}

impl PriorityOrder {
    fn refused(&mut self, at: Timestamp, gate: Gate, class: PriorityClass, reason: RefusalReason) {
        let least = class == PriorityClass::Sheddable;
        if is_overload(reason) && !least {
            let refusals = self.recent.entry(gate).or_default();
            refusals.push_back(Refusal { at, class });
        }
    }

    fn admitted(&mut self, now: Timestamp, gate: Gate, class: PriorityClass) {
        let Some(refusals) = self.recent.get_mut(&gate) else {
            return;
        };
        while refusals
            .front()
            .is_some_and(|refusal| refusal.at + WINDOW < now)
        {
            refusals.pop_front();
        }
        let before = refusals.len();
        refusals.retain(|refusal| refusal.class <= class);
        self.violations += (before - refusals.len()) as u64;
    }
}

fn is_overload(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded
            | RefusalReason::QueueFull
            | RefusalReason::DownstreamOverloaded
            | RefusalReason::BackendRefused
    )
}

impl Observer for PriorityOrder {
    fn observe(&mut self, now: Timestamp, observation: &Observation) {
        match *observation {
            Observation::AttemptRefused {
                machine,
                service,
                class,
                reason,
            } => {
                let gate = Gate {
                    machine,
                    service,
                    outbound: false,
                };
                self.refused(now, gate, class, reason);
            }
            Observation::CallAnswered {
                machine,
                service,
                class,
                attempts: 0,
                told: Told::NotRun(reason),
                ..
            } => {
                let gate = Gate {
                    machine,
                    service,
                    outbound: true,
                };
                self.refused(now, gate, class, reason);
            }
            Observation::RunAdmitted {
                machine,
                service,
                class,
            } => {
                let gate = Gate {
                    machine,
                    service,
                    outbound: false,
                };
                self.admitted(now, gate, class);
            }
            Observation::AttemptSent {
                machine,
                service,
                class,
                first: true,
                ..
            } => {
                let gate = Gate {
                    machine,
                    service,
                    outbound: true,
                };
                self.admitted(now, gate, class);
            }
            _ => {}
        }
    }

    fn violations(&self) -> u64 {
        self.violations
    }
}
