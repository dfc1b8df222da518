//! One connection to a back end, and the count of those that are open.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::client::conn::http1::SendRequest;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::http::AnyBody;

/// A connection unused this long is closed, before the back end does it.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// The connections to one back end.
#[derive(Default)]
pub(super) struct Connections {
    idle: Mutex<Vec<IdleConnection>>,
    open: AtomicUsize,
    freed: Notify,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// A connection that is in use, or idle in the pool. Dropping it closes it.
pub(super) struct Connection {
    pub(super) sender: SendRequest<AnyBody>,
    driver: JoinHandle<()>,
}

/// The right to one connection, held for as long as its socket is open.
pub(super) struct Slot(Arc<Connections>);

impl Connection {
    pub(super) fn new(sender: SendRequest<AnyBody>, driver: JoinHandle<()>) -> Self {
        Connection { sender, driver }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
        self.0.freed.notify_one();
    }
}

impl Connections {
    /// Connections that are open, idle or in use.
    pub(super) fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// A connection that was still open when last heard of.
    pub(super) fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock();
        while let Some(candidate) = idle.pop() {
            let open = !candidate.connection.sender.is_closed();
            if open && candidate.since.elapsed() < MAX_IDLE {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last exchange is complete.
    pub(super) fn put_idle(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        self.lock().push(IdleConnection { connection, since });
        self.freed.notify_one();
    }

    /// The right to one more connection, if `ceiling` allows it.
    pub(super) fn reserve(self: &Arc<Self>, ceiling: usize) -> Option<Slot> {
        let below = |open: usize| (open < ceiling).then_some(open + 1);
        self.open
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, below)
            .is_ok()
            .then(|| Slot(self.clone()))
    }

    /// Waits until a connection was closed or became idle.
    pub(super) async fn freed(&self) {
        self.freed.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
