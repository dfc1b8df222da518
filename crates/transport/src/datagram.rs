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

/// Sends messages without ever waiting.
pub struct DatagramSender(UdpSocket);

/// Receives messages.
pub struct DatagramReceiver(tokio::net::UdpSocket);

/// Binds a socket; both ends share it. To be called inside a tokio runtime.
pub fn bind(address: SocketAddrV4) -> io::Result<(DatagramSender, DatagramReceiver)> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let receiver = tokio::net::UdpSocket::from_std(socket.try_clone()?)?;
    Ok((DatagramSender(socket), DatagramReceiver(receiver)))
}

impl DatagramSender {
    /// Sends a message; it may be lost.
    pub fn send(&self, to: NodeId, message: &ControlMessage) -> Result<(), SendError> {
        let datagram = message.encode()?;
        self.0.send_to(&datagram, to.address())?;
        Ok(())
    }
}

impl DatagramReceiver {
    /// Waits for the next datagram.
    pub async fn receive(&self) -> io::Result<Received> {
        // One byte more than allowed, so that an oversized datagram is noticed.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, from) = self.0.recv_from(&mut buffer).await?;
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
