//! Sending and receiving of control messages, each as one UDP datagram.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};

use lifthollow_protocol::control::MAX_DATAGRAM_BYTES;
use lifthollow_protocol::{ControlError, ControlMessage};
use lifthollow_state::NodeId;

/// Why a control message was not sent.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The socket returned an error.
    #[error("sending a control datagram: socket: {0}")]
    Socket(#[from] io::Error),
    /// The message can't be encoded as a datagram.
    #[error(transparent)]
    Message(#[from] ControlError),
}

/// A received datagram.
#[derive(Debug)]
pub enum Received {
    /// A valid message of another node.
    Message {
        /// The node that sent the message.
        from: NodeId,
        /// The decoded message.
        message: ControlMessage,
    },
    /// A datagram that is not a valid message and is dropped.
    Malformed {
        /// Source address of the datagram.
        from: SocketAddr,
        /// Why the datagram could not be decoded.
        error: ControlError,
    },
}

/// Sends control messages without blocking.
pub struct DatagramSender(UdpSocket);

/// Receives control messages.
pub struct DatagramReceiver(tokio::net::UdpSocket);

/// Binds a UDP socket that sender and receiver share. Must be called inside a tokio runtime.
pub fn bind(address: SocketAddrV4) -> io::Result<(DatagramSender, DatagramReceiver)> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let receiver = tokio::net::UdpSocket::from_std(socket.try_clone()?)?;
    Ok((DatagramSender(socket), DatagramReceiver(receiver)))
}

impl DatagramSender {
    /// Sends a message to a node. Delivery is not guaranteed.
    pub fn send(&self, to: NodeId, message: &ControlMessage) -> Result<(), SendError> {
        let datagram = message.encode()?;
        self.0.send_to(&datagram, to.address())?;
        Ok(())
    }
}

impl DatagramReceiver {
    /// Waits for the next datagram and decodes it.
    pub async fn receive(&self) -> io::Result<Received> {
        // One byte more than the maximum, so that oversized datagrams are detected.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, from) = self.0.recv_from(&mut buffer).await?;
        let SocketAddr::V4(address) = from else {
            return Err(io::Error::other(
                "control datagram from an address that is not IPv4",
            ));
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
