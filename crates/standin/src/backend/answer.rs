//! Response bodies of a back end. A streamed body is sent block by block and holds the call's
//! execution slot until it has been sent or dropped.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, Sleep};

use super::ledger::Ledger;
use crate::call::CallName;
use crate::content::Content;

/// Body of every HTTP response of a back end: a short text or a streamed body.
pub type ResponseBody = Either<Full<Bytes>, StreamedBody>;

/// One execution of a call. It holds an execution slot and, when dropped, records in the ledger
/// whether the execution completed and how long it held the slot.
pub struct RunGuard {
    name: CallName,
    ledger: Arc<Ledger>,
    started: Instant,
    completed: bool,
    _slot: OwnedSemaphorePermit,
}

impl RunGuard {
    /// Records in `ledger` that the call `name` starts to execute in `slot`.
    pub fn start(
        name: CallName,
        body_digest: u64,
        ledger: Arc<Ledger>,
        slot: OwnedSemaphorePermit,
    ) -> Self {
        ledger.record_start(&name, body_digest);
        RunGuard {
            name,
            ledger,
            started: Instant::now(),
            completed: false,
            _slot: slot,
        }
    }

    /// Marks the execution as completed: its whole response was handed to the HTTP server.
    pub fn mark_completed(&mut self) {
        self.completed = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let slot_micros = self.started.elapsed().as_micros() as u64;
        self.ledger
            .record_end(&self.name, slot_micros, self.completed);
    }
}

/// Response body whose blocks are generated while it is sent.
pub struct StreamedBody {
    content: Content,
    remaining_bytes: u64,
    pace: Duration,
    block_delay: Option<Pin<Box<Sleep>>>,
    truncate_at_remaining: Option<u64>,
    run: RunGuard,
}

/// Delay between the first half of a truncated response and the error that ends it, so that
/// the first half leaves the process.
const TRUNCATION_DELAY: Duration = Duration::from_millis(5);

/// Error that ends a response body early because of an injected fault.
#[derive(Debug, thiserror::Error)]
#[error("response body was truncated by an injected fault")]
pub struct BodyTruncated;

impl StreamedBody {
    /// Creates a body that sends `content` and pauses for `pace` after each block. With
    /// `truncate`, the body fails after half of its bytes.
    pub fn new(content: Content, pace: Duration, truncate: bool, run: RunGuard) -> Self {
        let remaining_bytes = content.length();
        StreamedBody {
            content,
            remaining_bytes,
            pace,
            block_delay: None,
            truncate_at_remaining: truncate.then_some(remaining_bytes / 2),
            run,
        }
    }

    fn next_block(&mut self) -> Option<Result<Frame<Bytes>, BodyTruncated>> {
        let allowed = self.remaining_bytes - self.truncate_at_remaining.unwrap_or(0);
        if allowed == 0 && self.remaining_bytes > 0 {
            return Some(Err(BodyTruncated));
        }
        let mut block = self.content.next()?;
        block.truncate(allowed.min(block.len() as u64) as usize);
        self.remaining_bytes -= block.len() as u64;
        let pace = if self.truncate_at_remaining.is_some() {
            TRUNCATION_DELAY
        } else {
            self.pace
        };
        if self.remaining_bytes == 0 {
            self.run.mark_completed();
        } else if pace > Duration::ZERO {
            self.block_delay = Some(Box::pin(tokio::time::sleep(pace)));
        }
        Some(Ok(Frame::data(block)))
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        if let Some(block_delay) = self.block_delay.as_mut() {
            std::task::ready!(block_delay.as_mut().poll(context));
            self.block_delay = None;
        }
        Poll::Ready(self.next_block())
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes)
    }
}

/// Creates a response body from a static text.
pub fn text_body(text: &'static str) -> ResponseBody {
    Either::Left(Full::new(Bytes::from_static(text.as_bytes())))
}

/// Creates a response body from an owned text.
pub fn owned_text_body(text: String) -> ResponseBody {
    Either::Left(Full::new(Bytes::from(text)))
}
