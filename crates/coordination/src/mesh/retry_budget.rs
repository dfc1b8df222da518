//! The repeats that all nodes together may send to a service.
//!
//! The bound of the fleet is a share of the requests of a window plus a fixed
//! number; the window, the one before it or the one half a window before it
//! counts, whichever has most requests. Nodes don't ask each other for leave: each
//! keeps its part, which is the share of its own requests and an equal part of the
//! fixed number.
//!
//! A node counts what it sent in short parts of a window ([`SentCounts`]). A repeat
//! is sent if after it every window that has begun is within the node's part,
//! whatever comes later, and if the last window is so by its own requests alone.
//! Thus a burst of lost answers finds what the requests before it allow, and
//! nothing older.
//!
//! An attempt beside one that is late (a hedge) may be no more than load: in an
//! overload many are late. Only little can be spent on those.
//!
//! A repeat makes the nested calls of its run repeats too. Those can't be held
//! back. They count where they are made, and a part of the bound is kept free for
//! them. Repeats of callers' requests leave more of it, as each may lead to many.

use std::collections::HashMap;
use std::time::Duration;

use lifthollow_state::Timestamp;

use crate::mesh::sent_counts::{PARTS, SentCounts};

/// The part of the bound's share that repeats of nested calls may use.
const NESTED_SHARE: f64 = 0.7;
/// The part that repeats of callers' requests may use: all that is repeated may be
/// repeated once more further down, within the bound.
const REQUEST_SHARE: f64 = 0.5;
/// The part of the fixed number that nodes use. A node that starts anew has
/// forgotten what it sent, and may use its part a second time.
const FIXED_SHARE: f64 = 0.35;
/// The most that is kept for hedges.
const MAX_HEDGES: f64 = 2.0;
/// Shorter windows are taken for this long.
const MIN_WINDOW: Duration = Duration::from_millis(20);

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

/// What a repeat repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeated {
    /// A request of a caller, the root of its tree.
    Request,
    /// A call that a server makes for a request of its own.
    NestedCall,
}

impl Repeated {
    /// The part of the bound's share that such repeats may use.
    fn share(self) -> f64 {
        match self {
            Repeated::Request => REQUEST_SHARE,
            Repeated::NestedCall => NESTED_SHARE,
        }
    }
}

/// What a node sent to one service, and what it may still send.
#[derive(Clone, Debug, Default)]
struct Account {
    sent: SentCounts,
    /// What hedges may use of the rest.
    hedges: f64,
    hedges_refilled: Timestamp,
}

/// This node's part of the bound, for each service.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    bound: FleetRetryBound,
    nodes: usize,
    accounts: HashMap<String, Account>,
}

impl RetryBudgets {
    /// Budgets under `bound`, for one of as many nodes as
    /// [`set_nodes`](Self::set_nodes) tells.
    pub fn new(bound: FleetRetryBound) -> Self {
        RetryBudgets {
            bound,
            nodes: 1,
            accounts: HashMap::new(),
        }
    }

    /// Sets how many nodes share the bound.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Sets the bound of the fleet. What was sent is counted anew if its window is
    /// another one.
    pub fn set_bound(&mut self, bound: FleetRetryBound) {
        if bound.window != self.bound.window {
            self.accounts.clear();
        }
        self.bound = bound;
    }

    /// A request for `service` was sent for the first time.
    pub fn deposit(&mut self, now: Timestamp, service: &str) {
        let earned = self.bound.ratio * REQUEST_SHARE;
        let part = self.part();
        let account = self.account(now, service);
        account.sent.note_request(now, part);
        account.hedges = (account.hedges + earned).min(MAX_HEDGES);
    }

    /// Pays for one repeat to `service`; says whether there was enough.
    pub fn withdraw(&mut self, now: Timestamp, service: &str, repeated: Repeated) -> bool {
        let is_enough = self.has_room(now, service, repeated);
        if is_enough {
            self.note_repeat(now, service);
        }
        is_enough
    }

    /// Whether [`withdraw`](Self::withdraw) would find enough for one repeat.
    pub fn has_room(&self, now: Timestamp, service: &str, repeated: Repeated) -> bool {
        let (share, fixed) = (self.bound.ratio * repeated.share(), self.fixed());
        let known = self.accounts.get(service);
        known.map_or(fixed >= 1.0, |known| {
            known.sent.allows_repeat(now, self.part(), share, fixed)
        })
    }

    /// Pays for one attempt beside another that is late; says whether there was
    /// enough.
    pub fn withdraw_for_hedge(
        &mut self,
        now: Timestamp,
        service: &str,
        repeated: Repeated,
    ) -> bool {
        if self.account(now, service).hedges < 1.0 || !self.withdraw(now, service, repeated) {
            return false;
        }
        self.account(now, service).hedges -= 1.0;
        true
    }

    /// A call of a repeated run was sent to `service`.
    pub fn inherited(&mut self, now: Timestamp, service: &str) {
        self.note_repeat(now, service);
    }

    fn note_repeat(&mut self, now: Timestamp, service: &str) {
        let part = self.part();
        self.account(now, service).sent.note_repeat(now, part);
    }

    /// This node's part of the fixed number.
    fn fixed(&self) -> f64 {
        self.bound.fixed * FIXED_SHARE / self.nodes as f64
    }

    fn window(&self) -> Duration {
        self.bound.window.max(MIN_WINDOW)
    }

    /// Length of the parts in which a window is counted.
    fn part(&self) -> Duration {
        self.window() / PARTS
    }

    /// The account of `service` as of now.
    fn account(&mut self, now: Timestamp, service: &str) -> &mut Account {
        let fixed = self.fixed();
        let window = self.window();
        if !self.accounts.contains_key(service) {
            let fresh = Account {
                hedges: fixed.min(MAX_HEDGES),
                hedges_refilled: now,
                ..Account::default()
            };
            self.accounts.insert(service.to_owned(), fresh);
        }
        let account = self
            .accounts
            .get_mut(service)
            .expect("it was inserted above");
        let passed = now.saturating_since(account.hedges_refilled).as_secs_f64();
        let refill = fixed * passed / window.as_secs_f64();
        account.hedges = (account.hedges + refill).min(MAX_HEDGES);
        account.hedges_refilled = now;
        account
    }
}
