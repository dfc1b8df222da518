//! Adaptive limit of the calls that may run on the back end at once.
//!
//! The limit changes below the table's ceiling by additive increase and
//! multiplicative decrease. It depends on what the node observes: refusals by the
//! back end lower it, and completions while most of the limit is in use raise it.
//! Health endpoints do not change it.

use std::time::Duration;

use lifthollow_state::Timestamp;

/// The limit after a refusal, relative to the number of calls in flight at that
/// moment.
const DECREASE: f64 = 0.9;
/// Refusals within this time after the one that lowered the limit do not lower it
/// again.
const DECREASE_INTERVAL: Duration = Duration::from_millis(50);
/// The limit is raised only while at least this share of it is in use by running
/// calls.
const MIN_UTILIZATION_TO_GROW: f64 = 0.8;
/// After this long without a refusal, the limit grows quickly again up to the
/// ceiling.
const FAST_GROWTH_AFTER: Duration = Duration::from_secs(10);

/// Adaptive limit of the calls in flight on one back end.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// The adapted limit, in calls; none while only the ceiling applies, as before
    /// the first refusal.
    adapted: Option<f64>,
    /// A limit, in calls: below it the adapted limit grows by one with each
    /// completion, above it by one with each `limit` completions.
    slow_growth_above: f64,
    last_refusal: Timestamp,
}

impl ConcurrencyLimit {
    /// The current limit under `ceiling`, in calls. It is at least one, so that the
    /// back end's recovery is noticed.
    pub fn current(&self, ceiling: u32) -> u32 {
        let adapted = self.adapted.map_or(ceiling, |limit| limit as u32);
        adapted.min(ceiling).max(1)
    }

    /// Records that the back end refused a call while `in_flight` others were
    /// running.
    pub fn record_refusal(&mut self, now: Timestamp, in_flight: usize) {
        let since = now.saturating_since(self.last_refusal);
        if self.adapted.is_some() && since < DECREASE_INTERVAL {
            return;
        }
        let lowered = (in_flight as f64 * DECREASE).max(1.0);
        self.adapted = Some(self.adapted.map_or(lowered, |limit| limit.min(lowered)));
        self.slow_growth_above = lowered;
        self.last_refusal = now;
    }

    /// Records that the back end completed a call; `in_flight` includes that call.
    pub fn record_completion(&mut self, now: Timestamp, in_flight: usize, ceiling: u32) {
        let Some(limit) = self.adapted else {
            return;
        };
        if limit >= f64::from(ceiling) {
            self.adapted = None;
            return;
        }
        if (in_flight as f64) < limit.floor() * MIN_UTILIZATION_TO_GROW {
            return;
        }
        if now.saturating_since(self.last_refusal) > FAST_GROWTH_AFTER {
            self.slow_growth_above = f64::from(ceiling);
        }
        let step = if limit < self.slow_growth_above {
            1.0
        } else {
            1.0 / limit
        };
        self.adapted = Some(limit + step);
    }
}
