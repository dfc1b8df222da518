//! Queue of frames to be written to a connection.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use lifthollow_protocol::frame::{Frame, FrameError, Open, StreamId};
use lifthollow_protocol::frame::{encode_data_head, encode_frame};

/// Maximum number of queued body bytes, over all streams of a connection.
const MAX_BACKLOG_BYTES: usize = 1024 * 1024;
/// Size up to which encoded frames are collected before they are written, bytes.
const WRITE_BATCH_BYTES: usize = 64 * 1024;
/// Minimum size of body data that is written to the socket without copying it, bytes.
const MIN_UNCOPIED_BYTES: usize = 4 * 1024;

/// The connection is closed, so nothing more can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection is closed")]
pub(super) struct ConnectionClosed;

/// State of a queued open frame, which shows whether it may have reached the other node.
#[derive(Debug, Default)]
pub(super) struct OpenState(AtomicU8);

const QUEUED: u8 = 0;
const WRITING_BEGUN: u8 = 1;
const ABANDONED: u8 = 2;

impl OpenState {
    /// Called before the frame's first byte is written; returns false if the frame must not be
    /// written because it was abandoned.
    fn begin_writing(&self) -> bool {
        self.leave_queue(WRITING_BEGUN)
    }

    /// Called when the attempt is abandoned; returns true if the frame was not written and
    /// never will be.
    pub(super) fn abandon(&self) -> bool {
        self.leave_queue(ABANDONED) || self.0.load(Ordering::Acquire) == ABANDONED
    }

    fn leave_queue(&self, next: u8) -> bool {
        self.0
            .compare_exchange(QUEUED, next, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }
}

enum Queued {
    Frame(Frame),
    Open(StreamId, Box<Open>, Arc<OpenState>),
    Data(StreamId, Bytes, OwnedSemaphorePermit),
    Close,
}

/// The sending end of a connection's frame queue; cheap to clone.
#[derive(Clone)]
pub(super) struct FrameQueue {
    sender: flume::Sender<Queued>,
    backlog: Arc<Semaphore>,
}

/// The receiving end of a connection's frame queue, for [`write_frames`].
pub(super) struct QueuedFrames {
    receiver: flume::Receiver<Queued>,
    backlog: Arc<Semaphore>,
}

impl Drop for QueuedFrames {
    /// Wakes all senders that wait for capacity, because nothing is written any more.
    fn drop(&mut self) {
        self.backlog.close();
        self.receiver.drain();
    }
}

/// Creates the frame queue of one connection.
pub(super) fn frame_queue() -> (FrameQueue, QueuedFrames) {
    let (sender, receiver) = flume::unbounded();
    let backlog = Arc::new(Semaphore::new(MAX_BACKLOG_BYTES));
    let frames = QueuedFrames {
        receiver,
        backlog: backlog.clone(),
    };
    (FrameQueue { sender, backlog }, frames)
}

impl FrameQueue {
    /// Queues a frame without body bytes.
    pub(super) fn send(&self, frame: Frame) -> Result<(), ConnectionClosed> {
        self.push(Queued::Frame(frame))
    }

    /// Queues an open frame, which is not written if it is abandoned before its turn.
    pub(super) fn send_open(
        &self,
        stream: StreamId,
        open: Box<Open>,
        state: Arc<OpenState>,
    ) -> Result<(), ConnectionClosed> {
        self.push(Queued::Open(stream, open, state))
    }

    /// Waits until the connection's backlog has capacity for the body bytes, then queues them.
    pub(super) async fn send_data(
        &self,
        stream: StreamId,
        bytes: Bytes,
    ) -> Result<(), ConnectionClosed> {
        let backlog = self.backlog.clone();
        let permit = backlog
            .acquire_many_owned(bytes.len() as u32)
            .await
            .map_err(|_| ConnectionClosed)?;
        self.push(Queued::Data(stream, bytes, permit))
    }

    /// Closes the connection after all queued frames are written.
    pub(super) fn close(&self) {
        let _ = self.push(Queued::Close);
    }

    fn push(&self, queued: Queued) -> Result<(), ConnectionClosed> {
        self.sender.send(queued).map_err(|_| ConnectionClosed)
    }
}

/// Why the writer of a connection stopped before its queue was closed.
#[derive(Debug, thiserror::Error)]
pub(super) enum WriteError {
    /// Writing to the socket failed.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// A frame exceeded the maximum size and can't be sent.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// Writes frames until the queue is closed or the socket fails.
pub(super) async fn write_frames(
    frames: QueuedFrames,
    mut socket: OwnedWriteHalf,
) -> Result<(), WriteError> {
    let mut batch = Batch::default();
    while let Ok(first) = frames.receiver.recv_async().await {
        let mut next = Some(first);
        while let Some(queued) = next.take() {
            if matches!(queued, Queued::Close) {
                batch.write_to(&mut socket).await?;
                socket.shutdown().await?;
                return Ok(());
            }
            batch.add(queued, &mut socket).await?;
            if batch.buffer.len() < WRITE_BATCH_BYTES {
                next = frames.receiver.try_recv().ok();
            }
        }
        batch.write_to(&mut socket).await?;
    }
    Ok(())
}

/// Encoded frames that are written to the socket together.
#[derive(Default)]
struct Batch {
    buffer: BytesMut,
    permits: Vec<OwnedSemaphorePermit>,
}

impl Batch {
    async fn add(&mut self, queued: Queued, socket: &mut OwnedWriteHalf) -> Result<(), WriteError> {
        match queued {
            Queued::Frame(frame) => encode_frame(frame, &mut self.buffer)?,
            Queued::Open(stream, open, state) => {
                if state.begin_writing() {
                    encode_frame(Frame::Open(stream, open), &mut self.buffer)?;
                }
            }
            Queued::Data(stream, bytes, permit) => {
                self.permits.push(permit);
                self.add_data(stream, bytes, socket).await?;
            }
            Queued::Close => {}
        }
        Ok(())
    }

    async fn add_data(
        &mut self,
        stream: StreamId,
        bytes: Bytes,
        socket: &mut OwnedWriteHalf,
    ) -> Result<(), WriteError> {
        encode_data_head(stream, bytes.len(), &mut self.buffer)?;
        if bytes.len() < MIN_UNCOPIED_BYTES {
            self.buffer.extend_from_slice(&bytes);
            return Ok(());
        }
        let mut chained = Buf::chain(&self.buffer[..], bytes);
        socket.write_all_buf(&mut chained).await?;
        self.clear();
        Ok(())
    }

    async fn write_to(&mut self, socket: &mut OwnedWriteHalf) -> Result<(), WriteError> {
        socket.write_all(&self.buffer).await?;
        self.clear();
        Ok(())
    }

    fn clear(&mut self) {
        self.buffer.clear();
        self.permits.clear();
    }
}
