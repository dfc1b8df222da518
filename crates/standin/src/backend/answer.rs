//! Bodies of answers: streamed block by block, holding the run's slot until the end.

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

/// Body of any answer of a back end.
pub type AnswerBody = Either<Full<Bytes>, StreamedAnswer>;

/// A run in progress: it holds a slot, and tells the ledger how it ended when dropped.
pub struct RunGuard {
    name: CallName,
    ledger: Arc<Ledger>,
    started: Instant,
    completed: bool,
    _slot: OwnedSemaphorePermit,
}

impl RunGuard {
    /// The call `name` starts to run in `slot`.
    pub fn start(
        name: CallName,
        body_digest: u64,
        ledger: Arc<Ledger>,
        slot: OwnedSemaphorePermit,
    ) -> Self {
        ledger.started(&name, body_digest);
        RunGuard {
            name,
            ledger,
            started: Instant::now(),
            completed: false,
            _slot: slot,
        }
    }

    /// The whole answer has been handed over.
    pub fn complete(&mut self) {
        self.completed = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let slot_micros = self.started.elapsed().as_micros() as u64;
        self.ledger.ended(&self.name, slot_micros, self.completed);
    }
}

/// An answer that is generated while it is sent.
pub struct StreamedAnswer {
    content: Content,
    left: u64,
    pace: Duration,
    pause: Option<Pin<Box<Sleep>>>,
    cut_at: Option<u64>,
    run: RunGuard,
}

/// Pause before an answer is cut off, so that its first half leaves the process.
const CUT_PAUSE: Duration = Duration::from_millis(5);

/// The back end broke the answer off.
#[derive(Debug, thiserror::Error)]
#[error("the answer was cut off by the fault switch")]
pub struct CutOff;

impl StreamedAnswer {
    /// `content` with a pause of `pace` after each block; `cut` breaks it off half-way.
    pub fn new(content: Content, pace: Duration, cut: bool, run: RunGuard) -> Self {
        let left = content.length();
        StreamedAnswer {
            content,
            left,
            pace,
            pause: None,
            cut_at: cut.then_some(left / 2),
            run,
        }
    }

    fn next_block(&mut self) -> Option<Result<Frame<Bytes>, CutOff>> {
        let allowed = self.left - self.cut_at.unwrap_or(0);
        if allowed == 0 && self.left > 0 {
            return Some(Err(CutOff));
        }
        let mut block = self.content.next()?;
        block.truncate(allowed.min(block.len() as u64) as usize);
        self.left -= block.len() as u64;
        let pace = if self.cut_at.is_some() {
            CUT_PAUSE
        } else {
            self.pace
        };
        if self.left == 0 {
            self.run.complete();
        } else if pace > Duration::ZERO {
            self.pause = Some(Box::pin(tokio::time::sleep(pace)));
        }
        Some(Ok(Frame::data(block)))
    }
}

impl Body for StreamedAnswer {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        if let Some(pause) = self.pause.as_mut() {
            std::task::ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        Poll::Ready(self.next_block())
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// A short answer.
pub fn short(text: &'static str) -> AnswerBody {
    Either::Left(Full::new(Bytes::from_static(text.as_bytes())))
}

/// A short answer of generated text.
pub fn short_owned(text: String) -> AnswerBody {
    Either::Left(Full::new(Bytes::from(text)))
}
