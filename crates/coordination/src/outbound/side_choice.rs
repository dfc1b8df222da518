//! Choice of the side for the next call, by the table's weights.
//!
//! This is a smooth weighted round robin: after any number of calls each side has
//! received its share to within one call, and the sides alternate as evenly as the
//! weights allow. The credits are kept when the weights change, so that a small
//! change of a weight causes no burst to one side.

use lifthollow_state::Side;

/// Weights of the two sides of a service; a side's share of the calls is its weight
/// divided by their sum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SideWeights {
    /// Weight of the old side.
    pub old: u32,
    /// Weight of the new side.
    pub new: u32,
}

impl SideWeights {
    /// The weight of `side`.
    pub fn of(self, side: Side) -> u32 {
        match side {
            Side::Old => self.old,
            Side::New => self.new,
        }
    }

    /// The sum of both weights.
    pub fn total(self) -> u64 {
        u64::from(self.old) + u64::from(self.new)
    }
}

/// Chooses the side of each call to one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct SideChoice {
    /// Credit of the old side, in calls; the credit of the new side is its
    /// negative.
    owed_to_old: f64,
}

impl SideChoice {
    /// Creates a choice whose old side starts with a credit of `phase` calls, from
    /// -0.5 to 0.5, so that nodes started together do not all begin with the same
    /// side.
    pub fn with_phase(phase: f64) -> Self {
        SideChoice { owed_to_old: phase }
    }

    /// Chooses the side for the next call; none if both weights are 0.
    pub fn next(&mut self, weights: SideWeights) -> Option<Side> {
        if weights.total() == 0 {
            return None;
        }
        let share_of_old = f64::from(weights.old) / weights.total() as f64;
        let side = if weights.new == 0 {
            Side::Old
        } else if weights.old == 0 {
            Side::New
        } else {
            self.side_owed_more(share_of_old)
        };
        let given_to_old = if side == Side::Old { 1.0 } else { 0.0 };
        let owed = self.owed_to_old + share_of_old - given_to_old;
        self.owed_to_old = owed.clamp(-1.0, 1.0);
        Some(side)
    }

    fn side_owed_more(&self, share_of_old: f64) -> Side {
        let owed_to_old = self.owed_to_old + share_of_old;
        let owed_to_new = 1.0 - owed_to_old;
        if owed_to_old >= owed_to_new {
            Side::Old
        } else {
            Side::New
        }
    }
}
