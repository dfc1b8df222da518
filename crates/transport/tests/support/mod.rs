//! Test servers and raw protocol peers on the loopback interface.

#![allow(dead_code, reason = "each test program uses a part of it")]

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use lifthollow_protocol::frame::{
    AnswerHead, Frame, FrameDecoder, Hello, Open, PROTOCOL_VERSION, WireContext, encode_frame,
};
use lifthollow_protocol::{AttemptResult, LoadReport};
use lifthollow_state::{
    NodeId, Priority, PriorityClass, RequestContext, RequestId, RetryAllowance, Timestamp,
};
use lifthollow_transport::mux::{BufferedBytes, ClientConnection, IncomingAttempt, MuxServer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

pub const LOOPBACK: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
/// Id of the connecting node, which does not listen itself.
pub const CLIENT: NodeId = NodeId::from_u64(1);

pub fn node_of(address: SocketAddr) -> NodeId {
    match address {
        SocketAddr::V4(address) => NodeId::from_address(address),
        SocketAddr::V6(_) => unreachable!("tests listen on IPv4"),
    }
}

/// A node that accepts connections and attempts.
pub struct Server {
    pub node: NodeId,
    pub mux: Arc<MuxServer>,
    pub attempts: flume::Receiver<IncomingAttempt>,
    pub buffered: BufferedBytes,
}

impl Server {
    pub async fn start() -> Server {
        let listener = TcpListener::bind(LOOPBACK).await.unwrap();
        let node = node_of(listener.local_addr().unwrap());
        let (sender, attempts) = flume::unbounded();
        let buffered = BufferedBytes::default();
        let mux = Arc::new(MuxServer::new(node, sender, buffered.clone()));
        let running = mux.clone();
        tokio::spawn(async move { running.run(listener).await });
        Server {
            node,
            mux,
            attempts,
            buffered,
        }
    }

    pub async fn connect(&self) -> (ClientConnection, BufferedBytes) {
        connect(self.node).await
    }

    pub async fn next(&self) -> IncomingAttempt {
        self.attempts.recv_async().await.unwrap()
    }
}

pub async fn connect(node: NodeId) -> (ClientConnection, BufferedBytes) {
    let buffered = BufferedBytes::default();
    let connection = ClientConnection::connect(CLIENT, node, buffered.clone()).await;
    (connection.unwrap(), buffered)
}

pub fn open(path: &str, bodiless: bool) -> Open {
    let context = RequestContext {
        request: RequestId(1),
        deadline: Timestamp::from_micros(1_000_000),
        priority: Priority {
            class: PriorityClass::Normal,
            user: 0,
        },
        idempotency_key: None,
        allowance: RetryAllowance(0),
    };
    Open {
        service: "audio".to_owned(),
        context: WireContext::leaving_at(&context, Timestamp::ZERO),
        method: "GET".to_owned(),
        path: path.to_owned(),
        headers: Vec::new(),
        body_digest: 0,
        bodiless,
    }
}

pub fn complete() -> AnswerHead {
    AnswerHead {
        result: AttemptResult::Completed { success: true },
        status: 200,
        headers: Vec::new(),
        load: LoadReport::default(),
        unspent: 0,
    }
}

pub async fn eventually(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// One end of a connection that sends and receives single frames.
pub struct RawPeer {
    pub socket: TcpStream,
    decoder: FrameDecoder,
}

impl RawPeer {
    pub fn new(socket: TcpStream) -> RawPeer {
        let decoder = FrameDecoder::default();
        RawPeer { socket, decoder }
    }

    /// Connects to a node and exchanges hello frames.
    pub async fn connect(node: NodeId) -> RawPeer {
        let mut peer = RawPeer::new(TcpStream::connect(node.address()).await.unwrap());
        peer.greet(PROTOCOL_VERSION).await;
        assert!(matches!(peer.next().await, Some(Frame::Hello(_))));
        peer
    }

    /// Accepts one connection and sends the hello frame.
    pub async fn accept(listener: &TcpListener) -> RawPeer {
        let mut peer = RawPeer::new(listener.accept().await.unwrap().0);
        peer.greet(PROTOCOL_VERSION).await;
        peer
    }

    pub async fn greet(&mut self, version: u16) {
        let node = CLIENT.as_u64();
        self.send(Frame::Hello(Hello { version, node })).await;
    }

    pub async fn send(&mut self, frame: Frame) {
        let mut bytes = BytesMut::new();
        encode_frame(frame, &mut bytes).unwrap();
        self.socket.write_all(&bytes).await.unwrap();
    }

    /// Waits for the next frame; returns `None` if the node has closed the connection.
    pub async fn next(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = self.decoder.next_frame().unwrap() {
                return Some(frame);
            }
            let read = self.socket.read_buf(self.decoder.buffer()).await;
            if read.unwrap_or(0) == 0 {
                return None;
            }
        }
    }
}
