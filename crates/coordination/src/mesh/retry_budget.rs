//! The retry budget: the retries that all nodes together may send to a service.
//!
//! The bound of the fleet is a share of the requests of a window plus a fixed
//! number. The requests of the window, of the one before it or of the one half a window
//! before it count, whichever has most. Nodes don't coordinate for a retry: each
//! keeps to its own budget, which is the share of its own requests and an equal part of the
//! fixed number.
//!
//! A node counts what it sent in short buckets ([`SentCounts`]). A retry is sent if
//! after it every window that has begun is within the node's budget, whatever comes
//! later, and if the last window is so by its own requests alone. Thus a burst of lost
//! answers can use what the requests before it allow, and nothing older.
//!
//! A hedge (a concurrent attempt while another is late) may only add load: in an
//! overload, many attempts are late. So hedges get only a small part of the budget.
//!
//! A retry makes the nested calls of its run retries too. Those can't be held
//! back. They count at the node that makes them, and a part of the bound is kept free for
//! them. Retries of callers' requests leave more of it free, as each may lead to many calls.

use std::collections::HashMap;
use std::time::Duration;

use lifthollow_state::Timestamp;

use crate::mesh::sent_counts::{BUCKETS_PER_WINDOW, SentCounts};

/// The part of [`FleetRetryBound::ratio`] that retries of nested calls may use.
const NESTED_SHARE: f64 = 0.7;
/// The part of [`FleetRetryBound::ratio`] that retries of callers' requests may use: each
/// retry may cause one more retry downstream within the bound.
const REQUEST_SHARE: f64 = 0.5;
/// The part of [`FleetRetryBound::fixed`] that nodes use. A node that restarts has lost
/// its counts, and may use its part a second time.
const FIXED_SHARE: f64 = 0.35;
/// Maximum number of hedges that a node can save up for a service.
const MAX_HEDGES: f64 = 2.0;
/// Minimum length of a window; shorter settings are raised to it.
const MIN_WINDOW: Duration = Duration::from_millis(20);

/// The bound on the retries that the whole fleet sends to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryBound {
    /// Number of retries that are allowed per request.
    pub ratio: f64,
    /// Number of retries that are allowed in each window in addition to `ratio`.
    pub fixed: f64,
    /// Length of the windows in which retries are bounded.
    pub window: Duration,
}

/// The kind of attempt that a retry repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryKind {
    /// A request of a caller, the root of its tree.
    Request,
    /// A call that a server makes for a request that it runs.
    NestedCall,
}

impl RetryKind {
    /// The fraction of [`FleetRetryBound::ratio`] that retries of this kind may use.
    fn share(self) -> f64 {
        match self {
            RetryKind::Request => REQUEST_SHARE,
            RetryKind::NestedCall => NESTED_SHARE,
        }
    }
}

/// What a node sent to one service lately, and the hedges that it may still send.
#[derive(Clone, Debug, Default)]
struct ServiceBudget {
    sent: SentCounts,
    /// Number of hedges that may still be sent, if the budget allows as many retries.
    available_hedges: f64,
    hedges_refilled: Timestamp,
}

/// This node's part of the fleet's retry bound, for each service.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    bound: FleetRetryBound,
    nodes: usize,
    by_service: HashMap<String, ServiceBudget>,
}

impl RetryBudgets {
    /// Creates the budgets under `bound` for a single node. [`set_nodes`](Self::set_nodes)
    /// sets the number of nodes that share the bound.
    pub fn new(bound: FleetRetryBound) -> Self {
        RetryBudgets {
            bound,
            nodes: 1,
            by_service: HashMap::new(),
        }
    }

    /// Sets the number of nodes that share the bound.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Sets the bound of the fleet. The counts are cleared if the length of the window
    /// changes.
    pub fn set_bound(&mut self, bound: FleetRetryBound) {
        if bound.window != self.bound.window {
            self.by_service.clear();
        }
        self.bound = bound;
    }

    /// Records that a request was sent to `service` for the first time.
    pub fn record_request(&mut self, now: Timestamp, service: &str) {
        let earned = self.bound.ratio * REQUEST_SHARE;
        let bucket_length = self.bucket_length();
        let service_budget = self.service_budget(now, service);
        service_budget.sent.count_request(now, bucket_length);
        service_budget.available_hedges =
            (service_budget.available_hedges + earned).min(MAX_HEDGES);
    }

    /// Takes one retry to `service` from the budget. Returns false if the budget is used up.
    pub fn try_take_retry(&mut self, now: Timestamp, service: &str, retry_kind: RetryKind) -> bool {
        let is_allowed = self.has_room(now, service, retry_kind);
        if is_allowed {
            self.count_retry(now, service);
        }
        is_allowed
    }

    /// Whether [`try_take_retry`](Self::try_take_retry) would allow one retry.
    pub fn has_room(&self, now: Timestamp, service: &str, retry_kind: RetryKind) -> bool {
        let (share, fixed) = (self.bound.ratio * retry_kind.share(), self.node_fixed());
        let service_budget = self.by_service.get(service);
        service_budget.map_or(fixed >= 1.0, |service_budget| {
            service_budget
                .sent
                .allows_retry(now, self.bucket_length(), share, fixed)
        })
    }

    /// Takes one hedge to `service` from the budget. Returns false if the budget or its
    /// part for hedges is used up.
    pub fn try_take_hedge(&mut self, now: Timestamp, service: &str, retry_kind: RetryKind) -> bool {
        if self.service_budget(now, service).available_hedges < 1.0
            || !self.try_take_retry(now, service, retry_kind)
        {
            return false;
        }
        self.service_budget(now, service).available_hedges -= 1.0;
        true
    }

    /// Records that a nested call of a retried run was sent to `service`: it counts as a retry.
    pub fn record_inherited_retry(&mut self, now: Timestamp, service: &str) {
        self.count_retry(now, service);
    }

    /// Counts a retry to `service`.
    fn count_retry(&mut self, now: Timestamp, service: &str) {
        let bucket_length = self.bucket_length();
        self.service_budget(now, service)
            .sent
            .count_retry(now, bucket_length);
    }

    /// The part of [`FleetRetryBound::fixed`] that this node may use.
    fn node_fixed(&self) -> f64 {
        self.bound.fixed * FIXED_SHARE / self.nodes as f64
    }

    /// The length of a window, at least [`MIN_WINDOW`].
    fn window(&self) -> Duration {
        self.bound.window.max(MIN_WINDOW)
    }

    /// The length of the buckets in which a window is counted.
    fn bucket_length(&self) -> Duration {
        self.window() / BUCKETS_PER_WINDOW
    }

    /// The counts of `service`, with the hedges that may be sent at `now`.
    fn service_budget(&mut self, now: Timestamp, service: &str) -> &mut ServiceBudget {
        let fixed = self.node_fixed();
        let window = self.window();
        if !self.by_service.contains_key(service) {
            let fresh = ServiceBudget {
                available_hedges: fixed.min(MAX_HEDGES),
                hedges_refilled: now,
                ..ServiceBudget::default()
            };
            self.by_service.insert(service.to_owned(), fresh);
        }
        let service_budget = self
            .by_service
            .get_mut(service)
            .expect("the budget was inserted above");
        let passed = now
            .saturating_since(service_budget.hedges_refilled)
            .as_secs_f64();
        let refill = fixed * passed / window.as_secs_f64();
        service_budget.available_hedges =
            (service_budget.available_hedges + refill).min(MAX_HEDGES);
        service_budget.hedges_refilled = now;
        service_budget
    }
}
