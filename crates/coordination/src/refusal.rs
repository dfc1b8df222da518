//! What a refused caller is told, and when it may come back.
//!
//! Refused callers are told a time that grows with the load and falls with
//! their importance, and that differs from caller to caller, so that they do
//! not all return together.

use std::time::Duration;

use lifthollow_protocol::{AdmissionLevel, RefusalReason};
use lifthollow_state::PriorityClass;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::outbound::CallAnswer;

/// Mean time told to callers of each class while the load is light.
const CRITICAL_BASE: Duration = Duration::from_millis(500);
const NORMAL_BASE: Duration = Duration::from_secs(1);
const SHEDDABLE_BASE: Duration = Duration::from_secs(2);
/// How many times longer callers are told to stay away when everything but the
/// most important is refused.
const FULL_LOAD_FACTOR: f64 = 3.0;
/// The time is spread between these multiples of its mean.
const SPREAD: std::ops::Range<f64> = 0.5..1.5;
/// Admission levels there are.
const LEVELS: f64 = 384.0;

/// Draws the times, from a seed.
#[derive(Debug)]
pub struct RetryAfter {
    random: ChaCha8Rng,
}

impl RetryAfter {
    /// Draws from `seed`.
    pub fn from_seed(seed: u64) -> Self {
        RetryAfter {
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The time for a caller of `class` refused by a server that admits `level`
    /// and above.
    pub fn draw(&mut self, class: PriorityClass, level: AdmissionLevel) -> Duration {
        let load = f64::from(level.0) / LEVELS;
        let factor = 1.0 + (FULL_LOAD_FACTOR - 1.0) * load;
        base(class).mul_f64(factor * self.random.random_range(SPREAD))
    }
}

/// Why a call gets no complete answer.
#[derive(Clone, Copy, Debug)]
pub struct GivenUp {
    /// The reason told to the caller.
    pub reason: RefusalReason,
    /// When the server that refused wants to be asked again.
    pub retry_after: Duration,
}

impl GivenUp {
    /// The caller's final answer; it may come back after the later of the time
    /// `drawn` and the one that the server named.
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

impl From<RefusalReason> for GivenUp {
    fn from(reason: RefusalReason) -> Self {
        GivenUp {
            reason,
            retry_after: Duration::ZERO,
        }
    }
}

fn base(class: PriorityClass) -> Duration {
    match class {
        PriorityClass::Critical => CRITICAL_BASE,
        PriorityClass::Normal => NORMAL_BASE,
        PriorityClass::Sheddable => SHEDDABLE_BASE,
    }
}
