//! Number of requests that all nodes together may run under one tenant's limit, and its division
//! among them.
//!
//! In each window the fleet may run `(rate x window + burst) x (1 + overshoot) + slack` requests of
//! a tenant. The difference between that and the limit itself, `rate x window + burst`, is the
//! excess. It is divided so that the total is kept whatever nodes know of each other:
//!
//! | part of the excess | used for |
//! |---|---|
//! | [`FREE_SHARE`] | an equal share for each node, used without asking a lender |
//! | [`PREFETCH_SHARE`] | tokens that were lent to nodes and are not used yet |
//! | the rest | lenders that take over from each other and start with the tokens of [`INITIAL_TOKENS_TIME`] |

use std::time::Duration;

use lifthollow_state::mesh::RateLimit;

use crate::mesh::tenants::lenders::LENDERS_PER_TENANT;

/// Fraction of the excess that nodes use without asking a lender, half of it as a burst and half
/// spread over a window. It saves messages for large tenants, and lets requests run while no lender
/// answers.
const FREE_SHARE: f64 = 0.3;
/// Fraction of the excess that may be lent to nodes before they need it.
const PREFETCH_SHARE: f64 = 0.3;
/// Time whose tokens, at the tenant's rate, a lender starts with if it doesn't know what was lent
/// before. Without initial tokens, the first requests would be refused although their tenant is
/// below its limit; a whole burst at each start would add up if lenders change often.
const INITIAL_TOKENS_TIME: Duration = Duration::from_millis(300);
/// Fraction of the limit that a node lends while it doesn't know whether the preceding lender is
/// gone. In the 2.5 s until it knows, that amounts to 0.63 of the tokens of one second; the excess
/// on the users' platform is 1.5 times those of one second.
const UNSURE_SHARE: f64 = 0.25;
/// Fraction of the limit that a node lends if it may be cut off; it then lends to its own requests
/// only. All nodes that can lend together use a quarter of the limit.
const CUT_OFF_SHARE: f64 = UNSURE_SHARE / LENDERS_PER_TENANT as f64;

/// Whether other nodes may lend the same tenant's tokens at the same time as a node that lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// As far as the node knows, no other node lends.
    Alone,
    /// A lender that the node stands in for may still lend as well.
    Unsure,
    /// The node may be cut off from the fleet while other nodes continue to lend.
    MayBeCutOff,
}

/// Tolerance within which tenants' limits must be kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the time window in which requests are counted.
    pub window: Duration,
    /// Fraction of the limit by which all nodes together may exceed it.
    pub overshoot: f64,
    /// Number of requests per window by which all nodes together may exceed the limit in addition.
    pub slack: f64,
}

impl Default for QuotaTolerance {
    /// Returns the tolerance for a platform that specifies none: an overshoot of a tenth, in
    /// windows of five seconds.
    fn default() -> Self {
        QuotaTolerance {
            window: Duration::from_secs(5),
            overshoot: 0.1,
            slack: 0.0,
        }
    }
}

/// One tenant's limit in a fleet, together with the excess that may be used above it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetQuota {
    /// Tokens per second that the limit allows.
    pub rate: f64,
    /// Burst of the limit: number of unused tokens that a lender may accumulate.
    pub burst: f64,
    excess: f64,
    window: Duration,
    nodes: f64,
}

impl FleetQuota {
    /// Creates the quota for `limit` in a fleet of `nodes` nodes.
    pub fn new(limit: RateLimit, tolerance: &QuotaTolerance, nodes: usize) -> Self {
        let rate = limit.per_second();
        let burst = limit.burst as f64;
        let in_window = rate * tolerance.window.as_secs_f64() + burst;
        FleetQuota {
            rate,
            burst,
            excess: tolerance.overshoot * in_window + tolerance.slack,
            window: tolerance.window,
            nodes: nodes.max(1) as f64,
        }
    }

    /// Returns the maximum number of tokens that a node accumulates without asking a lender.
    pub fn free_burst(&self) -> f64 {
        self.excess * FREE_SHARE / 2.0 / self.nodes
    }

    /// Returns the tokens per second that a node may use without asking a lender.
    pub fn free_rate(&self) -> f64 {
        self.free_burst() / self.window.as_secs_f64()
    }

    /// Returns the maximum number of tokens that a node may be lent before it needs them.
    pub fn max_prefetch(&self) -> f64 {
        self.excess * PREFETCH_SHARE / self.nodes
    }

    /// Returns the quota with the share of rate and burst that a node of this standing may lend.
    pub fn lendable_by(&self, standing: Standing) -> FleetQuota {
        let share = match standing {
            Standing::Alone => 1.0,
            Standing::Unsure => UNSURE_SHARE,
            Standing::MayBeCutOff => CUT_OFF_SHARE,
        };
        FleetQuota {
            rate: self.rate * share,
            burst: self.burst * share,
            ..*self
        }
    }

    /// Returns the number of nodes in the fleet.
    pub fn nodes(&self) -> f64 {
        self.nodes
    }

    /// Returns the number of tokens that a lender starts with.
    pub fn initial_tokens(&self) -> f64 {
        (self.rate * INITIAL_TOKENS_TIME.as_secs_f64()).min(self.max_saved_tokens())
    }

    /// Returns the maximum number of tokens that a lender accumulates: the burst, and at least one.
    pub fn max_saved_tokens(&self) -> f64 {
        self.burst.max(1.0)
    }
}
