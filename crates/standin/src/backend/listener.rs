//! Accepts connections up to a limit and delays each by a setup cost.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::handler::Backend;

/// Connection limit and connection setup cost of a back end.
#[derive(Clone, Copy)]
pub struct ConnectionLimits {
    /// Maximum number of connections served at once; further ones wait in the accept queue.
    pub max_connections: usize,
    /// Delay between accepting a connection and reading its first request.
    pub connection_cost: Duration,
}

/// Accepts connections to `backend` until accepting fails.
pub async fn accept_connections(
    listener: TcpListener,
    limits: ConnectionLimits,
    backend: Arc<Backend>,
) -> anyhow::Result<()> {
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let open = Arc::new(AtomicU64::new(0));
    loop {
        let permit = Arc::clone(&permits).acquire_owned().await?;
        let (stream, _) = listener.accept().await?;
        let backend = Arc::clone(&backend);
        let open = Arc::clone(&open);
        tokio::spawn(async move {
            let now_open = open.fetch_add(1, Ordering::Relaxed) + 1;
            backend.ledger.record_open_connections(now_open);
            tokio::time::sleep(limits.connection_cost).await;
            serve_connection(stream, backend).await;
            open.fetch_sub(1, Ordering::Relaxed);
            drop(permit);
        });
    }
}

/// Serves one connection. If the caller closes it, the call in progress is cancelled.
async fn serve_connection(stream: TcpStream, backend: Arc<Backend>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let backend = Arc::clone(&backend);
        async move { Ok::<_, Infallible>(backend.handle(request).await) }
    });
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
