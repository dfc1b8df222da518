//! Sending and receiving the body of one stream, with flow control.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use flume::r#async::RecvStream;
use futures_util::Stream;
use futures_util::StreamExt;
use tokio::sync::Semaphore;

use lifthollow_protocol::frame::{Frame, MAX_DATA_BYTES, STREAM_WINDOW_BYTES, StreamId};

use crate::mux::streams::{StreamEvent, Streams, Unread};

/// Number of bytes read since the last credit frame at which a reader returns credit again.
const CREDIT_STEP_BYTES: usize = STREAM_WINDOW_BYTES / 4;

/// The stream ended before its body was complete: the other end cancelled the stream,
/// or the connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream ended before its body was complete")]
pub struct StreamClosed;

/// Action on the stream after a body has been sent completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterBody {
    /// The stream stays open, because the answer is still expected.
    KeepStream,
    /// The stream ends, because nothing more is expected in either direction.
    EndStream,
}

/// Sends the body of a stream. Dropping it before [`BodySender::finish`] cancels the stream.
pub struct BodySender {
    stream: StreamId,
    streams: Arc<Streams>,
    window: Arc<Semaphore>,
    after: AfterBody,
    finished: bool,
}

impl BodySender {
    pub(super) fn new(
        stream: StreamId,
        streams: Arc<Streams>,
        window: Arc<Semaphore>,
        after: AfterBody,
    ) -> Self {
        BodySender {
            stream,
            streams,
            window,
            after,
            finished: false,
        }
    }

    /// Sends bytes, waiting for flow-control credit from the reader where necessary.
    pub async fn send(&mut self, mut bytes: Bytes) -> Result<(), StreamClosed> {
        while !bytes.is_empty() {
            let piece = bytes.split_to(bytes.len().min(MAX_DATA_BYTES));
            let credit = self.window.acquire_many(piece.len() as u32).await;
            credit.map_err(|_| StreamClosed)?.forget();
            let queue = self.streams.queue();
            queue
                .send_data(self.stream, piece)
                .await
                .map_err(|_| StreamClosed)?;
        }
        Ok(())
    }

    /// Marks the body as complete.
    pub fn finish(mut self) {
        self.finished = true;
        let _ = self.streams.queue().send(Frame::End(self.stream));
        if self.after == AfterBody::EndStream {
            self.streams.remove(self.stream);
        }
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if !self.finished {
            self.streams.cancel(self.stream);
        }
    }
}

/// Receives the body of a stream.
pub struct BodyReceiver {
    stream: StreamId,
    streams: Arc<Streams>,
    events: RecvStream<'static, StreamEvent>,
    unread: Arc<Unread>,
    unreturned_credit: usize,
    ended: bool,
    cancel_on_drop: bool,
}

impl BodyReceiver {
    /// Creates a receiver. With `cancel_on_drop`, dropping it before the end of the body cancels
    /// the stream.
    pub(super) fn new(
        stream: StreamId,
        streams: Arc<Streams>,
        events: flume::Receiver<StreamEvent>,
        unread: Arc<Unread>,
        cancel_on_drop: bool,
    ) -> Self {
        BodyReceiver {
            stream,
            streams,
            events: events.into_stream(),
            unread,
            unreturned_credit: 0,
            ended: false,
            cancel_on_drop,
        }
    }

    /// Waits for the next bytes of the body; returns `None` after the last ones.
    pub async fn next(&mut self) -> Option<Result<Bytes, StreamClosed>> {
        StreamExt::next(self).await
    }

    pub(super) async fn next_event(&mut self) -> Option<StreamEvent> {
        self.events.next().await
    }

    /// Marks the body as empty and complete.
    pub(super) fn end(&mut self) {
        self.ended = true;
    }

    /// Counts bytes as read and returns credit in steps, so that few credit frames are sent.
    fn return_credit(&mut self, bytes: usize) {
        self.unread.read(bytes);
        self.unreturned_credit += bytes;
        if self.unreturned_credit >= CREDIT_STEP_BYTES {
            let credit = Frame::Credit(self.stream, self.unreturned_credit as u32);
            let _ = self.streams.queue().send(credit);
            self.unreturned_credit = 0;
        }
    }
}

impl Stream for BodyReceiver {
    type Item = Result<Bytes, StreamClosed>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match ready!(self.events.poll_next_unpin(context)) {
            Some(StreamEvent::Data(bytes)) => {
                self.return_credit(bytes.len());
                Poll::Ready(Some(Ok(bytes)))
            }
            Some(StreamEvent::End) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Some(StreamEvent::Head(_)) | None => {
                self.ended = true;
                Poll::Ready(Some(Err(StreamClosed)))
            }
        }
    }
}

impl Drop for BodyReceiver {
    fn drop(&mut self) {
        if self.cancel_on_drop && !self.ended {
            self.streams.cancel(self.stream);
        }
    }
}
