//! A running estimate of the share of answers that a server loses.

use std::time::Duration;

use lifthollow_state::Timestamp;

/// Weight of a new sample in the exponential moving average.
const GAIN: f64 = 0.1;
/// Time in which the estimate halves while there are no new samples.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// The recent share of answers that were lost, corrupted or failures, from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossEstimate {
    share: f64,
    updated: Timestamp,
}

impl LossEstimate {
    /// Adds one sample: an answer, or a lost one if `is_lost`.
    pub fn observe(&mut self, now: Timestamp, is_lost: bool) {
        let sample = f64::from(u8::from(is_lost));
        let share = self.at(now);
        self.set(now, share + (sample - share) * GAIN);
    }

    /// Replaces the estimate by the share that another node reported.
    pub fn set(&mut self, now: Timestamp, share: f64) {
        self.share = share.clamp(0.0, 1.0);
        self.updated = now;
    }

    /// The share at `now`: that of the last update, decayed by `HALF_LIFE`.
    pub fn at(&self, now: Timestamp) -> f64 {
        if self.share == 0.0 {
            return 0.0;
        }
        let age = now.saturating_since(self.updated).as_secs_f64();
        self.share * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
