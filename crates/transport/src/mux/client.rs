//! The connecting end of a connection, which opens streams.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use lifthollow_protocol::frame::{AnswerHead, Frame, Hello, Open, PROTOCOL_VERSION, StreamId};
use lifthollow_state::NodeId;

use crate::mux::body::{AfterBody, BodyReceiver, BodySender};
use crate::mux::buffered::BufferedBytes;
use crate::mux::queue::{OpenState, frame_queue, write_frames};
use crate::mux::reader::{ConnectionError, FrameReader};
use crate::mux::streams::{ProtocolViolation, StreamEvent, Streams};

/// Time within which a node must accept a connection and send its hello; otherwise it is
/// considered down.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why no connection to a node could be established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The socket could not be connected.
    #[error("connecting to the node: {0}")]
    Socket(#[from] io::Error),
    /// The connection or the exchange of hello frames timed out.
    #[error("no connection to the node within {CONNECT_TIMEOUT:?}")]
    TimedOut,
    /// The exchange of hello frames failed.
    #[error(transparent)]
    Greeting(#[from] ConnectionError),
}

/// Why an attempt has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptFailure {
    /// The open frame was never sent, so the call did not run.
    #[error("the attempt was never sent to the other node")]
    NotSent,
    /// The open frame may have been received, so the call may have run.
    #[error("the connection failed after the attempt was sent")]
    MaybeSent,
}

/// A connection to another node, on which attempts can be opened.
pub struct ClientConnection {
    streams: Arc<Streams>,
    next_stream: AtomicU32,
}

impl ClientConnection {
    /// Connects to `peer` and exchanges hello frames.
    pub async fn connect(
        own: NodeId,
        peer: NodeId,
        buffered: BufferedBytes,
    ) -> Result<ClientConnection, ConnectError> {
        let connecting = connect_and_exchange_hello(own, peer, buffered);
        timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| ConnectError::TimedOut)?
    }

    /// Returns whether new attempts can be opened on the connection.
    pub fn is_usable(&self) -> bool {
        self.streams.accepts()
    }

    /// Opens an attempt. Its body, if it has one, is sent with the [`BodySender`].
    pub fn open(&self, open: Open) -> Result<OpenedAttempt, AttemptFailure> {
        let stream = StreamId(self.next_stream.fetch_add(1, Ordering::Relaxed));
        let stream_parts = self.streams.insert(stream).ok_or(AttemptFailure::NotSent)?;
        let state = Arc::new(OpenState::default());
        let bodiless = open.bodiless;
        let queue = self.streams.queue();
        if queue
            .send_open(stream, Box::new(open), state.clone())
            .is_err()
        {
            self.streams.remove(stream);
            return Err(AttemptFailure::NotSent);
        }
        let body = (!bodiless).then(|| self.body_sender(stream, stream_parts.window));
        let events = BodyReceiver::new(
            stream,
            self.streams.clone(),
            stream_parts.events,
            stream_parts.unread,
            true,
        );
        let answer = AnswerReceiver { events, state };
        Ok(OpenedAttempt { body, answer })
    }

    fn body_sender(&self, stream: StreamId, window: Arc<Semaphore>) -> BodySender {
        let streams = self.streams.clone();
        BodySender::new(stream, streams, window, AfterBody::KeepStream)
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.streams.drain();
    }
}

/// The sending and receiving ends of an opened attempt.
pub struct OpenedAttempt {
    /// Sends the body; none if the open frame states that there is no body.
    pub body: Option<BodySender>,
    /// Receives the answer.
    pub answer: AnswerReceiver,
}

/// Waits for the answer of an attempt. Dropping it cancels the attempt.
pub struct AnswerReceiver {
    events: BodyReceiver,
    state: Arc<OpenState>,
}

impl AnswerReceiver {
    /// Waits for the head of the answer. Its body is read with [`AnswerReceiver::into_body`].
    pub async fn head(&mut self) -> Result<Box<AnswerHead>, AttemptFailure> {
        if let Some(StreamEvent::Head(head)) = self.events.next_event().await {
            return Ok(head);
        }
        if self.state.abandon() {
            return Err(AttemptFailure::NotSent);
        }
        Err(AttemptFailure::MaybeSent)
    }

    /// Returns the receiver for the body of the answer.
    pub fn into_body(self) -> BodyReceiver {
        self.events
    }
}

async fn connect_and_exchange_hello(
    own: NodeId,
    peer: NodeId,
    buffered: BufferedBytes,
) -> Result<ClientConnection, ConnectError> {
    let socket = TcpStream::connect(peer.address()).await?;
    socket.set_nodelay(true)?;
    let (read_half, write_half) = socket.into_split();
    let (queue, frames) = frame_queue();
    let hello = Hello {
        version: PROTOCOL_VERSION,
        node: own.as_u64(),
    };
    let _ = queue.send(Frame::Hello(hello));
    let streams = Arc::new(Streams::new(queue, buffered));
    let writer_streams = streams.clone();
    tokio::spawn(async move {
        let _ = write_frames(frames, write_half).await;
        writer_streams.close();
    });
    // Dropped, and so closed, if the exchange of hello frames fails.
    let connection = ClientConnection {
        streams: streams.clone(),
        next_stream: AtomicU32::new(1),
    };
    let mut reader = FrameReader::new(read_half);
    reader.hello().await?;
    tokio::spawn(run_reader(reader, streams));
    Ok(connection)
}

async fn run_reader(mut reader: FrameReader, streams: Arc<Streams>) {
    while let Ok(frame) = reader.next(streams.queue()).await {
        if receive(frame, &streams).is_err() {
            break;
        }
    }
    streams.close();
    streams.queue().close();
}

fn receive(frame: Frame, streams: &Streams) -> Result<(), ProtocolViolation> {
    match frame {
        Frame::Head(stream, head) => streams.notify(stream, StreamEvent::Head(head)),
        Frame::Data(stream, bytes) => streams.receive_data(stream, bytes)?,
        Frame::End(stream) => {
            streams.notify(stream, StreamEvent::End);
            streams.remove(stream);
        }
        Frame::Cancel(stream) => drop(streams.remove(stream)),
        Frame::Credit(stream, bytes) => streams.add_credit(stream, bytes),
        Frame::GoAway => streams.drain(),
        Frame::Hello(_) | Frame::Open(..) => return Err(ProtocolViolation::UnexpectedFrame),
        Frame::Ping(_) | Frame::Pong(_) => {}
    }
    Ok(())
}
