//! Where connections come from and go to: the system's sockets, or a simulation.
//!
//! The deterministic simulation runs the same process over connections in memory
//! and on a virtual clock, so nothing else in this crate opens a socket.

use std::io;
use std::net::SocketAddrV4;
use std::pin::Pin;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

use crate::http::socket;

/// A connection as the process sees it.
pub trait Connection: AsyncRead + AsyncWrite + Unpin {}

impl<C: AsyncRead + AsyncWrite + Unpin> Connection for C {}

/// A connection of either kind.
pub type Stream = Box<dyn Connection>;

/// A connection that is being opened or waited for.
pub type Opening<'a> = Pin<Box<dyn Future<Output = io::Result<Stream>> + 'a>>;

/// Takes new connections.
pub trait Listener {
    /// The next connection.
    ///
    /// # Errors
    ///
    /// The system refuses it, as when there are no descriptors left.
    fn accept(&self) -> Opening<'_>;
}

/// Opens and takes connections.
pub trait Network {
    /// Listens at `address`.
    ///
    /// # Errors
    ///
    /// The address is not this machine's, or is in use.
    fn listen(&self, address: SocketAddrV4) -> io::Result<Box<dyn Listener>>;

    /// Opens a connection to `address`. It may take for ever.
    fn connect(&self, address: SocketAddrV4) -> Opening<'static>;
}

/// The system's TCP.
pub struct SystemNetwork;

impl Network for SystemNetwork {
    fn listen(&self, address: SocketAddrV4) -> io::Result<Box<dyn Listener>> {
        Ok(Box::new(socket::listen(address)?))
    }

    fn connect(&self, address: SocketAddrV4) -> Opening<'static> {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            socket::prepare(&stream);
            Ok(Box::new(stream) as Stream)
        })
    }
}

impl Listener for TcpListener {
    fn accept(&self) -> Opening<'_> {
        Box::pin(async move {
            let (stream, _) = TcpListener::accept(self).await?;
            socket::prepare(&stream);
            Ok(Box::new(stream) as Stream)
        })
    }
}
