//! Sockets that notice a silent peer.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// A connection whose sent bytes stay unacknowledged this long is broken.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2000);
/// After this long without traffic a peer is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is broken.
const PROBES: u32 = 2;
/// New connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Listens at `address`, also right after another process did.
pub fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sends small writes at once and has a silent peer noticed. Where the system
/// refuses an option, the connection is used without it.
pub fn prepare(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let _ = socket.set_tcp_keepalive(&keepalive);
}
