//! Reading frames from a connection, with signs of life.

use std::io;

use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::timeout;

use lifthollow_protocol::frame::{Frame, FrameDecoder, FrameError, Hello, PROTOCOL_VERSION};
use lifthollow_state::NodeId;

use crate::mux::queue::FrameQueue;
use crate::mux::streams::ProtocolViolation;
use crate::mux::{MAX_MISSED_PINGS, PING_INTERVAL};

/// Space kept ready for each read from the socket.
const READ_BYTES: usize = 64 * 1024;

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The other end closed it between two frames.
    #[error("closed by the other node")]
    Closed,
    /// The socket failed.
    #[error("socket: {0}")]
    Socket(#[from] io::Error),
    /// What came is not a frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The other node speaks another version.
    #[error("the other node speaks version {theirs}, this one {PROTOCOL_VERSION}")]
    Version {
        /// Its version.
        theirs: u16,
    },
    /// The first frame is not the greeting.
    #[error("the first frame is not a hello")]
    NoHello,
    /// The other node broke the rules of the protocol.
    #[error(transparent)]
    Violation(#[from] ProtocolViolation),
    /// Nothing came for too long, not even answers to pings.
    #[error("no sign of life")]
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

    /// The other node's greeting, which is its first frame.
    pub(super) async fn hello(&mut self) -> Result<NodeId, ConnectionError> {
        loop {
            match self.decoder.next_frame()? {
                Some(Frame::Hello(hello)) => return check_hello(hello),
                Some(_) => return Err(ConnectionError::NoHello),
                None => self.read_more().await?,
            }
        }
    }

    /// The next frame that is not a sign of life.
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
                        ping(queue, missed_pings)?;
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

fn ping(queue: &FrameQueue, missed_pings: u32) -> Result<(), ConnectionError> {
    if missed_pings > MAX_MISSED_PINGS {
        return Err(ConnectionError::Silent);
    }
    let _ = queue.send(Frame::Ping(u64::from(missed_pings)));
    Ok(())
}
