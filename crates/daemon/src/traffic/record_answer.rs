//! Keeps small answers of calls that run under a claim, for repeats of them.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;

use lifthollow_protocol::frame::Header;
use lifthollow_protocol::{RecordedAnswer, RecordedHeader, RecordedOutcome};
use lifthollow_transport::http::BackendBody;

/// The beginning of an answer's body, read before the answer is passed on.
pub struct ReadAnswer {
    /// The body as far as it was read.
    pub beginning: Vec<Bytes>,
    /// What repeats of the call are to be given; none if the body broke off.
    pub outcome: Option<RecordedOutcome>,
}

/// Reads the whole body, or as much as shows that it is too large.
pub async fn read_answer(response: &mut Response<BackendBody>, headers: &[Header]) -> ReadAnswer {
    let mut answer = RecordedAnswer {
        status: response.status().as_u16(),
        headers: headers.iter().map(recorded_header).collect(),
        body: Vec::new(),
    };
    let mut beginning = Vec::new();
    while answer.size() <= RecordedAnswer::MAX_BYTES {
        let frame = match response.body_mut().frame().await {
            None => {
                let outcome = Some(RecordedOutcome::Completed(answer));
                return ReadAnswer { beginning, outcome };
            }
            Some(Err(_)) => {
                let outcome = None;
                return ReadAnswer { beginning, outcome };
            }
            Some(Ok(frame)) => frame,
        };
        if let Ok(data) = frame.into_data() {
            answer.body.extend_from_slice(&data);
            beginning.push(data);
        }
    }
    ReadAnswer {
        beginning,
        outcome: Some(RecordedOutcome::AnswerTooLarge),
    }
}

/// The headers of a recorded answer, as they cross to the caller's node.
pub fn headers_of(answer: &RecordedAnswer) -> Vec<Header> {
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
