//! The repeats that all nodes together may send to a service.
//!
//! The bound of the fleet is a share of the requests of a window plus a fixed
//! number. Nodes don't ask each other for leave: each keeps its part, which is
//! the share of its own first attempts and an equal part of the fixed number.
//! A repeat makes the nested calls of its run repeats too. Those can't be held
//! back, so they are taken out of the budget of the service that they go to, and
//! a part of the bound is kept free for them.

use std::collections::HashMap;
use std::time::Duration;

use lifthollow_state::Timestamp;

/// The part of the bound that nodes spend on repeats of their own.
const OWN_SHARE: f64 = 0.5;
/// The most that may be owed for calls of repeated runs.
const MAX_DEBT: f64 = 20.0;
/// Part of the fixed number that may be spent at once; the rest covers windows
/// that overlap two refills.
const BURST_SHARE: f64 = 0.5;

/// The bound for the fleet as a whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryBound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats that are allowed besides, in each window.
    pub fixed: f64,
    /// Length of a window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Balance {
    tokens: f64,
    refilled: Timestamp,
}

/// This node's part of the bound, for each service.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    bound: FleetRetryBound,
    nodes: usize,
    balances: HashMap<String, Balance>,
}

impl RetryBudgets {
    /// Budgets under `bound`, for one of as many nodes as
    /// [`set_nodes`](Self::set_nodes) tells.
    pub fn new(bound: FleetRetryBound) -> Self {
        RetryBudgets {
            bound,
            nodes: 1,
            balances: HashMap::new(),
        }
    }

    /// Sets how many nodes share the bound.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Sets the bound of the fleet.
    pub fn set_bound(&mut self, bound: FleetRetryBound) {
        self.bound = bound;
    }

    /// A first attempt was sent to `service`.
    pub fn deposit(&mut self, now: Timestamp, service: &str) {
        let deposit = self.bound.ratio * OWN_SHARE;
        let ceiling = self.ceiling();
        let balance = self.refilled(now, service);
        balance.tokens = (balance.tokens + deposit).min(ceiling);
    }

    /// Pays for one repeat to `service`; says whether there was enough.
    pub fn withdraw(&mut self, now: Timestamp, service: &str) -> bool {
        let balance = self.refilled(now, service);
        if balance.tokens < 1.0 {
            return false;
        }
        balance.tokens -= 1.0;
        true
    }

    /// A call of a repeated run was sent to `service`.
    pub fn inherited(&mut self, now: Timestamp, service: &str) {
        let balance = self.refilled(now, service);
        balance.tokens = (balance.tokens - 1.0).max(-MAX_DEBT);
    }

    fn burst(&self) -> f64 {
        self.bound.fixed * BURST_SHARE * OWN_SHARE / self.nodes as f64
    }

    fn ceiling(&self) -> f64 {
        self.burst().max(2.0)
    }

    fn refilled(&mut self, now: Timestamp, service: &str) -> &mut Balance {
        let burst = self.burst();
        let ceiling = self.ceiling();
        let window = self.bound.window.as_secs_f64().max(1e-3);
        if !self.balances.contains_key(service) {
            let fresh = Balance {
                tokens: burst,
                refilled: now,
            };
            self.balances.insert(service.to_owned(), fresh);
        }
        let balance = self
            .balances
            .get_mut(service)
            .expect("it was inserted above");
        let passed = now.saturating_since(balance.refilled).as_secs_f64();
        balance.tokens = (balance.tokens + burst * passed / window).min(ceiling);
        balance.refilled = now;
        balance
    }
}
