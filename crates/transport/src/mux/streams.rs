//! Registry of the open streams of one connection, used at both ends.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::{Semaphore, oneshot};

use lifthollow_protocol::frame::{AnswerHead, Frame, STREAM_WINDOW_BYTES, StreamId};

use crate::mux::buffered::BufferedBytes;
use crate::mux::queue::FrameQueue;

/// Event for the reader of a stream. If the channel closes without
/// [`StreamEvent::End`], the stream ended early.
#[derive(Debug)]
pub(super) enum StreamEvent {
    Head(Box<AnswerHead>),
    Data(Bytes),
    End,
}

/// Number of body bytes of one stream that were received and not yet read.
#[derive(Debug)]
pub(super) struct Unread {
    stream: AtomicUsize,
    total: BufferedBytes,
}

impl Unread {
    fn new(total: BufferedBytes) -> Self {
        Unread {
            stream: AtomicUsize::new(0),
            total,
        }
    }

    /// Counts received bytes; returns false if the sender exceeded the flow-control window.
    fn receive(&self, bytes: usize) -> bool {
        self.total.add(bytes);
        self.stream.fetch_add(bytes, Ordering::AcqRel) + bytes <= STREAM_WINDOW_BYTES
    }

    /// Counts bytes that were passed to the reader.
    pub(super) fn read(&self, bytes: usize) {
        self.stream.fetch_sub(bytes, Ordering::AcqRel);
        self.total.remove(bytes);
    }
}

impl Drop for Unread {
    fn drop(&mut self) {
        self.total.remove(self.stream.load(Ordering::Acquire));
    }
}

/// The connection's end of one stream.
pub(super) struct Entry {
    events: flume::Sender<StreamEvent>,
    window: Arc<Semaphore>,
    unread: Arc<Unread>,
    _closed: oneshot::Sender<()>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.window.close();
    }
}

/// The user's end of one stream.
pub(super) struct StreamParts {
    pub(super) events: flume::Receiver<StreamEvent>,
    pub(super) window: Arc<Semaphore>,
    pub(super) unread: Arc<Unread>,
    /// Completes when the stream is removed from the connection's registry.
    pub(super) closed: oneshot::Receiver<()>,
}

/// A peer violated the protocol, so the connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolViolation {
    /// The peer sent more body bytes than the flow-control window allows.
    #[error("the peer exceeded the flow-control window of stream {}", .0.0)]
    WindowOverrun(StreamId),
    /// The peer sent a frame that is not allowed in this direction.
    #[error("the peer sent a frame that is not allowed in this direction")]
    UnexpectedFrame,
    /// The peer opened more streams than a connection may have at the same time.
    #[error("the peer opened too many streams on one connection")]
    TooManyStreams,
    /// The peer opened a stream with the number of an open stream.
    #[error("the peer opened stream {} twice", .0.0)]
    StreamReused(StreamId),
}

#[derive(Default)]
struct Registry {
    entries: HashMap<StreamId, Entry>,
    /// Whether no new streams may be opened and the connection closes with the last stream.
    draining: bool,
    closed: bool,
}

/// All open streams of one connection.
pub(super) struct Streams {
    registry: Mutex<Registry>,
    queue: FrameQueue,
    buffered: BufferedBytes,
}

impl Streams {
    pub(super) fn new(queue: FrameQueue, buffered: BufferedBytes) -> Self {
        Streams {
            registry: Mutex::default(),
            queue,
            buffered,
        }
    }

    pub(super) fn queue(&self) -> &FrameQueue {
        &self.queue
    }

    /// Registers a stream; returns `None` if no more streams may be opened.
    pub(super) fn insert(&self, stream: StreamId) -> Option<StreamParts> {
        let (entry, parts) = self.stream_ends();
        let mut registry = self.lock();
        if registry.draining || registry.closed {
            return None;
        }
        registry.entries.insert(stream, entry);
        Some(parts)
    }

    pub(super) fn contains(&self, stream: StreamId) -> bool {
        self.lock().entries.contains_key(&stream)
    }

    pub(super) fn len(&self) -> usize {
        self.lock().entries.len()
    }

    /// Returns whether new streams may be opened.
    pub(super) fn accepts(&self) -> bool {
        let registry = self.lock();
        !registry.draining && !registry.closed
    }

    /// Removes a stream; returns false if it was not registered.
    pub(super) fn remove(&self, stream: StreamId) -> bool {
        let mut registry = self.lock();
        let removed = registry.entries.remove(&stream);
        if registry.draining && registry.entries.is_empty() {
            self.queue.close();
        }
        removed.is_some()
    }

    /// Removes a stream and, if it was registered, sends a cancel frame to the other end.
    pub(super) fn cancel(&self, stream: StreamId) {
        if self.remove(stream) {
            let _ = self.queue.send(Frame::Cancel(stream));
        }
    }

    /// Refuses new streams and closes the connection when the last open stream has ended.
    pub(super) fn drain(&self) {
        let mut registry = self.lock();
        registry.draining = true;
        if registry.entries.is_empty() {
            self.queue.close();
        }
    }

    /// Ends all streams, because the connection has failed or was closed.
    pub(super) fn close(&self) {
        let mut registry = self.lock();
        registry.closed = true;
        let broken = std::mem::take(&mut registry.entries);
        drop(registry);
        drop(broken);
    }

    /// Passes body bytes to the reader of a stream. Bytes of a stream that is no longer
    /// registered are dropped.
    pub(super) fn receive_data(
        &self,
        stream: StreamId,
        bytes: Bytes,
    ) -> Result<(), ProtocolViolation> {
        let registry = self.lock();
        let Some(entry) = registry.entries.get(&stream) else {
            return Ok(());
        };
        if !entry.unread.receive(bytes.len()) {
            return Err(ProtocolViolation::WindowOverrun(stream));
        }
        let _ = entry.events.send(StreamEvent::Data(bytes));
        Ok(())
    }

    /// Passes an event without body bytes to the reader of a stream.
    pub(super) fn notify(&self, stream: StreamId, event: StreamEvent) {
        if let Some(entry) = self.lock().entries.get(&stream) {
            let _ = entry.events.send(event);
        }
    }

    /// Adds flow-control credit, because the other end has read `bytes` more.
    pub(super) fn add_credit(&self, stream: StreamId, bytes: u32) {
        if let Some(entry) = self.lock().entries.get(&stream) {
            let room = STREAM_WINDOW_BYTES.saturating_sub(entry.window.available_permits());
            entry.window.add_permits(room.min(bytes as usize));
        }
    }

    fn stream_ends(&self) -> (Entry, StreamParts) {
        let (events, event_receiver) = flume::unbounded();
        let (closed, closed_receiver) = oneshot::channel();
        let window = Arc::new(Semaphore::new(STREAM_WINDOW_BYTES));
        let unread = Arc::new(Unread::new(self.buffered.clone()));
        let entry = Entry {
            events,
            window: window.clone(),
            unread: unread.clone(),
            _closed: closed,
        };
        let parts = StreamParts {
            events: event_receiver,
            window,
            unread,
            closed: closed_receiver,
        };
        (entry, parts)
    }

    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
