//! Tests that a planned stop refuses new calls and finishes those in progress.

mod support;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use lifthollow_transport::http::{AnyBody, BodyError};
use support::{Pair, backend, call, connect, eventually, full, operators, stop, to_service};

const ROW: &str = "100,10,10,10,normal,no,60000";

/// A body that streams the bytes which the test sends to a channel.
fn fed_body(bytes: flume::Receiver<Bytes>) -> AnyBody {
    let frames = bytes.into_stream();
    let frames = frames.map(|bytes| Ok::<_, BodyError>(Frame::data(bytes)));
    StreamBody::new(frames).boxed_unsync()
}

async fn next_bytes(body: &mut Incoming) -> Bytes {
    let frame = body.frame().await.unwrap().unwrap();
    frame.into_data().unwrap()
}

/// A pair of nodes with one streamed answer in progress, the sender of its bytes, and
/// the body that the caller reads.
async fn streaming_pair() -> (Pair, flume::Sender<Bytes>, Incoming) {
    let (feed, fed) = flume::unbounded();
    let address = backend(move |_: Request<Incoming>| {
        let fed = fed.clone();
        Box::pin(async move { Response::new(fed_body(fed)) })
    })
    .await;
    let pair = Pair::start("audio", ROW, address).await;
    let mut sender = connect(pair.callers()).await;
    let request = to_service("audio", "GET", full(""));
    feed.send(Bytes::from_static(b"first")).unwrap();
    let response = sender.send_request(request).await.unwrap();
    let mut body = response.into_body();
    assert_eq!(next_bytes(&mut body).await, "first");
    (pair, feed, body)
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_server_finishes_its_stream_and_refuses_new_calls_as_not_run() {
    let (pair, feed, mut body) = streaming_pair().await;
    let operators_port = pair.server.addresses().operators;
    let callers = pair.callers();
    let stopping = tokio::spawn(stop(pair.server));
    eventually(async || {
        let answer = call(operators_port, support::get("/leaving")).await;
        let leaving: serde_json::Value = serde_json::from_str(&answer.text).unwrap();
        leaving["leaving"] == true
    })
    .await;
    let refused = call(callers, to_service("audio", "GET", full(""))).await;
    assert_eq!(refused.outcome, "not-run", "{refused:?}");
    assert!(!stopping.is_finished());
    feed.send(Bytes::from_static(b"last")).unwrap();
    drop(feed);
    // The back end's handler holds a receiver, so dropping all senders ends the body;
    // all bytes sent before still arrive.
    assert_eq!(next_bytes(&mut body).await, "last");
    assert!(body.frame().await.is_none());
    assert!(stopping.await.unwrap(), "something was cut");
    stop(pair.entry).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_entry_finishes_its_stream_and_refuses_new_calls_as_not_run() {
    let (pair, feed, mut body) = streaming_pair().await;
    let addresses = pair.entry.addresses();
    let stopping = tokio::spawn(stop(pair.entry));
    eventually(async || {
        let answer = call(addresses.operators, support::get("/leaving")).await;
        let leaving: serde_json::Value = serde_json::from_str(&answer.text).unwrap();
        leaving["leaving"] == true
    })
    .await;
    let refused = call(addresses.callers, to_service("audio", "GET", full(""))).await;
    assert_eq!(refused.outcome, "not-run");
    assert_eq!(refused.reason, "leaving");
    feed.send(Bytes::from_static(b"last")).unwrap();
    drop(feed);
    assert_eq!(next_bytes(&mut body).await, "last");
    assert!(body.frame().await.is_none());
    assert!(stopping.await.unwrap(), "something was cut");
    let leaving = operators(&pair.server, "/leaving").await;
    assert_eq!(leaving["leaving"], false);
    stop(pair.server).await;
}
