//! Tests of a call from a caller through two nodes to a back end, and its answer.

mod support;

use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use support::{Pair, backend, call, full, to_service};

const ROW: &str = "100,10,10,10,normal,yes,2000";

#[tokio::test(flavor = "multi_thread")]
async fn call_reaches_the_back_end_and_its_answer_the_caller() {
    let address = backend(|request| {
        Box::pin(async move {
            let context = request.headers().contains_key("lifthollow-context");
            let deadline = request.headers().contains_key("lifthollow-deadline-ms");
            let path = request.uri().to_string();
            let body = request.into_body().collect().await.unwrap().to_bytes();
            let body = String::from_utf8(body.to_vec()).unwrap();
            let text = format!("{path} {body} {context} {deadline}");
            let response = Response::builder().status(StatusCode::CREATED);
            response
                .header("x-from", "back end")
                .body(full(text))
                .unwrap()
        })
    })
    .await;
    let pair = Pair::start("feeds", ROW, address).await;
    let answer = call(pair.callers(), to_service("feeds", "POST", full("hello"))).await;
    assert_eq!(answer.status, StatusCode::CREATED);
    assert_eq!(answer.outcome, "complete");
    assert_eq!(answer.text, "/path?query=1 hello true true");
    pair.stop().await;
}
