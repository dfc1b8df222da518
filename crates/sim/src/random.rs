//! Seeded random choices, one stream for each purpose, so that adding a draw
//! in one place does not shift the draws of another.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Gamma, LogNormal};

/// Coefficient of variation of service times.
const SERVICE_TIME_VARIATION: f64 = 0.35;
/// Coefficient of variation of streaming times.
const STREAM_TIME_VARIATION: f64 = 0.5;
/// Shape of the gamma distribution of times between arrivals of one kind. At 16
/// the coefficient of variation is 0.25: many clients, whose schedulers spread
/// their requests.
const ARRIVAL_SHAPE: f64 = 16.0;
/// Share of a link's mean delay that varies.
const DELAY_JITTER: f64 = 0.2;

/// One stream of random numbers.
pub struct RandomStream {
    generator: ChaCha8Rng,
}

impl RandomStream {
    /// The stream of a purpose under the seed of a run.
    pub fn new(seed: u64, purpose: u64) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        generator.set_stream(purpose);
        RandomStream { generator }
    }

    /// A service time of the given mean.
    pub fn service_time(&mut self, mean: Duration) -> Duration {
        self.log_normal(mean, SERVICE_TIME_VARIATION)
    }

    /// A streaming time of the given mean.
    pub fn stream_time(&mut self, mean: Duration) -> Duration {
        self.log_normal(mean, STREAM_TIME_VARIATION)
    }

    /// Time between two arrivals at a mean rate.
    pub fn arrival_interval(&mut self, per_second: f64) -> Duration {
        let mean = 1.0 / per_second;
        let interval = Gamma::new(ARRIVAL_SHAPE, mean / ARRIVAL_SHAPE)
            .map_or(mean, |gamma| gamma.sample(&mut self.generator));
        Duration::from_secs_f64(interval)
    }

    /// A link's delay: a fixed part and an exponentially distributed one.
    pub fn delay(&mut self, mean: Duration) -> Duration {
        let variable: f64 = Exp1.sample(&mut self.generator);
        mean.mul_f64(1.0 - DELAY_JITTER + DELAY_JITTER * variable)
    }

    /// A duration between half of `mean` and one and a half of it.
    pub fn around(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(0.5 + self.generator.random::<f64>())
    }

    /// Whether an event of probability `probability` happens.
    pub fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.generator.random::<f64>() < probability
    }

    /// A place in a list of `length` items.
    pub fn index(&mut self, length: usize) -> usize {
        self.generator.random_range(0..length)
    }

    /// A seed for something that draws its own numbers.
    pub fn seed(&mut self) -> u64 {
        self.generator.next_u64()
    }

    fn log_normal(&mut self, mean: Duration, variation: f64) -> Duration {
        if mean.is_zero() {
            return Duration::ZERO;
        }
        let seconds = LogNormal::from_mean_cv(mean.as_secs_f64(), variation)
            .map_or(mean.as_secs_f64(), |distribution| {
                distribution.sample(&mut self.generator)
            });
        Duration::from_secs_f64(seconds)
    }
}
