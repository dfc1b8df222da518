//! Tests of many streams on one connection: order, flow control and cancellation.

mod support;

use bytes::Bytes;
use lifthollow_protocol::frame::STREAM_WINDOW_BYTES;
use lifthollow_transport::mux::{BodyReceiver, BodySender, IncomingAttempt, OpenedAttempt};
use support::{Server, complete, eventually, open};

const CHUNK: Bytes = Bytes::from_static(&[7; 64 * 1024]);
const LARGE_BODY_BYTES: usize = 100 * 1024 * 1024;

async fn send_body(mut sender: BodySender, total: usize) {
    let mut left = total;
    while left > 0 {
        let piece = CHUNK.slice(..left.min(CHUNK.len()));
        left -= piece.len();
        sender.send(piece).await.unwrap();
    }
    sender.finish();
}

async fn count_body_bytes(mut body: BodyReceiver) -> usize {
    let mut total = 0;
    while let Some(bytes) = body.next().await {
        total += bytes.unwrap().len();
    }
    total
}

async fn read_body_text(mut body: BodyReceiver) -> String {
    let mut bytes = Vec::new();
    while let Some(next) = body.next().await {
        bytes.extend_from_slice(&next.unwrap());
    }
    String::from_utf8(bytes).unwrap()
}

async fn answer_with_path(attempt: IncomingAttempt) {
    let mut body = attempt.answer.send_head(complete());
    let path = Bytes::from(attempt.open.path.clone());
    body.send(path).await.unwrap();
    body.finish();
}

#[tokio::test]
async fn answers_in_any_order_reach_their_own_callers_complete() {
    const STREAMS: usize = 50;
    let server = Server::start().await;
    let (connection, _) = server.connect().await;
    let mut waiting = Vec::new();
    for number in 0..STREAMS {
        let opened = connection.open(open(&format!("/{number}"), true)).unwrap();
        waiting.push((number, opened.answer));
    }
    let mut attempts = Vec::new();
    for _ in 0..STREAMS {
        attempts.push(server.next().await);
    }
    for attempt in attempts.into_iter().rev() {
        answer_with_path(attempt).await;
    }
    for (number, mut answer) in waiting {
        answer.head().await.unwrap();
        assert_eq!(
            read_body_text(answer.into_body()).await,
            format!("/{number}")
        );
    }
}

#[tokio::test]
async fn concurrent_large_bodies_are_buffered_in_bounded_memory() {
    let server = Server::start().await;
    let (connection, client_buffered) = server.connect().await;
    let OpenedAttempt { body, mut answer } = connection.open(open("/", false)).unwrap();
    let upload = tokio::spawn(send_body(body.unwrap(), LARGE_BODY_BYTES));
    let attempt = server.next().await;
    let download = tokio::spawn(send_body(
        attempt.answer.send_head(complete()),
        LARGE_BODY_BYTES,
    ));
    let received = tokio::spawn(count_body_bytes(attempt.body));
    answer.head().await.unwrap();
    // The end of the answer ends the stream, so the upload must be complete before it is read.
    let mut answer_body = answer.into_body();
    let first = answer_body.next().await.unwrap().unwrap().len();
    assert_eq!(received.await.unwrap(), LARGE_BODY_BYTES);
    upload.await.unwrap();
    assert_eq!(
        first + count_body_bytes(answer_body).await,
        LARGE_BODY_BYTES
    );
    download.await.unwrap();
    assert!(server.buffered.peak() <= STREAM_WINDOW_BYTES);
    assert!(client_buffered.peak() <= STREAM_WINDOW_BYTES);
}

#[tokio::test]
async fn slow_reader_delays_its_own_stream_only() {
    let server = Server::start().await;
    let (connection, buffered) = server.connect().await;
    let mut slow = connection.open(open("/slow", true)).unwrap().answer;
    let attempt = server.next().await;
    let slow_sender = tokio::spawn(send_body(
        attempt.answer.send_head(complete()),
        LARGE_BODY_BYTES,
    ));
    slow.head().await.unwrap();
    eventually(|| buffered.now() == STREAM_WINDOW_BYTES).await;

    let mut fast = connection.open(open("/fast", true)).unwrap().answer;
    let attempt = server.next().await;
    let fast_sender = tokio::spawn(send_body(
        attempt.answer.send_head(complete()),
        LARGE_BODY_BYTES,
    ));
    fast.head().await.unwrap();
    assert_eq!(count_body_bytes(fast.into_body()).await, LARGE_BODY_BYTES);
    fast_sender.await.unwrap();
    assert!(buffered.peak() <= 2 * STREAM_WINDOW_BYTES);

    assert!(!slow_sender.is_finished());
    assert_eq!(count_body_bytes(slow.into_body()).await, LARGE_BODY_BYTES);
    slow_sender.await.unwrap();
    assert_eq!(buffered.now(), 0);
}

#[tokio::test]
async fn dropping_the_answer_cancels_the_attempt() {
    let server = Server::start().await;
    let (connection, _) = server.connect().await;
    let opened = connection.open(open("/", true)).unwrap();
    let mut attempt = server.next().await;
    drop(opened.answer);
    attempt.cancelled.cancelled().await;
}

#[tokio::test]
async fn answer_that_ends_early_is_an_error() {
    let server = Server::start().await;
    let (connection, _) = server.connect().await;
    let mut answer = connection.open(open("/", true)).unwrap().answer;
    let mut body = server.next().await.answer.send_head(complete());
    body.send(Bytes::from_static(b"half")).await.unwrap();
    drop(body);
    answer.head().await.unwrap();
    let mut received = answer.into_body();
    assert_eq!(received.next().await, Some(Ok(Bytes::from_static(b"half"))));
    assert!(received.next().await.unwrap().is_err());
}

#[tokio::test]
async fn leaving_node_finishes_open_streams_and_accepts_no_new_ones() {
    let server = Server::start().await;
    let (connection, _) = server.connect().await;
    let mut answer = connection.open(open("/last", true)).unwrap().answer;
    let attempt = server.next().await;
    server.mux.leave();
    eventually(|| !connection.is_usable()).await;
    assert!(connection.open(open("/late", true)).is_err());
    answer_with_path(attempt).await;
    answer.head().await.unwrap();
    assert_eq!(read_body_text(answer.into_body()).await, "/last");
    eventually(|| server.mux.open_connections() == 0).await;
}
