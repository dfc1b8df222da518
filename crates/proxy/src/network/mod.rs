//! Opens and accepts connections: through the system's sockets, or in a simulation.
//!
//! The deterministic simulation runs the same process on in-memory connections and a virtual clock,
//! so only this module opens sockets.

mod monitor;
mod socket;

use std::io;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use lifthollow_transport::clock::Clock;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

use monitor::Monitor;

/// A connection that this process opened is closed when its peer acknowledges nothing for this long.
const OPENED_SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// An accepted connection is closed when its peer acknowledges nothing for this long: about as long as
/// it may stay idle.
const ACCEPTED_SILENCE_LIMIT: Duration = Duration::from_secs(15);

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
pub struct SystemNetwork {
    monitor: Rc<Monitor>,
}

impl SystemNetwork {
    /// Creates the network of a process, whose times are measured with `clock`.
    pub fn new(clock: Clock) -> Self {
        SystemNetwork {
            monitor: Monitor::new(clock),
        }
    }
}

impl Network for SystemNetwork {
    fn listen(&self, address: SocketAddrV4) -> io::Result<Box<dyn Listener>> {
        Ok(Box::new(SystemListener {
            listener: socket::listen(address)?,
            monitor: self.monitor.clone(),
        }))
    }

    fn connect(&self, address: SocketAddrV4) -> ConnectionFuture<'static> {
        let monitor = self.monitor.clone();
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            Ok(monitored(&monitor, stream, OPENED_SILENCE_LIMIT))
        })
    }
}

struct SystemListener {
    listener: TcpListener,
    monitor: Rc<Monitor>,
}

impl Listener for SystemListener {
    fn accept(&self) -> ConnectionFuture<'_> {
        Box::pin(async move {
            let (stream, _) = self.listener.accept().await?;
            Ok(monitored(&self.monitor, stream, ACCEPTED_SILENCE_LIMIT))
        })
    }
}

fn monitored(monitor: &Rc<Monitor>, stream: TcpStream, limit: Duration) -> Stream {
    socket::prepare(&stream, limit);
    Box::new(monitor.watch(stream, limit))
}
