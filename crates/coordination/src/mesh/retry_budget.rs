//! The repeats that all nodes together may send to a service.
//!
//! The bound of the fleet is a share of the requests of a window plus a fixed
//! number. Nodes don't ask each other for leave: each keeps its part, which is
//! the share of its own first attempts and an equal part of the fixed number.
//!
//! What first attempts earn can be saved for a window, so that a burst of lost
//! answers finds something to be repeated from, and is worth nothing after that:
//! in any window the fleet repeats at most what that window and the one before
//! have earned. A share of half of the bound's is therefore safe.
//!
//! An attempt beside one that is late (a hedge) may be no more than load: in an
//! overload many are late. Of what is saved only little can be spent on those.
//!
//! A repeat makes the nested calls of its run repeats too. Those can't be held
//! back, so they are taken out of the budget of the service that they go to, and
//! a part of the bound is kept free for them.

use std::collections::HashMap;
use std::time::Duration;

use lifthollow_state::Timestamp;

/// The part of the bound's share that a first attempt earns.
const EARNED_SHARE: f64 = 0.45;
/// The part of the fixed number that a node may have at once, and that it gets
/// anew in each window.
const FIXED_SHARE: f64 = 0.25;
/// The most that is kept for hedges.
const MAX_HEDGES: f64 = 2.0;
/// The most that may be owed for calls of repeated runs.
const MAX_DEBT: f64 = 20.0;
/// Shorter windows are taken for this long.
const MIN_WINDOW: Duration = Duration::from_millis(1);

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

/// What a node may spend on one service.
#[derive(Clone, Copy, Debug)]
struct Balance {
    /// Earned since `half_began`.
    earned: f64,
    /// Earned in the half of a window before.
    earned_before: f64,
    half_began: Timestamp,
    /// Of the fixed number.
    fixed: f64,
    refilled: Timestamp,
    /// Owed for calls of repeated runs.
    debt: f64,
    /// The part of all this that hedges may have.
    hedges: f64,
}

impl Balance {
    fn new(now: Timestamp, fixed: f64) -> Self {
        Balance {
            earned: 0.0,
            earned_before: 0.0,
            half_began: now,
            fixed,
            refilled: now,
            debt: 0.0,
            hedges: fixed.min(MAX_HEDGES),
        }
    }

    fn available(&self) -> f64 {
        self.earned_before + self.earned + self.fixed - self.debt
    }

    /// Forgets what was earned too long ago.
    fn expire(&mut self, now: Timestamp, half: Duration) {
        let passed = now.saturating_since(self.half_began);
        if passed < half {
            return;
        }
        let is_next = passed < half * 2;
        self.earned_before = if is_next { self.earned } else { 0.0 };
        self.earned = 0.0;
        self.half_began = if is_next { self.half_began + half } else { now };
    }

    fn earn(&mut self, amount: f64) {
        let repaid = amount.min(self.debt);
        self.debt -= repaid;
        self.earned += amount - repaid;
        self.hedges = (self.hedges + amount).min(MAX_HEDGES);
    }

    /// Takes `amount` of what expires first; what is missing is owed.
    fn spend(&mut self, amount: f64) {
        let mut left = amount;
        for part in [&mut self.earned_before, &mut self.earned, &mut self.fixed] {
            let taken = left.min(*part);
            *part -= taken;
            left -= taken;
        }
        self.debt = (self.debt + left).min(MAX_DEBT);
    }
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
        let earned = self.bound.ratio * EARNED_SHARE;
        self.balance(now, service).earn(earned);
    }

    /// Pays for one repeat to `service`; says whether there was enough.
    pub fn withdraw(&mut self, now: Timestamp, service: &str) -> bool {
        let balance = self.balance(now, service);
        let is_enough = balance.available() >= 1.0;
        if is_enough {
            balance.spend(1.0);
        }
        is_enough
    }

    /// Pays for one attempt beside another that is late; says whether there was
    /// enough.
    pub fn withdraw_for_hedge(&mut self, now: Timestamp, service: &str) -> bool {
        if self.balance(now, service).hedges < 1.0 || !self.withdraw(now, service) {
            return false;
        }
        self.balance(now, service).hedges -= 1.0;
        true
    }

    /// A call of a repeated run was sent to `service`.
    pub fn inherited(&mut self, now: Timestamp, service: &str) {
        self.balance(now, service).spend(1.0);
    }

    /// The balance for `service` as of now.
    fn balance(&mut self, now: Timestamp, service: &str) -> &mut Balance {
        let fixed = self.bound.fixed * FIXED_SHARE / self.nodes as f64;
        let window = self.bound.window.max(MIN_WINDOW);
        if !self.balances.contains_key(service) {
            let fresh = Balance::new(now, fixed);
            self.balances.insert(service.to_owned(), fresh);
        }
        let balance = self
            .balances
            .get_mut(service)
            .expect("it was inserted above");
        balance.expire(now, window / 2);
        let passed = now.saturating_since(balance.refilled).as_secs_f64();
        let refill = fixed * passed / window.as_secs_f64();
        balance.fixed = (balance.fixed + refill).min(fixed);
        balance.hedges = (balance.hedges + refill).min(MAX_HEDGES);
        balance.refilled = now;
        balance
    }
}
