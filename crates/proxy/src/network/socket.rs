//! TCP sockets and their options.

use std::io;
use std::net::{Shutdown, SocketAddrV4};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// A peer gets a keep-alive probe after this long without traffic.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);
/// Time between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of new connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Listens at `address`, even if another process listened there a moment ago.
pub(super) fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sets the options that send small writes at once, and detect that the peer of an idle connection has
/// been gone for `limit`. If the system refuses an option, the connection is used without it.
pub(super) fn prepare(stream: &TcpStream, limit: Duration) {
    let _ = stream.set_nodelay(true);
    let unanswered_for = limit.saturating_sub(KEEPALIVE_IDLE_TIME);
    let probes = unanswered_for.as_secs() / KEEPALIVE_INTERVAL.as_secs();
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(probes.max(1) as u32);
    let _ = SockRef::from(stream).set_tcp_keepalive(&keepalive);
}

/// Lets the system close a connection on which sent bytes stay unacknowledged, or wait to be sent, for
/// `limit`. It does so even if the peer acknowledges each probe but reads nothing.
pub(super) fn close_if_unacknowledged(stream: &TcpStream, limit: Duration) {
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(limit));
}

/// Ends a connection without waiting for its peer, and wakes the tasks that wait for it.
pub(super) fn reset(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let _ = socket.set_linger(Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Both);
}
