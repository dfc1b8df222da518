//! Service times and failures drawn from a seeded random generator.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

/// Draws service times, and whether an injected fault affects a call.
pub struct ServiceTimes {
    distribution: LogNormal<f64>,
    generator: Mutex<ChaCha8Rng>,
}

impl ServiceTimes {
    /// Creates a log-normal distribution of service times with the mean `mean_ms` in milliseconds
    /// and the shape parameter `sigma`.
    pub fn new(mean_ms: f64, sigma: f64, seed: u64) -> anyhow::Result<Self> {
        anyhow::ensure!(mean_ms > 0.0, "the mean service time must be positive");
        let location = mean_ms.ln() - sigma * sigma / 2.0;
        let distribution = LogNormal::new(location, sigma)
            .map_err(|error| anyhow::anyhow!("invalid service time distribution: {error}"))?;
        Ok(ServiceTimes {
            distribution,
            generator: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        })
    }

    /// Draws the service time of the next call.
    pub fn sample(&self) -> Duration {
        let mut generator = self.lock();
        Duration::from_secs_f64(self.distribution.sample(&mut *generator) / 1e3)
    }

    /// Returns true with the given probability; values above 1 count as 1.
    pub fn sample_bool(&self, probability: f64) -> bool {
        probability > 0.0 && self.lock().random_bool(probability.min(1.0))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ChaCha8Rng> {
        self.generator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
