//! What all nodes together may use of one tenant's limit, and how that is divided.
//!
//! In each window the fleet may run `(rate x window + burst) x (1 + overshoot) + slack`
//! requests of a tenant. What lies between the limit itself and that is spare, and is divided
//! so that the sum holds whatever nodes know of each other:
//!
//! | part of the spare | who uses it |
//! |---|---|
//! | [`FREE_SHARE`] | each node its equal part, without asking anybody |
//! | [`AHEAD_SHARE`] | tokens that nodes were lent and have not used yet |
//! | the rest | lenders that take over from each other, and start with [`FIRST_TOKENS`] |

use std::time::Duration;

use lifthollow_state::mesh::RateLimit;

use crate::mesh::tenants::lenders::RANKS;

/// Part of the spare that nodes use without asking, half of it at once and half over a window.
/// It spares questions for large tenants, and serves requests while no lender answers.
const FREE_SHARE: f64 = 0.3;
/// Part of the spare that may be lent before it is needed.
const AHEAD_SHARE: f64 = 0.3;
/// A lender that knows nothing of what was lent before begins with the tokens of this time.
/// With none, the requests of its first moments would be refused though their tenant is below
/// its limit; a whole burst each time would add up where lenders change often.
const FIRST_TOKENS: Duration = Duration::from_millis(300);
/// Part of the limit that a node lends while it doesn't know whether the lender is gone. In
/// the 2.5 s until it knows that is 0.63 of a second's rate; the spare of the users' platform is
/// 1.5 of it.
const UNSURE_SHARE: f64 = 0.25;
/// Part of the limit that a node lends which may be cut off, for its own requests then. As many
/// as can lend use a quarter of the limit.
const CUT_OFF_SHARE: f64 = UNSURE_SHARE / RANKS as f64;

/// Whether others may lend beside a node that lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It alone lends, as far as it knows.
    Alone,
    /// The one that it stands in for may lend as well.
    Unsure,
    /// It may be cut off, and others go on without it.
    MayBeCutOff,
}

/// How exactly limits are to be kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// The span in which requests are counted.
    pub window: Duration,
    /// By which part of the limit all nodes together may exceed it.
    pub overshoot: f64,
    /// By how many requests they may exceed it besides.
    pub slack: f64,
}

impl Default for QuotaTolerance {
    /// For a platform that states none: a tenth, over five seconds.
    fn default() -> Self {
        QuotaTolerance {
            window: Duration::from_secs(5),
            overshoot: 0.1,
            slack: 0.0,
        }
    }
}

/// One tenant's limit in a fleet, with what may be used on top.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetQuota {
    /// Tokens a second.
    pub rate: f64,
    /// The most tokens that a lender saves up.
    pub burst: f64,
    spare: f64,
    window: Duration,
    nodes: f64,
}

impl FleetQuota {
    /// `limit` in a fleet of `nodes`.
    pub fn new(limit: RateLimit, tolerance: &QuotaTolerance, nodes: usize) -> Self {
        let rate = limit.per_second();
        let burst = limit.burst as f64;
        let in_window = rate * tolerance.window.as_secs_f64() + burst;
        FleetQuota {
            rate,
            burst,
            spare: tolerance.overshoot * in_window + tolerance.slack,
            window: tolerance.window,
            nodes: nodes.max(1) as f64,
        }
    }

    /// The most tokens that a node saves up without asking.
    pub fn free_at_once(&self) -> f64 {
        self.spare * FREE_SHARE / 2.0 / self.nodes
    }

    /// Tokens a second that a node may use without asking.
    pub fn free_rate(&self) -> f64 {
        self.free_at_once() / self.window.as_secs_f64()
    }

    /// The most tokens that a node may be lent before it needs them.
    pub fn most_ahead(&self) -> f64 {
        self.spare * AHEAD_SHARE / self.nodes
    }

    /// What a node of this standing may lend.
    pub fn lent_by(&self, standing: Standing) -> FleetQuota {
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

    /// Nodes of the fleet.
    pub fn nodes(&self) -> f64 {
        self.nodes
    }

    /// What a lender begins with.
    pub fn first_tokens(&self) -> f64 {
        (self.rate * FIRST_TOKENS.as_secs_f64()).min(self.most_saved())
    }

    /// The most that a lender saves up: the burst, and at least one request.
    pub fn most_saved(&self) -> f64 {
        self.burst.max(1.0)
    }
}
