//! Tests that a call is cancelled at the back end when its caller closes the
//! connection.

mod support;

use std::net::SocketAddr;

use support::{Pair, backend};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const ROW: &str = "100,10,10,10,normal,yes,60000";
const REQUEST: &[u8] = b"GET /slow HTTP/1.1\r\nhost: test\r\nlifthollow-service: feeds\r\n\r\n";

#[derive(Debug, PartialEq)]
enum Seen {
    Started,
    Cancelled,
}

/// Reports that the future which holds it was dropped.
struct DropReport(flume::Sender<Seen>);

impl Drop for DropReport {
    fn drop(&mut self) {
        let _ = self.0.send(Seen::Cancelled);
    }
}

/// A back end that never answers and reports when its call is cancelled.
async fn silent_backend() -> (SocketAddr, flume::Receiver<Seen>) {
    let (sender, seen) = flume::unbounded();
    let address = backend(move |_request| {
        let report = DropReport(sender.clone());
        Box::pin(async move {
            report.0.send(Seen::Started).unwrap();
            std::future::pending().await
        })
    })
    .await;
    (address, seen)
}

async fn assert_call_is_cancelled_by(disconnect: impl AsyncFnOnce(TcpStream)) {
    let (address, seen) = silent_backend().await;
    let pair = Pair::start("feeds", ROW, address).await;
    let mut caller = TcpStream::connect(pair.callers()).await.unwrap();
    caller.write_all(REQUEST).await.unwrap();
    assert_eq!(seen.recv_async().await.unwrap(), Seen::Started);
    disconnect(caller).await;
    assert_eq!(seen.recv_async().await.unwrap(), Seen::Cancelled);
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn closed_connection_of_the_caller_cancels_the_call_at_the_back_end() {
    assert_call_is_cancelled_by(async |caller| drop(caller)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn half_closed_connection_of_the_caller_cancels_the_call() {
    let (sender, kept) = flume::bounded(1);
    assert_call_is_cancelled_by(async |mut caller| {
        caller.shutdown().await.unwrap();
        sender.send(caller).unwrap();
    })
    .await;
    drop(kept);
}
