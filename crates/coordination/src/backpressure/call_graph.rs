//! Estimate of the services that a local service calls during a run, learned from
//! the calls observed.

use std::collections::{BTreeMap, BTreeSet};

use lifthollow_state::{PriorityClass, ServiceName};

use crate::inbound::InboundId;

/// Smallest weight of a new run in the moving averages.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
/// Number of runs observed before the needed services are inferred.
const MIN_RUNS: u32 = 20;
/// A service called in at least this share of the runs counts as needed.
const NEEDED_SHARE: f64 = 0.9;

/// Groups calls to one service that need the same downstream services: calls of one
/// class from one calling service mostly request the same operation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallSource {
    /// The service called.
    pub service: ServiceName,
    /// The service of the calling node; none if that node has no local back end, as
    /// for calls from outside.
    pub caller: Option<ServiceName>,
}

/// An attempt on a local back end and the services it has called so far.
#[derive(Debug)]
struct ActiveRun {
    source: CallSource,
    class: PriorityClass,
    called: BTreeSet<ServiceName>,
}

/// Share of the runs for one source and class that call each other service.
#[derive(Debug, Default)]
struct CallShares {
    runs: u32,
    shares: BTreeMap<ServiceName, f64>,
}

/// The part of the call graph that starts at this node's local services.
#[derive(Debug, Default)]
pub struct CallGraph {
    active: BTreeMap<InboundId, ActiveRun>,
    shares: BTreeMap<(CallSource, PriorityClass), CallShares>,
}

impl CallGraph {
    /// Records that an attempt has arrived that may run.
    pub fn add_run(&mut self, id: InboundId, source: CallSource, class: PriorityClass) {
        let run = ActiveRun {
            source,
            class,
            called: BTreeSet::new(),
        };
        self.active.insert(id, run);
    }

    /// Records that a run calls another service.
    pub fn record_call(&mut self, parent: InboundId, service: &ServiceName) {
        if let Some(run) = self.active.get_mut(&parent) {
            run.called.insert(service.clone());
        }
    }

    /// Records a completed run. A failed run may have stopped before its later
    /// calls, so only a successful one shows which services were not needed. The
    /// services that a failed run did call count as needed as well, because a node
    /// that starts while a downstream service is overloaded may see hardly any
    /// other runs.
    pub fn record_completion(&mut self, id: InboundId, success: bool) {
        let Some(run) = self.active.remove(&id) else {
            return;
        };
        let shares = self.shares.entry((run.source, run.class)).or_default();
        if success {
            shares.record_successful_run(run.called);
        } else if !run.called.is_empty() {
            shares.record_called_services(run.called);
        }
    }

    /// Removes an attempt that ended without a completed run.
    pub fn remove_run(&mut self, id: InboundId) {
        self.active.remove(&id);
    }

    /// Whether enough runs for calls of `class` from `source` were observed to infer
    /// which services they need.
    pub fn is_known(&self, source: &CallSource, class: PriorityClass) -> bool {
        let shares = self.shares.get(&(source.clone(), class));
        shares.is_some_and(|shares| shares.runs >= MIN_RUNS)
    }

    /// The services that nearly every run for a call of `class` from `source`
    /// needs.
    pub fn needed_services(
        &self,
        source: &CallSource,
        class: PriorityClass,
    ) -> impl Iterator<Item = &ServiceName> {
        self.shares
            .get(&(source.clone(), class))
            .filter(|shares| shares.runs >= MIN_RUNS)
            .into_iter()
            .flat_map(|shares| &shares.shares)
            .filter(|(_, share)| **share >= NEEDED_SHARE)
            .map(|(needed, _)| needed)
    }
}

impl CallShares {
    fn record_successful_run(&mut self, called: BTreeSet<ServiceName>) {
        let weight = self.next_sample_weight();
        for share in self.shares.values_mut() {
            *share -= *share * weight;
        }
        for service in called {
            *self.shares.entry(service).or_insert(0.0) += weight;
        }
    }

    /// Raises the shares of the services in `called` and leaves those of all others
    /// unchanged.
    fn record_called_services(&mut self, called: BTreeSet<ServiceName>) {
        let weight = self.next_sample_weight();
        for service in called {
            let share = self.shares.entry(service).or_insert(0.0);
            *share += (1.0 - *share) * weight;
        }
    }

    /// Weight of the next run in the averages. While few runs were observed, all of
    /// them have the same weight.
    fn next_sample_weight(&mut self) -> f64 {
        self.runs = self.runs.saturating_add(1);
        MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.runs))
    }
}
