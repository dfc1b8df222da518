//! Counts the calls and attempts in progress; the planned stop waits for zero.

use tokio::sync::watch;

/// The number of calls and attempts in progress, which a task can await to be zero.
#[derive(Clone, Debug, Default)]
pub struct InProgress {
    count: watch::Sender<usize>,
}

/// Counts one call or attempt as in progress until it is dropped.
#[derive(Debug)]
pub struct InProgressGuard {
    count: watch::Sender<usize>,
}

impl InProgress {
    /// Counts one more call or attempt until the guard is dropped.
    pub fn enter(&self) -> InProgressGuard {
        self.count.send_modify(|count| *count += 1);
        InProgressGuard {
            count: self.count.clone(),
        }
    }

    /// The number of calls and attempts in progress.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no calls or attempts are in progress.
    pub async fn wait_until_zero(&self) {
        let mut count = self.count.subscribe();
        // This can't fail, because the sender lives as long as `self`.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
