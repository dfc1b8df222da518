//! Bounds the bytes that a peer may send before the head of its answer is complete.
//!
//! hyper bounds the size of one head, but reads any number of interim answers before it, without a
//! pause while more bytes are there.

use std::cell::Cell;
use std::error::Error as _;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

use crate::network::Stream;

/// The most bytes that may arrive before the head of an answer is complete, interim answers included.
/// A read that begins below this limit may exceed it.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time from the last byte that may arrive until the connection fails. The head may be complete, and the
/// task that waits for it is woken already but has not run yet.
const FAILURE_DELAY: Duration = Duration::from_millis(1);

/// The bytes that a peer may still send before the head of its answer is complete; none while no head
/// is awaited.
#[derive(Clone, Debug, Default)]
pub struct HeadAllowance(Rc<Cell<Option<usize>>>);

impl HeadAllowance {
    /// Begins to count bytes: the head of an answer is awaited.
    pub fn begin(&self) {
        self.0.set(Some(MAX_HEAD_BYTES));
    }

    /// Stops counting bytes: the head has arrived.
    pub fn end(&self) {
        self.0.set(None);
    }

    fn is_spent(&self) -> bool {
        self.0.get() == Some(0)
    }

    fn spend(&self, length: usize) {
        let left = self.0.get().map(|left| left.saturating_sub(length));
        self.0.set(left);
    }
}

/// The head of an answer was not complete within [`MAX_HEAD_BYTES`].
#[derive(Debug, Error)]
#[error("the head of the answer has no end")]
struct HeadTooLong;

/// Whether a request failed because the head of its answer was too long.
pub fn is_exceeded(error: &hyper::Error) -> bool {
    let cause = error
        .source()
        .and_then(|cause| cause.downcast_ref::<io::Error>());
    let inner = cause.and_then(io::Error::get_ref);
    inner.is_some_and(|inner| inner.is::<HeadTooLong>())
}

/// A connection on which reads fail once the allowance is spent.
pub struct HeadLimited {
    stream: Stream,
    allowance: HeadAllowance,
    /// The time until a read fails that found the allowance spent.
    failure: Option<Pin<Box<Sleep>>>,
}

impl HeadLimited {
    /// Limits the reads of `stream` to `allowance`.
    pub fn new(stream: Stream, allowance: HeadAllowance) -> Self {
        HeadLimited {
            stream,
            allowance,
            failure: None,
        }
    }
}

impl AsyncRead for HeadLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_spent() {
            let failure = &mut self.failure;
            let failure = failure.get_or_insert_with(|| Box::pin(sleep(FAILURE_DELAY)));
            std::task::ready!(failure.as_mut().poll(context));
            let error = io::Error::new(io::ErrorKind::InvalidData, HeadTooLong);
            return Poll::Ready(Err(error));
        }
        self.failure = None;
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.allowance.spend(buffer.filled().len() - before);
        read
    }
}

impl AsyncWrite for HeadLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
