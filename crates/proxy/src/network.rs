//! Opens and accepts connections: through the system's sockets, or in a simulation.
//!
//! The deterministic simulation runs the same process on in-memory connections and a virtual clock,
//! so only this module opens sockets.

use std::io;
use std::net::SocketAddrV4;
use std::pin::Pin;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

use crate::http::socket;

/// A bidirectional byte stream: a socket of the system or a connection of a simulation.
pub trait Connection: AsyncRead + AsyncWrite + Unpin {}

impl<C: AsyncRead + AsyncWrite + Unpin> Connection for C {}

/// A boxed connection.
pub type Stream = Box<dyn Connection>;

/// Resolves to a connection that is being opened or accepted.
pub type ConnectionFuture<'a> = Pin<Box<dyn Future<Output = io::Result<Stream>> + 'a>>;

/// Accepts connections at one address.
pub trait Listener {
    /// Waits for the next connection.
    ///
    /// # Errors
    ///
    /// The system can't accept a connection, for example because no file descriptors are left.
    fn accept(&self) -> ConnectionFuture<'_>;
}

/// Opens connections and listens for them.
pub trait Network {
    /// Listens at `address`.
    ///
    /// # Errors
    ///
    /// The address does not belong to this machine, or is in use.
    fn listen(&self, address: SocketAddrV4) -> io::Result<Box<dyn Listener>>;

    /// Opens a connection to `address`. There is no timeout: the future may never resolve.
    fn connect(&self, address: SocketAddrV4) -> ConnectionFuture<'static>;
}

/// The network of the operating system, with TCP connections.
pub struct SystemNetwork;

impl Network for SystemNetwork {
    fn listen(&self, address: SocketAddrV4) -> io::Result<Box<dyn Listener>> {
        Ok(Box::new(socket::listen(address)?))
    }

    fn connect(&self, address: SocketAddrV4) -> ConnectionFuture<'static> {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            socket::prepare_opened(&stream);
            Ok(Box::new(stream) as Stream)
        })
    }
}

impl Listener for TcpListener {
    fn accept(&self) -> ConnectionFuture<'_> {
        Box::pin(async move {
            let (stream, _) = TcpListener::accept(self).await?;
            socket::prepare_accepted(&stream);
            Ok(Box::new(stream) as Stream)
        })
    }
}
