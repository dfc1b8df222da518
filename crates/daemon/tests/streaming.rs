//! Tests that nodes stream large bodies in bounded memory.

mod support;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use lifthollow_protocol::frame::STREAM_WINDOW_BYTES;
use lifthollow_transport::http::{AnyBody, BodyError};
use support::{Pair, backend, connect, to_service};

const ROW: &str = "100,10,10,10,normal,yes,60000";
const CHUNK: Bytes = Bytes::from_static(&[7; 64 * 1024]);
const CHUNKS: usize = 1600;

fn large_body() -> AnyBody {
    let chunks = std::iter::repeat_n(CHUNK, CHUNKS);
    let frames = chunks.map(|chunk| Ok::<_, BodyError>(Frame::data(chunk)));
    StreamBody::new(futures_util::stream::iter(frames)).boxed_unsync()
}

async fn count_body_bytes<B>(mut body: B) -> usize
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Debug,
{
    let mut total = 0;
    while let Some(frame) = body.frame().await {
        total += frame.unwrap().into_data().map_or(0, |data| data.len());
    }
    total
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_hundred_megabytes_are_streamed_within_the_window() {
    let (received, totals) = flume::unbounded();
    let address = backend(move |request| {
        let received = received.clone();
        Box::pin(async move {
            received
                .send(count_body_bytes(request.into_body()).await)
                .unwrap();
            Response::new(large_body())
        })
    })
    .await;
    let pair = Pair::start("audio", ROW, address).await;
    let mut sender = connect(pair.callers()).await;
    let request = to_service("audio", "POST", large_body());
    let response = sender.send_request(request).await.unwrap();
    assert_eq!(totals.recv_async().await.unwrap(), CHUNKS * CHUNK.len());
    let downloaded = count_body_bytes(response.into_body()).await;
    assert_eq!(downloaded, CHUNKS * CHUNK.len());
    assert!(pair.entry.buffered().peak() <= STREAM_WINDOW_BYTES);
    assert!(pair.server.buffered().peak() <= STREAM_WINDOW_BYTES);
    pair.stop().await;
}
