//! How many calls and attempts are in progress, for the planned stop.

use tokio::sync::watch;

/// A count that can be waited for to become zero.
#[derive(Clone, Debug, Default)]
pub struct InProgress {
    count: watch::Sender<usize>,
}

/// Counts as one in progress until it is dropped.
#[derive(Debug)]
pub struct InProgressGuard {
    count: watch::Sender<usize>,
}

impl InProgress {
    /// Counts one more.
    pub fn enter(&self) -> InProgressGuard {
        self.count.send_modify(|count| *count += 1);
        InProgressGuard {
            count: self.count.clone(),
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until there are none.
    pub async fn none(&self) {
        let mut count = self.count.subscribe();
        // The sender lives as long as `self`.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
