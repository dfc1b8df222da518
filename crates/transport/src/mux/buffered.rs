//! Counter of the body bytes that a node buffers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counter of body bytes that were received and not yet read, over all connections that share
/// the counter.
#[derive(Clone, Debug, Default)]
pub struct BufferedBytes {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    now: AtomicUsize,
    peak: AtomicUsize,
}

impl BufferedBytes {
    /// Returns the number of bytes that are buffered now.
    pub fn now(&self) -> usize {
        self.counts.now.load(Ordering::Relaxed)
    }

    /// Returns the largest number of bytes that were buffered at any time.
    pub fn peak(&self) -> usize {
        self.counts.peak.load(Ordering::Relaxed)
    }

    pub(super) fn add(&self, bytes: usize) {
        let now = self.counts.now.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.counts.peak.fetch_max(now, Ordering::Relaxed);
    }

    pub(super) fn remove(&self, bytes: usize) {
        self.counts.now.fetch_sub(bytes, Ordering::Relaxed);
    }
}
