//! What a node must be told about claims, and the times that safety rests on.

use std::time::Duration;

use lifthollow_protocol::Roster;
use lifthollow_state::{Incarnation, NodeId};

/// Bound on the rate by which a clock differs from true time, in percent. Two
/// clocks that differ by this much in opposite directions, and the rounding of
/// the sum, need three times the bound.
const CLOCK_DRIFT_PERCENT: u32 = 1;
const DRIFT_MARGIN_PERCENT: u32 = 3 * CLOCK_DRIFT_PERCENT;

/// What a node knows about claims from its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// The node.
    pub node: NodeId,
    /// The life of this process.
    pub incarnation: Incarnation,
    /// The replicas of all keys.
    pub roster: Roster,
    /// Two runs of one key start at least this far apart.
    pub lifetime: Duration,
    /// A run starts at most this long after its claim was first sent.
    pub start_window: Duration,
    /// How long the records of a replica that stopped as planned are kept for the
    /// process that replaces it.
    pub handover_validity: Duration,
    /// No process of this roster held claims before: vote at once. Only true for
    /// the very first start of a fleet.
    pub bootstrap: bool,
    /// Seed of the node's random choices.
    pub seed: u64,
}

impl ClaimSettings {
    /// Default of [`ClaimSettings::lifetime`].
    pub const DEFAULT_LIFETIME: Duration = Duration::from_secs(600);
    /// Default of [`ClaimSettings::start_window`].
    pub const DEFAULT_START_WINDOW: Duration = Duration::from_secs(2);

    /// Default of [`ClaimSettings::handover_validity`].
    pub const DEFAULT_HANDOVER_VALIDITY: Duration = Duration::from_secs(15);

    /// Settings with the default times, for a process that may replace another.
    pub fn new(node: NodeId, incarnation: Incarnation, roster: Roster, seed: u64) -> Self {
        ClaimSettings {
            node,
            incarnation,
            roster,
            lifetime: Self::DEFAULT_LIFETIME,
            start_window: Self::DEFAULT_START_WINDOW,
            handover_validity: Self::DEFAULT_HANDOVER_VALIDITY,
            bootstrap: false,
            seed,
        }
    }

    /// How long a replica keeps a record on its own clock: the lifetime and the
    /// start window, stretched so that a fast clock does not cut them short.
    pub fn retention(&self) -> Duration {
        stretch(self.lifetime + self.start_window)
    }

    /// How long a replaced replica waits on its own clock until every claim that
    /// its predecessor voted for has either its majority or no chance of one, and
    /// no handover of an earlier process is valid any more.
    pub fn settle_time(&self) -> Duration {
        stretch(self.start_window.max(self.handover_validity))
    }
}

fn stretch(duration: Duration) -> Duration {
    duration * (100 + DRIFT_MARGIN_PERCENT) / 100
}
