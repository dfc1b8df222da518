//! How many calls may run at the back end at once.
//!
//! The limit moves under the table's ceiling by additive increase and
//! multiplicative decrease. It is driven by what the node sees: the back end's
//! own refusals lower it, completions while it is in use raise it. Health
//! endpoints do not move it.

use std::time::Duration;

use lifthollow_state::Timestamp;

/// The limit after a refusal, relative to the calls in flight at that moment.
const DECREASE: f64 = 0.9;
/// Refusals closer together than this count as one.
const DECREASE_INTERVAL: Duration = Duration::from_millis(50);
/// The limit is raised only while at least this share of it is in use.
const IN_USE: f64 = 0.8;
/// Without a refusal for this long, what an earlier one taught is forgotten.
const MEMORY: Duration = Duration::from_secs(10);

/// An adaptive limit of calls in flight.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// The limit; none before the first refusal: the ceiling applies.
    adapted: Option<f64>,
    /// Below it the limit grows by one with each completion, above it by one
    /// with each round of completions.
    slow_growth_above: f64,
    last_refusal: Timestamp,
}

impl ConcurrencyLimit {
    /// The limit now, at least one so that recovery is noticed.
    pub fn current(&self, ceiling: u32) -> u32 {
        let adapted = self.adapted.map_or(ceiling, |limit| limit as u32);
        adapted.min(ceiling).max(1)
    }

    /// The back end refused a call while `in_flight` others were running.
    pub fn backend_refused(&mut self, now: Timestamp, in_flight: usize) {
        let since = now.saturating_since(self.last_refusal);
        if self.adapted.is_some() && since < DECREASE_INTERVAL {
            return;
        }
        let lowered = (in_flight as f64 * DECREASE).max(1.0);
        self.adapted = Some(self.adapted.map_or(lowered, |limit| limit.min(lowered)));
        self.slow_growth_above = lowered;
        self.last_refusal = now;
    }

    /// The back end completed a call; `in_flight` includes it.
    pub fn completed(&mut self, now: Timestamp, in_flight: usize, ceiling: u32) {
        let Some(limit) = self.adapted else {
            return;
        };
        if limit >= f64::from(ceiling) {
            self.adapted = None;
            return;
        }
        if (in_flight as f64) < limit.floor() * IN_USE {
            return;
        }
        if now.saturating_since(self.last_refusal) > MEMORY {
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
