//! Which services a local service calls while it runs, learned from its calls.

use std::collections::{BTreeMap, BTreeSet};

use lifthollow_state::{PriorityClass, ServiceName};

use crate::inbound::InboundId;

/// Share of a new run in what is known.
const GAIN: f64 = 0.02;
/// Runs seen before anything is concluded.
const MIN_RUNS: u32 = 20;
/// A service called in at least this share of the runs is needed.
const NEEDED_SHARE: f64 = 0.9;

/// What tells calls of one service apart, as far as their needs go: calls of one
/// class from one service mostly ask for the same operation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallSource {
    /// The service called.
    pub service: ServiceName,
    /// The service whose node calls; none for callers from outside.
    pub caller: Option<ServiceName>,
}

/// A run beside this node and the services it has called so far.
#[derive(Debug)]
struct ActiveRun {
    source: CallSource,
    class: PriorityClass,
    called: BTreeSet<ServiceName>,
}

/// How often the runs for one source and class call each other service.
#[derive(Debug, Default)]
struct CallShares {
    runs: u32,
    shares: BTreeMap<ServiceName, f64>,
}

/// The part of the call graph that starts at this node.
#[derive(Debug, Default)]
pub struct CallGraph {
    active: BTreeMap<InboundId, ActiveRun>,
    shares: BTreeMap<(CallSource, PriorityClass), CallShares>,
}

impl CallGraph {
    /// An attempt has arrived that may run.
    pub fn arrived(&mut self, id: InboundId, source: CallSource, class: PriorityClass) {
        let run = ActiveRun {
            source,
            class,
            called: BTreeSet::new(),
        };
        self.active.insert(id, run);
    }

    /// A run calls another service.
    pub fn called(&mut self, parent: InboundId, service: &ServiceName) {
        if let Some(run) = self.active.get_mut(&parent) {
            run.called.insert(service.clone());
        }
    }

    /// A run completed. One that failed may have stopped before its later
    /// calls, so only a successful one tells what was not needed. What it did
    /// call, a failed one needed as well: a node that starts while a service
    /// further down is overloaded may see hardly any other runs.
    pub fn completed(&mut self, id: InboundId, success: bool) {
        let Some(run) = self.active.remove(&id) else {
            return;
        };
        let shares = self.shares.entry((run.source, run.class)).or_default();
        if success {
            shares.learn(run.called);
        } else if !run.called.is_empty() {
            shares.learn_needed(run.called);
        }
    }

    /// An attempt is over without a completed run.
    pub fn dropped(&mut self, id: InboundId) {
        self.active.remove(&id);
    }

    /// Whether enough runs for calls of `class` from `source` were seen to tell what
    /// they need.
    pub fn is_known(&self, source: &CallSource, class: PriorityClass) -> bool {
        let shares = self.shares.get(&(source.clone(), class));
        shares.is_some_and(|shares| shares.runs >= MIN_RUNS)
    }

    /// The services that nearly every run for a call of `class` from `source`
    /// needs.
    pub fn needed(
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
    fn learn(&mut self, called: BTreeSet<ServiceName>) {
        let gain = self.next_gain();
        for share in self.shares.values_mut() {
            *share -= *share * gain;
        }
        for service in called {
            *self.shares.entry(service).or_insert(0.0) += gain;
        }
    }

    /// Learns that these were needed, and nothing of others.
    fn learn_needed(&mut self, called: BTreeSet<ServiceName>) {
        let gain = self.next_gain();
        for service in called {
            let share = self.shares.entry(service).or_insert(0.0);
            *share += (1.0 - *share) * gain;
        }
    }

    /// The share of the next run. While there are few, their plain mean is taken.
    fn next_gain(&mut self) -> f64 {
        self.runs = self.runs.saturating_add(1);
        GAIN.max(1.0 / f64::from(self.runs))
    }
}
