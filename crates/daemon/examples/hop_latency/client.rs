//! The load generator: calls at a constant rate over persistent connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::new_histogram;
use crate::surroundings::SERVICE;

/// The address to which calls are sent, and whether it belongs to a node.
pub struct Target {
    address: SocketAddr,
    through_nodes: bool,
}

impl Target {
    /// Calls that are sent directly to the back end.
    pub fn direct(address: SocketAddr) -> Self {
        Target {
            address,
            through_nodes: false,
        }
    }

    /// Calls that are sent to a node's port for callers.
    pub fn through_nodes(address: SocketAddr) -> Self {
        Target {
            address,
            through_nodes: true,
        }
    }
}

/// The load of one measurement: calls a second, duration, connections and body size.
pub struct Load {
    pub rate: u32,
    pub seconds: Duration,
    pub connections: usize,
    pub body_bytes: usize,
}

/// Makes the calls and returns their latencies in nanoseconds. The rate does not
/// depend on how long answers take, as long as a connection is free.
pub async fn run_load(target: &Target, load: &Load) -> Result<Histogram<u64>> {
    let (ticks, due) = flume::unbounded::<()>();
    let mut workers = JoinSet::new();
    for _ in 0..load.connections {
        let connection = connect(target.address).await?;
        let through_nodes = target.through_nodes;
        let body = Bytes::from(vec![b'x'; load.body_bytes]);
        workers.spawn(work(connection, through_nodes, body, due.clone()));
    }
    drop(due);
    let (rate, seconds) = (load.rate, load.seconds);
    let pacer = std::thread::spawn(move || pace(rate, seconds, &ticks));
    let mut latencies = new_histogram()?;
    while let Some(worked) = workers.join_next().await {
        latencies.add(worked??)?;
    }
    pacer.join().expect("the pacer does not panic");
    Ok(latencies)
}

fn pace(rate: u32, seconds: Duration, ticks: &flume::Sender<()>) {
    let interval = Duration::from_secs(1) / rate;
    let calls = seconds.as_secs() as u32 * rate;
    let start = Instant::now();
    for number in 0..calls {
        let due = start + interval * number;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if ticks.send(()).is_err() {
            return;
        }
    }
}

async fn work(
    mut connection: SendRequest<Full<Bytes>>,
    through_nodes: bool,
    body: Bytes,
    due: flume::Receiver<()>,
) -> Result<Histogram<u64>> {
    let mut latencies = new_histogram()?;
    while due.recv_async().await.is_ok() {
        let request = request(through_nodes, body.clone())?;
        let start = Instant::now();
        let response = connection.send_request(request).await?;
        ensure!(response.status().is_success(), "{response:?}");
        let received = response.into_body().collect().await?.to_bytes();
        latencies.record(start.elapsed().as_nanos() as u64)?;
        ensure!(
            received.len() == body.len(),
            "the answer's length differs from that of the request body"
        );
    }
    Ok(latencies)
}

fn request(through_nodes: bool, body: Bytes) -> Result<Request<Full<Bytes>>> {
    let mut request = Request::post("/echo").header("host", "bench");
    if through_nodes {
        request = request.header("lifthollow-service", SERVICE);
    }
    Ok(request.body(Full::new(body))?)
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>> {
    let socket = TcpStream::connect(address)
        .await
        .context("failed to connect")?;
    socket.set_nodelay(true)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(socket));
    let (sender, connection) = handshake.await?;
    tokio::spawn(connection);
    Ok(sender)
}
