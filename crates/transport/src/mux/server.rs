//! The accepting end of a connection, which answers streams.

use std::io;
use std::sync::{Arc, Mutex, PoisonError, Weak};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use lifthollow_protocol::frame::{AnswerHead, Frame, Hello, Open, PROTOCOL_VERSION, StreamId};
use lifthollow_state::NodeId;

use crate::mux::MAX_STREAMS_PER_CONNECTION;
use crate::mux::body::{AfterBody, BodyReceiver, BodySender};
use crate::mux::buffered::BufferedBytes;
use crate::mux::queue::{FrameQueue, frame_queue, write_frames};
use crate::mux::reader::{ConnectionError, FrameReader};
use crate::mux::streams::{ProtocolViolation, StreamEvent, StreamParts, Streams};

/// An attempt that another node has opened.
pub struct IncomingAttempt {
    /// The node that opened the attempt.
    pub from: NodeId,
    /// The frame that opened the attempt, with service, method, path and headers.
    pub open: Box<Open>,
    /// Receives the body of the call.
    pub body: BodyReceiver,
    /// Sends the answer to the attempt.
    pub answer: AnswerSender,
    /// Signals that the other node has cancelled the attempt.
    pub cancelled: CancelSignal,
}

/// Signal that completes when the attempt is cancelled or its connection fails.
pub struct CancelSignal(oneshot::Receiver<()>);

impl CancelSignal {
    /// Waits until the attempt is cancelled or its connection fails.
    pub async fn cancelled(&mut self) {
        let _ = (&mut self.0).await;
    }
}

/// Answers an attempt. Dropping it leaves the other node with an unknown outcome.
pub struct AnswerSender {
    body: BodySender,
    queue: FrameQueue,
    stream: StreamId,
}

impl AnswerSender {
    /// Sends the head of the answer; the body is sent with the returned [`BodySender`].
    pub fn send_head(self, head: AnswerHead) -> BodySender {
        let frame = Frame::Head(self.stream, Box::new(head));
        let _ = self.queue.send(frame);
        self.body
    }

    /// Sends an answer without a body.
    pub fn send_bodiless(self, head: AnswerHead) {
        self.send_head(head).finish();
    }
}

/// Accepts connections of other nodes and passes on the attempts opened on them.
pub struct MuxServer {
    own: NodeId,
    attempts: flume::Sender<IncomingAttempt>,
    buffered: BufferedBytes,
    connections: Mutex<Connections>,
}

#[derive(Default)]
struct Connections {
    streams: Vec<Weak<Streams>>,
    leaving: bool,
}

impl MuxServer {
    /// Creates the server of the node `own`, which sends attempts to the channel `attempts`.
    pub fn new(
        own: NodeId,
        attempts: flume::Sender<IncomingAttempt>,
        buffered: BufferedBytes,
    ) -> Self {
        MuxServer {
            own,
            attempts,
            buffered,
            connections: Mutex::default(),
        }
    }

    /// Accepts connections until the listener fails or the future is dropped. All
    /// connections are closed when the future ends.
    pub async fn run(&self, listener: TcpListener) -> io::Result<()> {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((socket, _)) => {
                        if let Ok(connection) = self.connection(socket) {
                            connections.spawn(connection.run());
                        }
                    }
                    Err(error) if affects_one_connection_only(&error) => {}
                    Err(error) => return Err(error),
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }

    /// Asks all connected nodes to open no more attempts, because this node is shutting down.
    pub fn leave(&self) {
        let mut connections = self.lock();
        connections.leaving = true;
        for streams in connections.streams.iter().filter_map(Weak::upgrade) {
            let _ = streams.queue().send(Frame::GoAway);
        }
    }

    /// Returns the number of open connections from other nodes.
    pub fn open_connections(&self) -> usize {
        let connections = self.lock();
        let open = connections.streams.iter();
        open.filter(|streams| streams.strong_count() > 0).count()
    }

