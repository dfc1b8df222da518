//! The final answer to a refused caller, and how long the caller should wait before
//! it calls again.
//!
//! That time grows with the load, is shorter for more important classes, and is
//! randomized, so that refused callers do not all call again at the same time.

use std::time::Duration;

use lifthollow_protocol::{AdmissionLevel, RefusalReason};
use lifthollow_state::PriorityClass;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::outbound::CallAnswer;

/// Mean waiting time of refused critical callers while the load is light.
const CRITICAL_MEAN_DELAY: Duration = Duration::from_millis(500);
/// Mean waiting time of refused normal callers while the load is light.
const NORMAL_MEAN_DELAY: Duration = Duration::from_secs(1);
/// Mean waiting time of refused sheddable callers while the load is light.
const SHEDDABLE_MEAN_DELAY: Duration = Duration::from_secs(2);
/// Factor on the waiting time when all but the highest priority is refused.
const FULL_LOAD_FACTOR: f64 = 3.0;
/// Range of multiples of the mean between which the waiting time is drawn.
const DELAY_SPREAD: std::ops::Range<f64> = 0.5..1.5;
/// Number of admission levels: 3 classes of 128 user priorities.
const LEVEL_COUNT: f64 = 384.0;

/// Generator of the waiting times for refused callers.
#[derive(Debug)]
pub struct RetryAfterGenerator {
    random: ChaCha8Rng,
}

impl RetryAfterGenerator {
    /// Creates a generator whose random choices are determined by `seed`.
    pub fn from_seed(seed: u64) -> Self {
        RetryAfterGenerator {
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Draws the waiting time for a caller of `class` refused by a server that admits
    /// `level` and above.
    pub fn draw(&mut self, class: PriorityClass, level: AdmissionLevel) -> Duration {
        let load = f64::from(level.0) / LEVEL_COUNT;
        let factor = 1.0 + (FULL_LOAD_FACTOR - 1.0) * load;
        mean_delay(class).mul_f64(factor * self.random.random_range(DELAY_SPREAD))
    }
}

/// Reason why a call gets no complete answer.
#[derive(Clone, Copy, Debug)]
pub struct CallFailure {
    /// The reason sent to the caller.
    pub reason: RefusalReason,
    /// Time for which the server that refused the call asks callers to wait; zero if
    /// it gave none.
    pub retry_after: Duration,
}

impl CallFailure {
    /// The final answer to the caller. Its waiting time is the longer of `drawn` and
    /// the time that the server named.
    pub fn answer(self, may_have_run: bool, drawn: Duration) -> CallAnswer {
        let reason = self.reason;
        let retry_after = drawn.max(self.retry_after);
        if may_have_run {
            CallAnswer::Unknown {
                reason,
                retry_after,
            }
        } else {
            CallAnswer::NotRun {
                reason,
                retry_after,
            }
        }
    }
}

impl From<RefusalReason> for CallFailure {
    fn from(reason: RefusalReason) -> Self {
        CallFailure {
            reason,
            retry_after: Duration::ZERO,
        }
    }
}

/// Mean waiting time of a refused caller of `class` while the load is light.
fn mean_delay(class: PriorityClass) -> Duration {
    match class {
        PriorityClass::Critical => CRITICAL_MEAN_DELAY,
        PriorityClass::Normal => NORMAL_MEAN_DELAY,
        PriorityClass::Sheddable => SHEDDABLE_MEAN_DELAY,
    }
}
