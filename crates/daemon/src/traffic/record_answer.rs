//! Records small answers of calls that run under a claim, to replay them when the
//! call is repeated.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;

use lifthollow_protocol::frame::Header;
use lifthollow_protocol::{RecordedAnswer, RecordedHeader, RecordedOutcome};
use lifthollow_transport::http::BackendBody;

/// The part of an answer's body that was read before the answer is passed on.
pub struct ReadAnswer {
    /// The part of the body that was read.
    pub body_prefix: Vec<Bytes>,
    /// The outcome to record for repeats of the call; `None` if the body ended early.
    pub outcome: Option<RecordedOutcome>,
}

/// Reads the body until it ends or exceeds [`RecordedAnswer::MAX_BYTES`].
pub async fn read_answer(response: &mut Response<BackendBody>, headers: &[Header]) -> ReadAnswer {
    let mut answer = RecordedAnswer {
        status: response.status().as_u16(),
        headers: headers.iter().map(recorded_header).collect(),
        body: Vec::new(),
    };
    let mut body_prefix = Vec::new();
    while answer.size() <= RecordedAnswer::MAX_BYTES {
        let frame = match response.body_mut().frame().await {
            None => {
                let outcome = Some(RecordedOutcome::Completed(answer));
                return ReadAnswer {
                    body_prefix,
                    outcome,
                };
            }
            Some(Err(_)) => {
                let outcome = None;
                return ReadAnswer {
                    body_prefix,
                    outcome,
                };
            }
            Some(Ok(frame)) => frame,
        };
        if let Ok(data) = frame.into_data() {
            answer.body.extend_from_slice(&data);
            body_prefix.push(data);
        }
    }
    ReadAnswer {
        body_prefix,
        outcome: Some(RecordedOutcome::AnswerTooLarge),
    }
}

/// The headers of a recorded answer, as they are sent to the caller's node.
pub fn recorded_headers(answer: &RecordedAnswer) -> Vec<Header> {
    let header = |header: &RecordedHeader| Header {
        name: header.name.clone(),
        value: header.value.clone(),
    };
    answer.headers.iter().map(header).collect()
}

fn recorded_header(header: &Header) -> RecordedHeader {
    RecordedHeader {
        name: header.name.clone(),
        value: header.value.clone(),
    }
}
