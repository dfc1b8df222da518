//! A caller's connection that is read even while its request runs.
//!
//! hyper stops reading once bytes of a next request wait in its buffer, and so
//! misses that the caller has left. Here bytes are read ahead, up to a bound, so
//! that pipelined requests are taken off the wire and a close is seen at once.
//!
//! Most connections rest most of the time. What is read goes through a buffer that
//! all connections of a thread share, and a connection holds only bytes that hyper
//! has not taken yet.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Buf, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::network::Stream;

/// Bytes that are read ahead at most.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// Bytes asked for at a time: more than nearly all heads of requests.
const READ_SIZE: usize = 8 * 1024;

thread_local! {
    /// Where bytes arrive before they are appended to what their connection holds.
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_SIZE].into());
}

struct Shared {
    stream: Stream,
    ahead: BytesMut,
    /// Bytes of `ahead` that were handed to be inspected.
    inspected: usize,
    /// Reading stopped for lack of room.
    was_full: bool,
    ended: bool,
    failed: bool,
}

/// The half that hyper reads from and writes to.
pub struct CallerStream(Rc<RefCell<Shared>>);

/// The half that reads ahead.
pub struct ReadAhead(Rc<RefCell<Shared>>);

/// Divides a connection into the two halves. Both must be polled by one task.
pub fn split(stream: Stream) -> (CallerStream, ReadAhead) {
    let shared = Rc::new(RefCell::new(Shared {
        stream,
        ahead: BytesMut::new(),
        inspected: 0,
        was_full: false,
        ended: false,
        failed: false,
    }));
    (CallerStream(shared.clone()), ReadAhead(shared))
}

impl ReadAhead {
    /// Reads what has arrived, and hands new bytes to `inspect`. The task is
    /// woken when more arrives.
    pub fn poll(&mut self, context: &mut Context<'_>, inspect: impl FnOnce(&[u8])) {
        let mut shared = self.0.borrow_mut();
        shared.fill(context);
        if shared.inspected < shared.ahead.len() {
            inspect(&shared.ahead[shared.inspected..]);
            shared.inspected = shared.ahead.len();
        }
    }

    /// Whether reading stopped for lack of room, and there is room again. Then
    /// nothing wakes the task: [`ReadAhead::poll`] is due at once.
    pub fn has_room_again(&self) -> bool {
        let shared = self.0.borrow();
        shared.was_full && shared.ahead.len() < MAX_READ_AHEAD
    }

    /// Whether the caller has closed the connection.
    pub fn is_closed(&self) -> bool {
        let shared = self.0.borrow();
        shared.ended || shared.failed
    }
}

impl Shared {
    fn fill(&mut self, context: &mut Context<'_>) {
        self.was_full = false;
        while !self.ended && !self.failed && self.ahead.len() < MAX_READ_AHEAD {
            match self.read(context) {
                Poll::Pending => return,
                Poll::Ready(Ok(length)) => self.ended = length == 0,
                Poll::Ready(Err(_)) => self.failed = true,
            }
        }
        self.was_full = !self.ended && !self.failed;
    }

    /// Appends what has arrived, and says how many bytes that were.
    fn read(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        READ_BUFFER.with_borrow_mut(|shared| {
            let mut buffer = ReadBuf::new(shared);
            let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer);
            self.ahead.extend_from_slice(buffer.filled());
            read.map_ok(|()| buffer.filled().len())
        })
    }

    /// Hands over bytes that were inspected, as many as there is room for.
    fn take(&mut self, buffer: &mut ReadBufCursor<'_>) {
        let length = self.inspected.min(buffer.remaining());
        buffer.put_slice(&self.ahead[..length]);
        self.ahead.advance(length);
        self.inspected -= length;
        if self.ahead.is_empty() {
            // Nothing of it is kept while the connection rests.
            self.ahead = BytesMut::new();
        }
    }
}

impl Read for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // Only what was inspected is taken, so that nothing passes uninspected.
        let mut shared = self.0.borrow_mut();
        if shared.inspected > 0 {
            shared.take(&mut buffer);
            return Poll::Ready(Ok(()));
        }
        if shared.failed {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let has_ended = shared.ended && shared.ahead.is_empty();
        if has_ended {
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }
}

impl Write for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write_vectored(context, buffers)
    }
}
