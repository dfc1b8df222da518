//! Connections to one back end: the idle ones and the number of open ones.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::client::conn::http1::SendRequest;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::http::AnyBody;

/// Maximum idle time of a connection, after which it is closed, before the back end closes it.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Idle connections to one back end and the number of all open ones.
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

/// A connection that is in use or idle in the pool. Dropping it closes the connection.
pub(super) struct Connection {
    pub(super) sender: SendRequest<AnyBody>,
    driver: JoinHandle<()>,
}

/// A reservation for one open connection, held for as long as its socket is open.
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
    /// Returns the number of open connections, idle or in use.
    pub(super) fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Takes an idle connection that is not known to be closed; none if there is none.
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

    /// Returns a connection to the pool after its exchange is complete.
    pub(super) fn put_idle(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        self.lock().push(IdleConnection { connection, since });
        self.freed.notify_one();
    }

    /// Reserves one more connection; none if `ceiling` connections are open already.
    pub(super) fn reserve(self: &Arc<Self>, ceiling: usize) -> Option<Slot> {
        let increment_below_ceiling = |open: usize| (open < ceiling).then_some(open + 1);
        self.open
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, increment_below_ceiling)
            .is_ok()
            .then(|| Slot(self.clone()))
    }

    /// Waits until a connection is closed or becomes idle.
    pub(super) async fn freed(&self) {
        self.freed.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
