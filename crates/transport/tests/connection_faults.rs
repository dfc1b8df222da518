//! Tests of connections that fail or violate the protocol: the results of their
//! attempts, and that the node keeps serving other connections.

mod support;

use bytes::Bytes;
use lifthollow_protocol::frame::{
    Frame, MAX_DATA_BYTES, MAX_FRAME_BYTES, PROTOCOL_VERSION, STREAM_WINDOW_BYTES, StreamId,
};
use lifthollow_transport::mux::{
    AttemptFailure, BufferedBytes, ClientConnection, ConnectError, ConnectionError, PeerPool,
};
use std::time::Duration;
use support::{CLIENT, LOOPBACK, RawPeer, Server, complete, connect, node_of, open};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Asserts that the node answers an attempt on a new connection.
async fn assert_serves(server: &Server) {
    let (connection, _) = server.connect().await;
    let mut answer = connection.open(open("/", true)).unwrap().answer;
    server.next().await.answer.send_bodiless(complete());
    assert!(answer.head().await.is_ok());
}

/// Asserts that the node closes a connection that sends `bytes` after its hello frame, and serves
/// other connections afterwards.
async fn assert_closes_after(bytes: &[u8]) {
    let server = Server::start().await;
    let mut peer = RawPeer::connect(server.node).await;
    peer.socket.write_all(bytes).await.unwrap();
    assert_eq!(peer.next().await, None);
    assert_serves(&server).await;
}

#[tokio::test]
async fn oversized_frame_closes_its_connection_only() {
    let length = (MAX_FRAME_BYTES + 1) as u32;
    assert_closes_after(&length.to_be_bytes()).await;
}

#[tokio::test]
async fn malformed_frame_closes_its_connection_only() {
    assert_closes_after(&[0, 0, 0, 2, 0xff, 0xff]).await;
}

#[tokio::test]
async fn frame_not_allowed_in_its_direction_closes_its_connection_only() {
    let server = Server::start().await;
    let mut peer = RawPeer::connect(server.node).await;
    peer.send(Frame::GoAway).await;
    assert_eq!(peer.next().await, None);
    assert_serves(&server).await;
}

#[tokio::test]
async fn connection_truncated_inside_a_frame_cancels_its_attempts() {
    let server = Server::start().await;
    let mut peer = RawPeer::connect(server.node).await;
    let frame = Frame::Open(StreamId(1), Box::new(open("/", false)));
    peer.send(frame).await;
    let mut attempt = server.next().await;
    peer.socket.write_all(&[0, 0]).await.unwrap();
    drop(peer);
    attempt.cancelled.cancelled().await;
    assert!(attempt.body.next().await.unwrap().is_err());
    assert_serves(&server).await;
}

#[tokio::test]
async fn half_closed_connection_cancels_its_attempts() {
    let server = Server::start().await;
    let mut peer = RawPeer::connect(server.node).await;
    let frame = Frame::Open(StreamId(1), Box::new(open("/", true)));
    peer.send(frame).await;
    let mut attempt = server.next().await;
    peer.socket.shutdown().await.unwrap();
    attempt.cancelled.cancelled().await;
    assert_eq!(peer.next().await, None);
    assert_serves(&server).await;
}

#[tokio::test]
async fn sender_that_exceeds_its_window_is_disconnected() {
    let server = Server::start().await;
    let mut peer = RawPeer::connect(server.node).await;
    let stream = StreamId(1);
    peer.send(Frame::Open(stream, Box::new(open("/", false))))
        .await;
    let _unread = server.next().await;
    let chunk = Bytes::from(vec![0; MAX_DATA_BYTES]);
    for _ in 0..=STREAM_WINDOW_BYTES / MAX_DATA_BYTES {
        peer.send(Frame::Data(stream, chunk.clone())).await;
    }
    assert_eq!(peer.next().await, None);
    assert!(server.buffered.peak() <= STREAM_WINDOW_BYTES + MAX_DATA_BYTES);
    assert_serves(&server).await;
}

#[tokio::test]
async fn connecting_to_a_node_of_another_version_fails() {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let node = node_of(listener.local_addr().unwrap());
    let peer = tokio::spawn(async move {
        let mut peer = RawPeer::new(listener.accept().await.unwrap().0);
        peer.greet(PROTOCOL_VERSION + 1).await;
        while peer.next().await.is_some() {}
    });
    let result = ClientConnection::connect(CLIENT, node, BufferedBytes::default()).await;
    let Err(ConnectError::Greeting(ConnectionError::Version { theirs })) = result else {
        panic!("connected to another version");
    };
    assert_eq!(theirs, PROTOCOL_VERSION + 1);
    drop(result);
    peer.await.unwrap();
}

#[tokio::test]
async fn caller_of_another_version_is_disconnected() {
    let server = Server::start().await;
    let mut peer = RawPeer::new(TcpStream::connect(server.node.address()).await.unwrap());
    peer.greet(PROTOCOL_VERSION + 1).await;
    assert!(matches!(peer.next().await, Some(Frame::Hello(_))));
    assert_eq!(peer.next().await, None);
    assert_serves(&server).await;
}

#[tokio::test]
async fn attempt_sent_before_the_connection_failed_may_have_run() {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let node = node_of(listener.local_addr().unwrap());
    let peer = tokio::spawn(async move {
        let mut peer = RawPeer::accept(&listener).await;
        while !matches!(peer.next().await, Some(Frame::Open(..))) {}
    });
    let (connection, _) = connect(node).await;
    let mut answer = connection.open(open("/", true)).unwrap().answer;
    peer.await.unwrap();
    assert_eq!(answer.head().await.unwrap_err(), AttemptFailure::MaybeSent);
}

#[tokio::test]
async fn attempt_still_queued_when_the_connection_failed_did_not_run() {
    const STREAMS: usize = 128;
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let node = node_of(listener.local_addr().unwrap());
    let accepted = tokio::spawn(async move { RawPeer::accept(&listener).await });
    let (connection, _) = connect(node).await;
    let peer = accepted.await.unwrap();
    // The peer reads nothing, so these bodies fill the sockets' buffers and the
    // rest of the bytes stay in the connection's queue.
    let mut answers = Vec::new();
    let mut sending = tokio::task::JoinSet::new();
    for _ in 0..STREAMS {
        let opened = connection.open(open("/", false)).unwrap();
        answers.push(opened.answer);
        let mut body = opened.body.unwrap();
        sending.spawn(async move {
            let whole = body.send(Bytes::from(vec![0; STREAM_WINDOW_BYTES])).await;
            std::future::pending::<()>().await;
            drop((whole, body));
        });
    }
    // The loopback sockets' buffers are full within milliseconds; then the writer is blocked.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut queued = connection.open(open("/", true)).unwrap().answer;
    drop(peer);
    assert_eq!(queued.head().await.unwrap_err(), AttemptFailure::NotSent);
    let first = answers[0].head().await.unwrap_err();
    assert_eq!(first, AttemptFailure::MaybeSent);
}

#[tokio::test]
async fn pool_reconnects_to_a_restarted_node_after_backing_off() {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    let node = node_of(address);
    drop(listener);
    let pool = PeerPool::new(CLIENT, BufferedBytes::default());
    assert!(pool.connection(node).await.is_err());
    let listener = TcpListener::bind(address).await.unwrap();
    let peer = tokio::spawn(async move { RawPeer::accept(&listener).await });
    while pool.connection(node).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(pool.connected(), 1);
    drop(peer.await.unwrap());
}
