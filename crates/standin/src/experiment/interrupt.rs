//! Stopping an experiment by signal: waits end early with an error, and every process that
//! was started is stopped when its owner is dropped.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGINT, SIGTERM};

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Knows whether the experiment was told to stop.
#[derive(Clone)]
pub struct Interrupt {
    raised: Arc<AtomicBool>,
}

impl Interrupt {
    /// Notes SIGINT and SIGTERM from now on.
    pub fn on_signals() -> anyhow::Result<Self> {
        let raised = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGINT, Arc::clone(&raised))?;
        signal_hook::flag::register(SIGTERM, Arc::clone(&raised))?;
        Ok(Interrupt { raised })
    }

    /// An error if the experiment was told to stop.
    pub fn check(&self) -> anyhow::Result<()> {
        anyhow::ensure!(!self.raised.load(Ordering::Relaxed), "told to stop");
        Ok(())
    }

    /// Waits for `duration`.
    pub fn sleep(&self, duration: Duration) -> anyhow::Result<()> {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.check()?;
            let left = end.saturating_duration_since(Instant::now());
            std::thread::sleep(left.min(POLL_INTERVAL));
        }
        self.check()
    }

    /// Waits until `condition` holds, at most for `timeout`.
    pub fn wait_until(
        &self,
        what: &str,
        timeout: Duration,
        mut condition: impl FnMut() -> anyhow::Result<bool>,
    ) -> anyhow::Result<()> {
        let end = Instant::now() + timeout;
        while !condition()? {
            anyhow::ensure!(Instant::now() < end, "waited in vain: {what}");
            self.sleep(POLL_INTERVAL)?;
        }
        Ok(())
    }
}
