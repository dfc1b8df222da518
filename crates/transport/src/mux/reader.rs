//! Reading frames from a connection, with pings that detect an unresponsive peer.

use std::io;

use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::timeout;

use lifthollow_protocol::frame::{Frame, FrameDecoder, FrameError, Hello, PROTOCOL_VERSION};
use lifthollow_state::NodeId;

use crate::mux::queue::FrameQueue;
use crate::mux::streams::ProtocolViolation;
use crate::mux::{MAX_MISSED_PINGS, PING_INTERVAL};

/// Buffer space reserved for each read from the socket, bytes.
const READ_BYTES: usize = 64 * 1024;

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The other end closed the connection between two frames.
    #[error("the other node closed the connection")]
    Closed,
    /// Reading from the socket failed.
    #[error("reading from the connection: socket: {0}")]
    Socket(#[from] io::Error),
    /// The received bytes are not a valid frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The other node uses another version of the protocol.
    #[error("the other node uses protocol version {theirs}, this node {PROTOCOL_VERSION}")]
    Version {
        /// Protocol version of the other node.
        theirs: u16,
    },
    /// The first frame is not [`Frame::Hello`].
    #[error("the first frame of the connection is not a hello frame")]
    NoHello,
    /// The other node violated the protocol.
    #[error(transparent)]
    Violation(#[from] ProtocolViolation),
    /// Nothing was received for too long, not even answers to pings.
    #[error("no answer from the other node to {MAX_MISSED_PINGS} pings")]
    Silent,
}

/// Reads the frames of one connection.
pub(super) struct FrameReader {
    socket: OwnedReadHalf,
    decoder: FrameDecoder,
}

impl FrameReader {
    pub(super) fn new(socket: OwnedReadHalf) -> Self {
        FrameReader {
            socket,
            decoder: FrameDecoder::default(),
        }
    }

    /// Reads the other node's hello, which must be its first frame, and returns the node.
    pub(super) async fn hello(&mut self) -> Result<NodeId, ConnectionError> {
        loop {
            match self.decoder.next_frame()? {
                Some(Frame::Hello(hello)) => return check_hello(hello),
                Some(_) => return Err(ConnectionError::NoHello),
                None => self.read_more().await?,
            }
        }
    }

    /// Reads the next frame other than pings, which are answered, and pongs. Sends pings while
    /// nothing is received.
    pub(super) async fn next(&mut self, queue: &FrameQueue) -> Result<Frame, ConnectionError> {
        let mut missed_pings = 0;
        loop {
            match self.decoder.next_frame()? {
                Some(Frame::Ping(number)) => drop(queue.send(Frame::Pong(number))),
                Some(Frame::Pong(_)) => {}
                Some(frame) => return Ok(frame),
                None => match timeout(PING_INTERVAL, self.read_more()).await {
                    Ok(read) => {
                        read?;
                        missed_pings = 0;
                    }
                    Err(_) => {
                        missed_pings += 1;
                        ping_or_give_up(queue, missed_pings)?;
                    }
                },
            }
        }
    }

    async fn read_more(&mut self) -> Result<(), ConnectionError> {
        let buffer = self.decoder.buffer();
        buffer.reserve(READ_BYTES);
        if self.socket.read_buf(buffer).await? > 0 {
            return Ok(());
        }
        self.decoder.finish()?;
        Err(ConnectionError::Closed)
    }
}

fn check_hello(hello: Hello) -> Result<NodeId, ConnectionError> {
    if hello.version != PROTOCOL_VERSION {
        let theirs = hello.version;
        return Err(ConnectionError::Version { theirs });
    }
    Ok(NodeId::from_u64(hello.node))
}

fn ping_or_give_up(queue: &FrameQueue, missed_pings: u32) -> Result<(), ConnectionError> {
    if missed_pings > MAX_MISSED_PINGS {
        return Err(ConnectionError::Silent);
    }
    let _ = queue.send(Frame::Ping(u64::from(missed_pings)));
    Ok(())
}
