//! A caller's connection that is read ahead while its request is being processed.
//!
//! hyper stops reading once bytes of the next request are in its buffer, and so does not
//! notice that the caller has closed the connection. This module reads ahead, up to a bound,
//! so that pipelined requests are received and a close is detected at once.
//!
//! Most connections are idle most of the time. Reads go through a buffer that all
//! connections of a thread share, and each connection holds only the bytes that hyper has
//! not consumed yet.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Buf, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::network::Stream;

/// The most bytes that are read ahead on one connection.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// Size of one read, in bytes: larger than nearly all request heads.
const READ_SIZE: usize = 8 * 1024;

thread_local! {
    /// Receives the bytes of a read before they are appended to the buffer of their connection.
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_SIZE].into());
}

struct Shared {
    stream: Stream,
    unconsumed: BytesMut,
    /// Number of bytes at the start of `unconsumed` that were passed to the inspecting function.
    inspected: usize,
    /// Whether reading stopped because the buffer was full.
    was_full: bool,
    reached_end: bool,
    read_failed: bool,
}

/// The half of a connection that hyper reads from and writes to.
pub struct CallerStream(Rc<RefCell<Shared>>);

/// The half of a connection that reads ahead.
pub struct ReadAhead(Rc<RefCell<Shared>>);

/// Splits a connection into the two halves. Both must be polled by the same task.
pub fn split(stream: Stream) -> (CallerStream, ReadAhead) {
    let shared = Rc::new(RefCell::new(Shared {
        stream,
        unconsumed: BytesMut::new(),
        inspected: 0,
        was_full: false,
        reached_end: false,
        read_failed: false,
    }));
    (CallerStream(shared.clone()), ReadAhead(shared))
}

impl ReadAhead {
    /// Reads the bytes that have arrived, and passes new ones to `inspect`. The task is
    /// woken when more bytes arrive.
    pub fn poll(&mut self, context: &mut Context<'_>, inspect: impl FnOnce(&[u8])) {
        let mut shared = self.0.borrow_mut();
        shared.read_available(context);
        if shared.inspected < shared.unconsumed.len() {
            inspect(&shared.unconsumed[shared.inspected..]);
            shared.inspected = shared.unconsumed.len();
        }
    }

    /// Whether reading stopped because the buffer was full, and it has room again. Nothing
    /// wakes the task in this case: [`ReadAhead::poll`] has to be called at once.
    pub fn has_room_again(&self) -> bool {
        let shared = self.0.borrow();
        shared.was_full && shared.unconsumed.len() < MAX_READ_AHEAD
    }

    /// Whether the caller has closed the connection or reading from it failed.
    pub fn is_closed(&self) -> bool {
        let shared = self.0.borrow();
        shared.reached_end || shared.read_failed
    }
}

impl Shared {
    fn read_available(&mut self, context: &mut Context<'_>) {
        self.was_full = false;
        while !self.reached_end && !self.read_failed && self.unconsumed.len() < MAX_READ_AHEAD {
            match self.read(context) {
                Poll::Pending => return,
                Poll::Ready(Ok(length)) => self.reached_end = length == 0,
                Poll::Ready(Err(_)) => self.read_failed = true,
            }
        }
        self.was_full = !self.reached_end && !self.read_failed;
    }

    /// Reads once, appends the bytes to `unconsumed` and returns their number.
    fn read(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        READ_BUFFER.with_borrow_mut(|read_buffer| {
            let mut buffer = ReadBuf::new(read_buffer);
            let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer);
            self.unconsumed.extend_from_slice(buffer.filled());
            read.map_ok(|()| buffer.filled().len())
        })
    }

    /// Moves inspected bytes into `buffer`, as many as fit.
    fn move_inspected(&mut self, buffer: &mut ReadBufCursor<'_>) {
        let length = self.inspected.min(buffer.remaining());
        buffer.put_slice(&self.unconsumed[..length]);
        self.unconsumed.advance(length);
        self.inspected -= length;
        if self.unconsumed.is_empty() {
            // Releases the memory, so that an idle connection holds none.
            self.unconsumed = BytesMut::new();
        }
    }
}

impl Read for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // Only inspected bytes are consumed, so that no byte reaches hyper uninspected.
        let mut shared = self.0.borrow_mut();
        if shared.inspected > 0 {
            shared.move_inspected(&mut buffer);
            return Poll::Ready(Ok(()));
        }
        if shared.read_failed {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let is_at_end = shared.reached_end && shared.unconsumed.is_empty();
        if is_at_end {
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
