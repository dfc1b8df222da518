//! Running estimate of a latency.

use std::time::Duration;

use lifthollow_state::Timestamp;

/// Weight of a new sample in the moving average of the mean.
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// Weight of a new sample in the moving average of the deviation.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// Number of mean deviations above the mean that almost every sample stays under.
const HIGH_DEVIATIONS: f64 = 4.0;
/// Interval after which the estimate is halved while there are no samples. Without
/// this, a node that refuses every call because of a slow period would never notice
/// that the period has ended.
const IDLE_HALF_LIFE: Duration = Duration::from_millis(500);

/// Exponentially weighted mean and mean deviation of a duration, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimate {
    mean: f64,
    deviation: f64,
    samples: u64,
    updated: Timestamp,
}

impl LatencyEstimate {
    /// Adds one sample to the estimate.
    pub fn observe(&mut self, now: Timestamp, sample: Duration) {
        let sample = sample.as_secs_f64();
        if self.samples == 0 {
            self.mean = sample;
            self.deviation = sample / 2.0;
        } else {
            let error = sample - self.mean;
            self.mean += error * MEAN_GAIN;
            self.deviation += (error.abs() - self.deviation) * DEVIATION_GAIN;
        }
        self.samples += 1;
        self.updated = now;
    }

    /// Adds a lower bound of a duration that was not measured to its end: it counts
    /// as a sample only if it is longer than the mean of earlier samples.
    pub fn observe_lower_bound(&mut self, now: Timestamp, elapsed: Duration) {
        if self.samples > 0 && elapsed.as_secs_f64() > self.mean {
            self.observe(now, elapsed);
        }
    }

    /// Whether there were any samples.
    pub fn has_samples(&self) -> bool {
        self.samples > 0
    }

    /// The mean of recent samples; zero if there were none.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// The mean of recent samples, halved for every half-life that has passed without
    /// a sample.
    pub fn decayed_mean(&self, now: Timestamp) -> Duration {
        let idle = now.saturating_since(self.updated).as_secs_f64();
        let half_lives = (idle / IDLE_HALF_LIFE.as_secs_f64()).floor();
        Duration::from_secs_f64(self.mean * 0.5_f64.powf(half_lives))
    }

    /// A duration that almost every sample stays under.
    pub fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean + HIGH_DEVIATIONS * self.deviation)
    }
}
