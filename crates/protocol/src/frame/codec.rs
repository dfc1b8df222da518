//! Encoding and decoding of length-prefixed frames.

use std::convert::Infallible;

use bytes::{Buf, Bytes, BytesMut};
use minicbor::Encoder;
use minicbor::encode::Write;

use crate::frame::message::WireFrame;
use crate::frame::{Frame, LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES, StreamId};

/// Why the bytes of a connection are not a valid frame. The connection can't be used any more.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The frame's length exceeds [`MAX_FRAME_BYTES`].
    #[error("a frame of {length} bytes exceeds the maximum of {MAX_FRAME_BYTES}")]
    TooLong {
        /// Length of the frame without its length prefix, bytes.
        length: usize,
    },
    /// The payload is not the CBOR encoding of a frame.
    #[error("malformed frame: {0}")]
    Malformed(#[from] minicbor::decode::Error),
    /// The length prefix includes bytes after the end of the encoded frame.
    #[error("{surplus} bytes after the end of a frame")]
    Surplus {
        /// Number of bytes after the end of the encoded frame.
        surplus: usize,
    },
    /// The connection ended inside a frame.
    #[error("the connection ended inside a frame: {missing} bytes are missing")]
    Truncated {
        /// Minimum number of bytes that are missing.
        missing: usize,
    },
}

/// Writes CBOR by appending to a buffer, which never fails.
struct BufferWriter<'buffer>(&'buffer mut BytesMut);

impl Write for BufferWriter<'_> {
    type Error = Infallible;

    fn write_all(&mut self, bytes: &[u8]) -> Result<(), Infallible> {
        self.0.extend_from_slice(bytes);
        Ok(())
    }
}

/// Appends a frame with its length prefix to `buffer`.
///
/// Fails if the frame would exceed [`MAX_FRAME_BYTES`]; `buffer` is then unchanged.
pub fn encode_frame(frame: Frame, buffer: &mut BytesMut) -> Result<(), FrameError> {
    let wire = match frame {
        Frame::Data(stream, bytes) => return encode_data(stream, &bytes, buffer),
        Frame::Hello(hello) => WireFrame::Hello(hello),
        Frame::Open(stream, open) => WireFrame::Open(stream, open),
        Frame::Credit(stream, bytes) => WireFrame::Credit(stream, bytes),
        Frame::Head(stream, head) => WireFrame::Head(stream, head),
        Frame::End(stream) => WireFrame::End(stream),
        Frame::Cancel(stream) => WireFrame::Cancel(stream),
        Frame::Ping(number) => WireFrame::Ping(number),
        Frame::Pong(number) => WireFrame::Pong(number),
        Frame::GoAway => WireFrame::GoAway,
    };
    let start = reserve_length_prefix(buffer);
    let written = minicbor::encode(wire, BufferWriter(buffer));
    debug_assert!(written.is_ok(), "writing to memory does not fail");
    finish(buffer, start, 0)
}

fn encode_data(stream: StreamId, bytes: &Bytes, buffer: &mut BytesMut) -> Result<(), FrameError> {
    encode_data_head(stream, bytes.len(), buffer)?;
    buffer.extend_from_slice(bytes);
    Ok(())
}

/// Appends a [`Frame::Data`] without its `length` body bytes. The caller sends the
/// body bytes directly afterwards, so that they need not be copied.
pub fn encode_data_head(
    stream: StreamId,
    length: usize,
    buffer: &mut BytesMut,
) -> Result<(), FrameError> {
    const DATA_INDEX: u8 = 2;
    let start = reserve_length_prefix(buffer);
    let mut encoder = Encoder::new(BufferWriter(buffer));
    let written = encoder
        .array(2)
        .and_then(|encoder| encoder.u8(DATA_INDEX))
        .and_then(|encoder| encoder.array(2))
        .and_then(|encoder| encoder.u32(stream.0))
        .and_then(|encoder| encoder.bytes_len(length as u64));
    debug_assert!(written.is_ok(), "writing to memory does not fail");
    finish(buffer, start, length)
}

fn reserve_length_prefix(buffer: &mut BytesMut) -> usize {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; LENGTH_PREFIX_BYTES]);
    start
}

fn finish(buffer: &mut BytesMut, start: usize, following_bytes: usize) -> Result<(), FrameError> {
    let length = buffer.len() - start - LENGTH_PREFIX_BYTES + following_bytes;
    if length > MAX_FRAME_BYTES {
        buffer.truncate(start);
        return Err(FrameError::TooLong { length });
    }
    let prefix = (length as u32).to_be_bytes();
    buffer[start..start + LENGTH_PREFIX_BYTES].copy_from_slice(&prefix);
    Ok(())
}

/// Decodes frames from the byte stream of one connection.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Returns the buffer to which the connection's reader appends received bytes.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Decodes the next complete frame; returns `None` if more bytes are needed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(length) = self.frame_length()? else {
            return Ok(None);
        };
        if self.buffer.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_PREFIX_BYTES);
        let payload = self.buffer.split_to(length).freeze();
        decode_payload(&payload).map(Some)
    }

    /// Must be called when the connection has ended; returns an error if it ended
    /// inside a frame.
    pub fn finish(&self) -> Result<(), FrameError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let expected = match self.frame_length()? {
            Some(length) => LENGTH_PREFIX_BYTES + length,
            None => LENGTH_PREFIX_BYTES,
        };
        let missing = expected.saturating_sub(self.buffer.len());
        Err(FrameError::Truncated { missing })
    }

    fn frame_length(&self) -> Result<Option<usize>, FrameError> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong { length });
        }
        Ok(Some(length))
    }
}

/// Decodes a frame from its payload. The body bytes of the frame share the payload's memory.
fn decode_payload(payload: &Bytes) -> Result<Frame, FrameError> {
    let mut decoder = minicbor::Decoder::new(payload);
    let wire: WireFrame<'_> = decoder.decode()?;
    let surplus = payload.len() - decoder.position();
    if surplus > 0 {
        return Err(FrameError::Surplus { surplus });
    }
    Ok(match wire {
        WireFrame::Hello(hello) => Frame::Hello(hello),
        WireFrame::Open(stream, open) => Frame::Open(stream, open),
        WireFrame::Data(stream, bytes) => Frame::Data(stream, payload.slice_ref(bytes)),
        WireFrame::Credit(stream, bytes) => Frame::Credit(stream, bytes),
        WireFrame::Head(stream, head) => Frame::Head(stream, head),
        WireFrame::End(stream) => Frame::End(stream),
        WireFrame::Cancel(stream) => Frame::Cancel(stream),
        WireFrame::Ping(number) => Frame::Ping(number),
        WireFrame::Pong(number) => Frame::Pong(number),
        WireFrame::GoAway => Frame::GoAway,
    })
}
