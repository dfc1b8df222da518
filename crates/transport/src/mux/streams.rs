//! The streams that are open on one connection, as both ends keep them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::{Semaphore, oneshot};

use lifthollow_protocol::frame::{AnswerHead, Frame, STREAM_WINDOW_BYTES, StreamId};

use crate::mux::buffered::BufferedBytes;
use crate::mux::queue::FrameQueue;

/// What a stream's reader is handed. When the channel ends without
/// [`StreamEvent::End`], the stream broke.
#[derive(Debug)]
pub(super) enum StreamEvent {
    Head(Box<AnswerHead>),
    Data(Bytes),
    End,
}

/// Body bytes of one stream that were received and not read.
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

    /// Counts received bytes; false if the sender overran the window.
    fn receive(&self, bytes: usize) -> bool {
        self.total.add(bytes);
        self.stream.fetch_add(bytes, Ordering::AcqRel) + bytes <= STREAM_WINDOW_BYTES
    }

    /// Counts bytes handed to the reader.
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

/// The connection's side of one stream.
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

/// The user's side of one stream.
pub(super) struct StreamParts {
    pub(super) events: flume::Receiver<StreamEvent>,
    pub(super) window: Arc<Semaphore>,
    pub(super) unread: Arc<Unread>,
    /// Ends when the stream leaves the connection's list.
    pub(super) closed: oneshot::Receiver<()>,
}

/// A peer broke the rules of the protocol; the connection is of no more use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolViolation {
    /// It sent more body bytes than the window allows.
    #[error("stream {} overran its window", .0.0)]
    WindowOverrun(StreamId),
    /// It sent a frame that has no meaning in this direction.
    #[error("unexpected frame")]
    UnexpectedFrame,
    /// It opened more streams at once than a connection may have.
    #[error("too many streams")]
    TooManyStreams,
    /// It opened a stream number twice.
    #[error("stream {} opened twice", .0.0)]
    StreamReused(StreamId),
}

#[derive(Default)]
struct Table {
    entries: HashMap<StreamId, Entry>,
    /// No new streams; the connection closes with the last one.
    draining: bool,
    closed: bool,
}

/// All streams of one connection.
pub(super) struct Streams {
    table: Mutex<Table>,
    queue: FrameQueue,
    buffered: BufferedBytes,
}

impl Streams {
    pub(super) fn new(queue: FrameQueue, buffered: BufferedBytes) -> Self {
        Streams {
            table: Mutex::default(),
            queue,
            buffered,
        }
    }

    pub(super) fn queue(&self) -> &FrameQueue {
        &self.queue
    }

    /// Lists a stream; `None` if no more streams may be opened.
    pub(super) fn insert(&self, stream: StreamId) -> Option<StreamParts> {
        let (entry, parts) = self.stream_ends();
        let mut table = self.lock();
        if table.draining || table.closed {
            return None;
        }
        table.entries.insert(stream, entry);
        Some(parts)
    }

    pub(super) fn contains(&self, stream: StreamId) -> bool {
        self.lock().entries.contains_key(&stream)
    }

    pub(super) fn len(&self) -> usize {
        self.lock().entries.len()
    }

    /// Whether new streams may be opened.
    pub(super) fn accepts(&self) -> bool {
        let table = self.lock();
        !table.draining && !table.closed
    }

    /// Takes a stream off the list; false if it was not on it.
    pub(super) fn remove(&self, stream: StreamId) -> bool {
        let mut table = self.lock();
        let removed = table.entries.remove(&stream);
        if table.draining && table.entries.is_empty() {
            self.queue.close();
        }
        removed.is_some()
    }

    /// Takes a stream off the list and tells the other end, if it was on it.
    pub(super) fn cancel(&self, stream: StreamId) {
        if self.remove(stream) {
            let _ = self.queue.send(Frame::Cancel(stream));
        }
    }

    /// No new streams; the connection is closed when the last one has ended.
    pub(super) fn drain(&self) {
        let mut table = self.lock();
        table.draining = true;
        if table.entries.is_empty() {
            self.queue.close();
        }
    }

    /// The connection is gone: every stream breaks.
    pub(super) fn close(&self) {
        let mut table = self.lock();
        table.closed = true;
        let broken = std::mem::take(&mut table.entries);
        drop(table);
        drop(broken);
    }

    /// Hands body bytes to a stream's reader. Bytes of a stream that is no longer
    /// listed are dropped.
    pub(super) fn receive_data(
        &self,
        stream: StreamId,
        bytes: Bytes,
    ) -> Result<(), ProtocolViolation> {
        let table = self.lock();
        let Some(entry) = table.entries.get(&stream) else {
            return Ok(());
        };
        if !entry.unread.receive(bytes.len()) {
            return Err(ProtocolViolation::WindowOverrun(stream));
        }
        let _ = entry.events.send(StreamEvent::Data(bytes));
        Ok(())
    }

    /// Hands an event without bytes to a stream's reader.
    pub(super) fn notify(&self, stream: StreamId, event: StreamEvent) {
        if let Some(entry) = self.lock().entries.get(&stream) {
            let _ = entry.events.send(event);
        }
    }

    /// The other end has read `bytes` more.
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

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
