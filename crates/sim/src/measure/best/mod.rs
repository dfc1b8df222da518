//! An upper bound of what a mesh could serve at best under a disturbance.
//!
//! The bound is the optimum of a linear program over the whole window. Its
//! variables say how many of the requests of a kind that arrive in a second are
//! served in that or a following second, as long as their users would wait.
//!
//! - No more are served than arrive; where back ends answer with errors, no more
//!   than retries can repair.
//! - In each second, each service has the slot time of its servers that are up
//!   and answer, on sides whose weight is not 0, with no more slots than
//!   `max_in_flight` allows there. A visit costs the mean time that it holds a
//!   slot on an otherwise idle mesh: its own work under the least slowness of any
//!   server in force, streaming, and the mean of its nested calls. Network
//!   delays, waiting and uneven load cost nothing.
//! - Because important requests must be the last to be shed, they come first:
//!   a more important class outweighs all that a less important one could gain.
//!
//! Each simplification makes the bound larger, so that `goodput_ratio` is not
//! flattered: a policy is held to the mesh without its randomness.

mod capacity;
mod cost;

use std::time::Duration;

use lifthollow_state::PriorityClass;
use microlp::{ComparisonOp, OptimizationDirection, Problem, Variable};

use crate::mesh::{KindIndex, Mesh, RequestKind, ServiceIndex};
use crate::scenario::Scenario;
use capacity::{SecondState, repairable_share};
use cost::slot_time;

/// Whole requests a second that the mesh serves at best undisturbed, both sides
/// together, in the mix of its kinds.
pub fn best_rate(mesh: &Mesh) -> f64 {
    let services = (0..mesh.services.len()).map(ServiceIndex);
    services
        .map(|service| {
            let model = mesh.service(service);
            let slots = f64::from(model.slots) * f64::from(model.servers_per_side) * 2.0;
            let kinds = mesh.kinds.iter();
            let hold: f64 = kinds
                .map(|kind| kind.share * slot_time(kind, service, &|_| 1.0))
                .sum();
            slots / hold.max(f64::EPSILON)
        })
        .fold(f64::INFINITY, f64::min)
}

/// Whole requests that could have been useful at best, of those offered:
/// `offered[second][kind]` counts the arrivals in each second of the window that
/// begins at `start`. None if the program could not be solved.
pub fn best_possible(
    mesh: &Mesh,
    scenario: &Scenario,
    start: Duration,
    offered: &[Vec<f64>],
) -> Option<f64> {
    let longest = mesh.kinds.iter().map(patience).max().unwrap_or(0);
    let seconds: Vec<SecondState> = (0..(offered.len() + longest) as u64)
        .map(|second| SecondState::at(mesh, scenario, start + Duration::from_secs(second)))
        .collect();
    let mut program = Program::new();
    for (second, counts) in offered.iter().enumerate() {
        let time = start + Duration::from_secs(second as u64);
        for (index, count) in counts.iter().enumerate() {
            let kind = KindIndex(index);
            let share = repairable_share(mesh, scenario, mesh.kind(kind), time);
            program.add_arrivals(mesh, kind, second, count * share);
        }
    }
    program.add_capacities(mesh, &seconds);
    program.served()
}

/// How many requests of a kind are served in a second, wherever they arrived.
struct Served {
    kind: KindIndex,
    second: usize,
    variable: Variable,
}

/// The linear program.
struct Program {
    problem: Problem,
    served: Vec<Served>,
}

impl Program {
    fn new() -> Self {
        Program {
            problem: Problem::new(OptimizationDirection::Maximize),
            served: Vec::new(),
        }
    }

    /// Requests that arrive in a second may be served then or soon after.
    fn add_arrivals(&mut self, mesh: &Mesh, kind: KindIndex, second: usize, count: f64) {
        let model = mesh.kind(kind);
        let variables: Vec<Variable> = (second..=second + patience(model))
            .map(|second| self.add_served(model, kind, second))
            .collect();
        let terms: Vec<(Variable, f64)> = variables.iter().map(|v| (*v, 1.0)).collect();
        self.problem.add_constraint(&terms, ComparisonOp::Le, count);
    }

    fn add_served(&mut self, model: &RequestKind, kind: KindIndex, second: usize) -> Variable {
        let variable = self
            .problem
            .add_var(value(model.class), (0.0, f64::INFINITY));
        self.served.push(Served {
            kind,
            second,
            variable,
        });
        variable
    }

    fn add_capacities(&mut self, mesh: &Mesh, seconds: &[SecondState]) {
        for service in (0..mesh.services.len()).map(ServiceIndex) {
            for (second, state) in seconds.iter().enumerate() {
                let terms = self.terms(mesh, service, second, state);
                let capacity = state.slot_seconds[service.0];
                self.problem
                    .add_constraint(&terms, ComparisonOp::Le, capacity);
            }
        }
    }

    fn terms(
        &self,
        mesh: &Mesh,
        service: ServiceIndex,
        second: usize,
        state: &SecondState,
    ) -> Vec<(Variable, f64)> {
        let in_second = self.served.iter().filter(|served| served.second == second);
        let costs = in_second.map(|served| {
            let slowness = |other: ServiceIndex| state.slowness[other.0];
            let cost = slot_time(mesh.kind(served.kind), service, &slowness);
            (served.variable, cost)
        });
        costs.filter(|(_, cost)| *cost > 0.0).collect()
    }

    fn served(&self) -> Option<f64> {
        let solution = self.problem.solve().ok()?.into_solution().ok()?;
        let counts = self.served.iter();
        Some(
            counts
                .map(|served| solution.var_value(served.variable))
                .sum(),
        )
    }
}

/// Whole seconds that a request may wait beyond the one that it came in.
fn patience(kind: &RequestKind) -> usize {
    (kind.deadline.as_secs() as usize).saturating_sub(1)
}

/// What a served request is worth to the program.
fn value(class: PriorityClass) -> f64 {
    match class {
        PriorityClass::Sheddable => 1.0,
        PriorityClass::Normal => 30.0,
        PriorityClass::Critical => 900.0,
    }
}
