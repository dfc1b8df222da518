//! TCP sockets with options that detect an unresponsive peer.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// A connection that this process opened is closed when sent bytes stay unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2000);
/// An accepted connection is closed when its peer acknowledges or reads nothing for this long, although
/// there are bytes for it: about as long as it may stay idle. The system doesn't tell a peer that is
/// slow to read from one that is gone.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(15);
/// A peer gets a keep-alive probe after this long without traffic.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);
/// Time between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Number of new connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Listens at `address`, even if another process listened there a moment ago.
pub fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sets the options of a connection that this process opened. If the system refuses an option, the
/// connection is used without it.
pub fn prepare_opened(stream: &TcpStream) {
    prepare(stream, UNACKNOWLEDGED_TIMEOUT);
}

/// Sets the options of an accepted connection, whose peer may be slow to read answers. If the system
/// refuses an option, the connection is used without it.
pub fn prepare_accepted(stream: &TcpStream) {
    prepare(stream, UNREAD_TIMEOUT);
}

/// Sets the options that send small writes at once and detect an unresponsive peer.
fn prepare(stream: &TcpStream, unacknowledged: Duration) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(unacknowledged));
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let _ = socket.set_tcp_keepalive(&keepalive);
}
