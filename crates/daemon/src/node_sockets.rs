//! The sockets at which other nodes reach this one: TCP and UDP at one port.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};

use tokio::net::TcpListener;

use lifthollow_state::NodeId;
use lifthollow_transport::datagram::{self, DatagramReceiver, DatagramSender};

/// Maximum number of attempts to find a port that is free for both TCP and UDP,
/// if the system chooses the port.
const MAX_TRIES: usize = 16;

/// The bound TCP and UDP sockets for other nodes.
pub struct NodeSockets {
    /// The node's address, with the port that the system chose if the setting was 0.
    pub node: NodeId,
    /// Accepts TCP connections from other nodes.
    pub listener: TcpListener,
    /// Sends control datagrams.
    pub sender: DatagramSender,
    /// Receives control datagrams.
    pub receiver: DatagramReceiver,
}

impl NodeSockets {
    /// Binds both sockets at `address`; port 0 lets the system choose.
    pub async fn bind(address: SocketAddrV4) -> io::Result<Self> {
        let mut result = NodeSockets::try_bind(address).await;
        let tries = if address.port() == 0 { MAX_TRIES } else { 1 };
        for _ in 1..tries {
            match result {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                    result = NodeSockets::try_bind(address).await;
                }
                _ => break,
            }
        }
        result
    }

    async fn try_bind(address: SocketAddrV4) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let SocketAddr::V4(bound) = listener.local_addr()? else {
            return Err(io::Error::other(
                "the listener bound to an IPv4 address reports an IPv6 address",
            ));
        };
        let (sender, receiver) = datagram::bind(bound)?;
        Ok(NodeSockets {
            node: NodeId::from_address(bound),
            listener,
            sender,
            receiver,
        })
    }
}
