//! Slots in which calls run, and the short queue before them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Why the back end shed a call before running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedReason {
    /// All slots are taken and the queue is full.
    QueueFull,
    /// The deadline passed while the call waited.
    DeadlinePassed,
}

/// A fixed number of slots.
pub struct Slots {
    permits: Arc<Semaphore>,
    count: usize,
    max_waiting: usize,
    waiting: AtomicUsize,
}

/// Counts a waiting call for as long as it lives.
struct Waiting<'a>(&'a AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Slots {
    /// `count` slots before which `max_waiting` calls may wait.
    pub fn new(count: usize, max_waiting: usize) -> Self {
        Slots {
            permits: Arc::new(Semaphore::new(count)),
            count,
            max_waiting,
            waiting: AtomicUsize::new(0),
        }
    }

    /// Waits for a slot until `deadline`. The slot is free again when the
    /// returned permit is dropped.
    pub async fn take(
        &self,
        deadline: Option<Instant>,
    ) -> Result<OwnedSemaphorePermit, ShedReason> {
        if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
            return Ok(permit);
        }
        let before = self.waiting.fetch_add(1, Ordering::Relaxed);
        let _waiting = Waiting(&self.waiting);
        if before >= self.max_waiting {
            return Err(ShedReason::QueueFull);
        }
        let acquire = Arc::clone(&self.permits).acquire_owned();
        let acquired = match deadline {
            Some(deadline) => tokio::time::timeout_at(deadline, acquire)
                .await
                .map_err(|_| ShedReason::DeadlinePassed)?,
            None => acquire.await,
        };
        acquired.map_err(|_| ShedReason::QueueFull)
    }

    /// Number of slots.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Calls that run now.
    pub fn running(&self) -> usize {
        self.count - self.permits.available_permits().min(self.count)
    }

    /// Calls that wait now.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }
}
