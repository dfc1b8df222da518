//! Seeded service times.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

/// Draws service times, and whether a run fails.
pub struct ServiceTimes {
    distribution: LogNormal<f64>,
    generator: Mutex<ChaCha8Rng>,
}

impl ServiceTimes {
    /// Log-normal times with the given mean and shape.
    pub fn new(mean_ms: f64, sigma: f64, seed: u64) -> anyhow::Result<Self> {
        anyhow::ensure!(mean_ms > 0.0, "the mean service time must be positive");
        let location = mean_ms.ln() - sigma * sigma / 2.0;
        let distribution = LogNormal::new(location, sigma)
            .map_err(|error| anyhow::anyhow!("bad service time: {error}"))?;
        Ok(ServiceTimes {
            distribution,
            generator: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        })
    }

    /// The next service time.
    pub fn sample(&self) -> Duration {
        let mut generator = self.lock();
        Duration::from_secs_f64(self.distribution.sample(&mut *generator) / 1e3)
    }

    /// True with the given probability.
    pub fn happens(&self, probability: f64) -> bool {
        probability > 0.0 && self.lock().random_bool(probability.min(1.0))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ChaCha8Rng> {
        self.generator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
