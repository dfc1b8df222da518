//! Execution slots of a back end and the bounded queue of calls that wait for one.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Why the back end shed a call before running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedReason {
    /// All execution slots are in use and the queue is full.
    QueueFull,
    /// The call's deadline passed while it waited for a slot.
    DeadlinePassed,
}

/// A fixed number of execution slots with a bounded queue.
pub struct Slots {
    permits: Arc<Semaphore>,
    count: usize,
    max_waiting: usize,
    waiting: AtomicUsize,
}

/// Guard that counts a call as waiting until it is dropped.
struct WaitingGuard<'a>(&'a AtomicUsize);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Slots {
    /// Creates `count` execution slots, for which at most `max_waiting` calls may wait.
    pub fn new(count: usize, max_waiting: usize) -> Self {
        Slots {
            permits: Arc::new(Semaphore::new(count)),
            count,
            max_waiting,
            waiting: AtomicUsize::new(0),
        }
    }

    /// Waits for a free slot until `deadline`. The slot is released when the returned permit is
    /// dropped.
    pub async fn acquire(
        &self,
        deadline: Option<Instant>,
    ) -> Result<OwnedSemaphorePermit, ShedReason> {
        if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
            return Ok(permit);
        }
        let already_waiting = self.waiting.fetch_add(1, Ordering::Relaxed);
        let _waiting_guard = WaitingGuard(&self.waiting);
        if already_waiting >= self.max_waiting {
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

    /// Returns the total number of execution slots.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the number of calls being executed.
    pub fn running(&self) -> usize {
        self.count - self.permits.available_permits().min(self.count)
    }

    /// Returns the number of calls waiting for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }
}
