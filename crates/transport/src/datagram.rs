//! Messages between control threads: one message, one UDP datagram.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};

use lifthollow_protocol::control::MAX_DATAGRAM_BYTES;
use lifthollow_protocol::{ControlError, ControlMessage};
use lifthollow_state::NodeId;

/// Why a message was not sent.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The socket refused it.
    #[error("socket: {0}")]
    Socket(#[from] io::Error),
    /// It can't be encoded.
    #[error(transparent)]
    Message(#[from] ControlError),
}

/// A datagram that came in.
#[derive(Debug)]
pub enum Received {
    /// A message of another node.
    Message {
        /// The node.
        from: NodeId,
        /// What it says.
        message: ControlMessage,
    },
    /// Something else, which is dropped.
    Malformed {
        /// Where it came from.
        from: SocketAddr,
        /// What is wrong with it.
        error: ControlError,
    },
}

/// The socket of a node's control thread.
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Binds the socket.
    pub fn bind(address: SocketAddrV4) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        Ok(DatagramSocket { socket })
    }

    /// Another handle to the same socket.
    pub fn try_clone(&self) -> io::Result<Self> {
        let socket = self.socket.try_clone()?;
        Ok(DatagramSocket { socket })
    }

    /// Sends a message; it may be lost.
    pub fn send(&self, to: NodeId, message: &ControlMessage) -> Result<(), SendError> {
        let datagram = message.encode()?;
        self.socket.send_to(&datagram, to.address())?;
        Ok(())
    }

    /// Waits for the next datagram.
    pub fn receive(&self) -> io::Result<Received> {
        // One byte more than allowed, so that an oversized datagram is noticed.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, from) = self.socket.recv_from(&mut buffer)?;
        let SocketAddr::V4(address) = from else {
            return Err(io::Error::other("datagram of another address family"));
        };
        Ok(match ControlMessage::decode(&buffer[..length]) {
            Ok(message) => Received::Message {
                from: NodeId::from_address(address),
                message,
            },
            Err(error) => Received::Malformed { from, error },
        })
    }
}
