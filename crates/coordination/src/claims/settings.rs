//! Settings of the claims of a node, and the durations that at-most-once execution
//! depends on.

use std::time::Duration;

use lifthollow_protocol::Roster;
use lifthollow_state::{Incarnation, NodeId};

/// Upper bound of the rate by which a clock may differ from true time, in percent. Two
/// clocks that differ by this much in opposite directions, and the rounding of the sum,
/// need three times the bound.
const CLOCK_DRIFT_PERCENT: u32 = 1;
const DRIFT_MARGIN_PERCENT: u32 = 3 * CLOCK_DRIFT_PERCENT;

/// Settings of the claims of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// The node that the settings are for.
    pub node: NodeId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The roster, whose members are the replicas of all keys.
    pub roster: Roster,
    /// Minimum time between the starts of two runs with the same key.
    pub lifetime: Duration,
    /// Maximum time from the first sending of a claim to the start of its run.
    pub start_window: Duration,
    /// Time for which the records of a replica that stopped as planned are kept for
    /// the process that replaces it.
    pub handover_validity: Duration,
    /// Whether this replica votes immediately, because no process of this roster held
    /// claims before. Must only be true for the very first start of a fleet.
    pub bootstrap: bool,
    /// Seed of the random generator of this node's claims.
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

    /// Time for which a replica keeps a record by its own clock: the lifetime and the start
    /// window, extended so that a fast clock does not shorten them.
    pub fn retention(&self) -> Duration {
        extend_for_drift(self.lifetime + self.start_window)
    }

    /// Time for which a replaced replica waits by its own clock before it reads the
    /// claims of other members. After that time, every claim that its predecessor voted for either
    /// has its majority or can no longer reach one, and no handover of an earlier process
    /// is valid.
    pub fn predecessor_vote_expiry(&self) -> Duration {
        extend_for_drift(self.start_window.max(self.handover_validity))
    }
}

fn extend_for_drift(duration: Duration) -> Duration {
    duration * (100 + DRIFT_MARGIN_PERCENT) / 100
}
