//! Accepts connections up to a limit, each at a cost.

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

/// Limits on connections.
#[derive(Clone, Copy)]
pub struct ConnectionLimits {
    /// Connections served at once; further ones wait in the accept queue.
    pub max_connections: usize,
    /// Time that a new connection takes before its first request is read.
    pub connection_cost: Duration,
}

/// Accepts connections for ever.
pub async fn accept_all(
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
            backend.ledger.connections(now_open);
            tokio::time::sleep(limits.connection_cost).await;
            serve(stream, backend).await;
            open.fetch_sub(1, Ordering::Relaxed);
            drop(permit);
        });
    }
}

/// Serves one connection; a caller that closes it cancels its call.
async fn serve(stream: TcpStream, backend: Arc<Backend>) {
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