    fn connection(&self, socket: TcpStream) -> io::Result<Connection> {
        socket.set_nodelay(true)?;
        let (queue, frames) = frame_queue();
        let streams = Arc::new(Streams::new(queue, self.buffered.clone()));
        self.register(&streams);
        let (read_half, write_half) = socket.into_split();
        let writer_streams = streams.clone();
        tokio::spawn(async move {
            let _ = write_frames(frames, write_half).await;
            writer_streams.close();
        });
        Ok(Connection {
            reader: FrameReader::new(read_half),
            streams,
            attempts: self.attempts.clone(),
        })
    }

    /// Sends the hello frame and registers the connection for [`MuxServer::leave`].
    fn register(&self, streams: &Arc<Streams>) {
        let hello = Hello {
            version: PROTOCOL_VERSION,
            node: self.own.as_u64(),
        };
        let _ = streams.queue().send(Frame::Hello(hello));
        let mut connections = self.lock();
        if connections.leaving {
            let _ = streams.queue().send(Frame::GoAway);
        }
        connections.streams.retain(|known| known.strong_count() > 0);
        connections.streams.push(Arc::downgrade(streams));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether an accept error concerns only one connection, so the listener stays usable.
fn affects_one_connection_only(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
    )
}

struct Connection {
    reader: FrameReader,
    streams: Arc<Streams>,
    attempts: flume::Sender<IncomingAttempt>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.streams.close();
        self.streams.queue().close();
    }
}

impl Connection {
    async fn run(mut self) {
        let _ = self.serve().await;
    }

    async fn serve(&mut self) -> Result<(), ConnectionError> {
        let from = self.reader.hello().await?;
        loop {
            let frame = self.reader.next(self.streams.queue()).await?;
            self.receive(from, frame)?;
        }
    }

    fn receive(&self, from: NodeId, frame: Frame) -> Result<(), ProtocolViolation> {
        let streams = &self.streams;
        match frame {
            Frame::Open(stream, open) => self.open(from, stream, open)?,
            Frame::Data(stream, bytes) => streams.receive_data(stream, bytes)?,
            Frame::End(stream) => streams.notify(stream, StreamEvent::End),
            Frame::Cancel(stream) => drop(streams.remove(stream)),
            Frame::Credit(stream, bytes) => streams.add_credit(stream, bytes),
            Frame::Hello(_) | Frame::Head(..) | Frame::GoAway => {
                return Err(ProtocolViolation::UnexpectedFrame);
            }
            Frame::Ping(_) | Frame::Pong(_) => {}
        }
        Ok(())
    }

    fn open(
        &self,
        from: NodeId,
        stream: StreamId,
        open: Box<Open>,
    ) -> Result<(), ProtocolViolation> {
        if self.streams.len() >= MAX_STREAMS_PER_CONNECTION {
            return Err(ProtocolViolation::TooManyStreams);
        }
        if self.streams.contains(stream) {
            return Err(ProtocolViolation::StreamReused(stream));
        }
        if let Some(parts) = self.streams.insert(stream) {
            let attempt = self.incoming_attempt(from, stream, open, parts);
            let _ = self.attempts.send(attempt);
        }
        Ok(())
    }

    fn incoming_attempt(
        &self,
        from: NodeId,
        stream: StreamId,
        open: Box<Open>,
        parts: StreamParts,
    ) -> IncomingAttempt {
        let streams = &self.streams;
        let mut body =
            BodyReceiver::new(stream, streams.clone(), parts.events, parts.unread, false);
        if open.bodiless {
            body.end();
        }
        let answer_body =
            BodySender::new(stream, streams.clone(), parts.window, AfterBody::EndStream);
        let answer = AnswerSender {
            body: answer_body,
            queue: streams.queue().clone(),
            stream,
        };
        IncomingAttempt {
            from,
            open,
            body,
            answer,
            cancelled: CancelSignal(parts.closed),
        }
    }
}
