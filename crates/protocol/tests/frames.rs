//! Tests of encoding and decoding frames, and of bytes that are not valid frames.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use lifthollow_protocol::frame::{
    AnswerHead, Frame, FrameDecoder, FrameError, Header, Hello, LENGTH_PREFIX_BYTES,
    MAX_FRAME_BYTES, Open, PROTOCOL_VERSION, StreamId, WireContext, encode_frame,
};
use lifthollow_protocol::{AttemptResult, LoadReport, RefusalReason};
use lifthollow_state::{
    IdempotencyKey, Priority, PriorityClass, RequestContext, RequestId, RetryAllowance, Timestamp,
};
use quickcheck::{TestResult, quickcheck};

fn context() -> RequestContext {
    RequestContext {
        request: RequestId(7 << 100),
        deadline: Timestamp::from_micros(5_000),
        priority: Priority {
            class: PriorityClass::Critical,
            user: 9,
        },
        idempotency_key: Some(IdempotencyKey(11)),
        allowance: RetryAllowance(3),
    }
}

fn open(path: &str, value: Vec<u8>) -> Open {
    Open {
        service: "feeds".to_owned(),
        context: WireContext::leaving_at(&context(), Timestamp::from_micros(1_000)),
        method: "GET".to_owned(),
        path: path.to_owned(),
        headers: vec![Header {
            name: "x".to_owned(),
            value,
        }],
        body_digest: 1,
        bodiless: false,
    }
}

fn every_frame(bytes: Vec<u8>) -> Vec<Frame> {
    let stream = StreamId(u32::MAX);
    let head = AnswerHead {
        result: AttemptResult::NotRun {
            reason: RefusalReason::QueueFull,
            retry_after: Duration::from_millis(1_500),
        },
        status: 503,
        headers: Vec::new(),
        load: LoadReport::default(),
        unspent: 2,
    };
    vec![
        Frame::Hello(Hello {
            version: PROTOCOL_VERSION,
            node: 5,
        }),
        Frame::Open(stream, Box::new(open("/", bytes.clone()))),
        Frame::Data(stream, Bytes::from(bytes)),
        Frame::Credit(stream, 1),
        Frame::Head(stream, Box::new(head)),
        Frame::End(stream),
        Frame::Cancel(stream),
        Frame::Ping(u64::MAX),
        Frame::Pong(0),
        Frame::GoAway,
    ]
}

fn encode(frames: &[Frame]) -> BytesMut {
    let mut buffer = BytesMut::new();
    for frame in frames {
        encode_frame(frame.clone(), &mut buffer).unwrap();
    }
    buffer
}

fn decoder(bytes: &[u8]) -> FrameDecoder {
    let mut decoder = FrameDecoder::default();
    decoder.buffer().extend_from_slice(bytes);
    decoder
}

quickcheck! {
    fn frames_round_trip_when_split_across_reads(body: Vec<u8>, cut: usize) -> TestResult {
        if body.len() > MAX_FRAME_BYTES / 2 {
            return TestResult::discard();
        }
        let frames = every_frame(body);
        let bytes = encode(&frames);
        let (first, second) = bytes.split_at(cut % bytes.len());
        let mut decoder = decoder(first);
        let mut decoded = Vec::new();
        while let Some(frame) = decoder.next_frame().unwrap() {
            decoded.push(frame);
        }
        decoder.buffer().extend_from_slice(second);
        while let Some(frame) = decoder.next_frame().unwrap() {
            decoded.push(frame);
        }
        TestResult::from_bool(decoded == frames && decoder.finish().is_ok())
    }

    fn any_bytes_decode_or_fail_without_panic(bytes: Vec<u8>) -> bool {
        let mut decoder = decoder(&bytes);
        while let Ok(Some(_)) = decoder.next_frame() {}
        true
    }
}

#[test]
fn truncated_frame_error_contains_the_missing_bytes() {
    let bytes = encode(&[Frame::Ping(1)]);
    let mut decoder = decoder(&bytes[..bytes.len() - 1]);
    assert!(decoder.next_frame().unwrap().is_none());
    assert!(matches!(
        decoder.finish(),
        Err(FrameError::Truncated { missing: 1 })
    ));
}

#[test]
fn oversized_length_is_rejected_before_its_bytes_arrive() {
    let length = MAX_FRAME_BYTES + 1;
    let prefix = (length as u32).to_be_bytes();
    let result = decoder(&prefix).next_frame();
    assert!(matches!(result, Err(FrameError::TooLong { length: found }) if found == length));
}

#[test]
fn encoding_an_oversized_frame_leaves_the_buffer_unchanged() {
    let mut buffer = encode(&[Frame::GoAway]);
    let before = buffer.clone();
    let frame = Frame::Open(
        StreamId(1),
        Box::new(open("/", vec![b'a'; MAX_FRAME_BYTES])),
    );
    let result = encode_frame(frame, &mut buffer);
    assert!(matches!(result, Err(FrameError::TooLong { .. })));
    assert_eq!(buffer, before);
}

#[test]
fn surplus_bytes_within_the_frame_length_are_rejected() {
    let mut bytes = encode(&[Frame::End(StreamId(1))]);
    bytes.extend_from_slice(&[0]);
    let length = (bytes.len() - LENGTH_PREFIX_BYTES) as u32;
    bytes[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
    let result = decoder(&bytes).next_frame();
    assert!(matches!(result, Err(FrameError::Surplus { surplus: 1 })));
}

#[test]
fn deadline_is_sent_as_remaining_time() {
    let arrival = Timestamp::from_micros(9_000_000);
    let wire = WireContext::leaving_at(&context(), Timestamp::from_micros(1_000));
    let arrived = wire.arriving_at(arrival);
    assert_eq!(arrived.deadline, arrival + Duration::from_micros(4_000));
    assert_eq!(
        RequestContext {
            deadline: context().deadline,
            ..arrived
        },
        context()
    );
}

#[test]
fn expired_deadline_is_sent_as_zero_remaining_time() {
    let late = context().deadline + Duration::from_secs(1);
    let wire = WireContext::leaving_at(&context(), late);
    assert_eq!(wire.arriving_at(Timestamp::ZERO).deadline, Timestamp::ZERO);
}
