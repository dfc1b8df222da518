//! Connections of the operating system, whose peers are checked to be there while bytes for them are
//! under way.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use lifthollow_coordination::mesh::acknowledgements::{
    AcknowledgementReport, AcknowledgementWatch, PeerStanding,
};
use lifthollow_transport::clock::Clock;
use nix::sys::socket::getsockopt;
use nix::{getsockopt_impl, sockopt_impl};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::socket;

/// Time between two checks of a connection.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

sockopt_impl!(
    /// What the system knows of a TCP connection.
    TcpInformation,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    libc::tcp_info
);

/// A connection was closed because its peer acknowledged nothing for too long.
#[derive(Debug, Error)]
#[error("the peer acknowledges nothing")]
struct PeerGone;

/// Checks the connections of a process that have bytes under way.
pub(super) struct Monitor {
    clock: Clock,
    /// The connections to be checked; their checks end when there are none.
    watched: RefCell<Vec<Weak<Monitored>>>,
}

/// A connection and what is known of its peer.
struct Monitored {
    stream: RefCell<TcpStream>,
    watch: RefCell<AcknowledgementWatch>,
    /// Whether the system reports acknowledgements.
    has_reports: bool,
    is_watched: Cell<bool>,
    is_peer_gone: Cell<bool>,
}

/// A connection that fails if its peer is gone, but not if its peer is slow to read.
pub(super) struct MonitoredStream {
    connection: Rc<Monitored>,
    monitor: Rc<Monitor>,
}

impl Monitor {
    /// Creates a monitor that measures times with `clock`.
    pub(super) fn new(clock: Clock) -> Rc<Self> {
        Rc::new(Monitor {
            clock,
            watched: RefCell::default(),
        })
    }

    /// Watches the connection `stream`, whose peer counts as gone if it acknowledges nothing for
    /// `limit`. A system that doesn't report acknowledgements closes such a connection itself; it may
    /// close one whose peer is slow to read, too.
    pub(super) fn watch(self: &Rc<Self>, stream: TcpStream, limit: Duration) -> MonitoredStream {
        let has_reports = report_of(&stream).is_ok();
        if !has_reports {
            socket::close_if_unacknowledged(&stream, limit);
        }
        MonitoredStream {
            connection: Rc::new(Monitored {
                stream: RefCell::new(stream),
                watch: RefCell::new(AcknowledgementWatch::new(limit)),
                has_reports,
                is_watched: Cell::new(false),
                is_peer_gone: Cell::new(false),
            }),
            monitor: self.clone(),
        }
    }

    fn record_written(self: &Rc<Self>, connection: &Rc<Monitored>) {
        connection.watch.borrow_mut().record_written();
        if !connection.has_reports || connection.is_watched.replace(true) {
            return;
        }
        let mut watched = self.watched.borrow_mut();
        watched.push(Rc::downgrade(connection));
        if watched.len() == 1 {
            tokio::task::spawn_local(self.clone().check());
        }
    }

    /// Checks the watched connections periodically until there are none.
    async fn check(self: Rc<Self>) {
        while !self.watched.borrow().is_empty() {
            sleep(CHECK_INTERVAL).await;
            let needs_more = |connection: &Weak<Monitored>| {
                let connection = connection.upgrade();
                connection.is_some_and(|connection| connection.needs_more_checks(self.clock))
            };
            self.watched.borrow_mut().retain(needs_more);
        }
    }
}

impl Monitored {
    /// Checks the connection, and closes it if its peer is gone. Returns whether it needs another check.
    fn needs_more_checks(&self, clock: Clock) -> bool {
        let Ok(report) = report_of(&self.stream.borrow()) else {
            self.is_watched.set(false);
            return false;
        };
        let standing = self.watch.borrow_mut().record(clock.now(), report);
        if standing == PeerStanding::Gone {
            self.is_peer_gone.set(true);
            socket::reset(&self.stream.borrow());
        }
        let needs_more = standing == PeerStanding::Outstanding;
        self.is_watched.set(needs_more);
        needs_more
    }

    fn check_peer(&self) -> io::Result<()> {
        match self.is_peer_gone.get() {
            true => Err(io::Error::new(io::ErrorKind::TimedOut, PeerGone)),
            false => Ok(()),
        }
    }
}

fn report_of(stream: &TcpStream) -> nix::Result<AcknowledgementReport> {
    let known = getsockopt(stream, TcpInformation)?;
    Ok(AcknowledgementReport {
        is_unacknowledged: known.tcpi_unacked > 0 || known.tcpi_probes > 0,
        is_repeating: known.tcpi_backoff > 0 || known.tcpi_retransmits > 0,
        last_acknowledged: Duration::from_millis(known.tcpi_last_ack_recv.into()),
    })
}

impl MonitoredStream {
    fn after_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(length)) if length > 0) {
            self.monitor.record_written(&self.connection);
        }
        written
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.check_peer()?;
        let mut stream = self.connection.stream.borrow_mut();
        Pin::new(&mut *stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.check_peer()?;
        let mut stream = self.connection.stream.borrow_mut();
        let written = Pin::new(&mut *stream).poll_write(context, bytes);
        self.after_write(written)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.check_peer()?;
        Pin::new(&mut *self.connection.stream.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.connection.stream.borrow_mut()).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.connection.stream.borrow().is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.connection.check_peer()?;
        let mut stream = self.connection.stream.borrow_mut();
        let written = Pin::new(&mut *stream).poll_write_vectored(context, buffers);
        self.after_write(written)
    }
}
