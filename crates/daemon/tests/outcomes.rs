//! Tests of the outcome that callers are given: complete, not run or unknown.

mod support;

use std::sync::Mutex;

use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use lifthollow_coordination::PolicyKind;
use lifthollow_state::Side;
use support::{
    LOOPBACK, Pair, Platform, backend, call, connect, eventually, full, get, read, settings, start,
    status, stop, table, to_service,
};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const ROW: &str = "100,50,50,50,normal,no,60000";

#[tokio::test(flavor = "multi_thread")]
async fn call_to_an_unreachable_back_end_is_answered_not_run() {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let pair = Pair::start("feeds", ROW, address).await;
    let answer = call(pair.callers(), to_service("feeds", "GET", full(""))).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.outcome, "not-run");
    assert_eq!(answer.reason, "backend_refused");
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn call_shed_by_the_back_end_is_answered_not_run() {
    let address = backend(|_| {
        let response = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
        let response = response.header("retry-after", "3");
        let response = response.header("lifthollow-not-run", "yes");
        let response = response.body(full("busy")).unwrap();
        Box::pin(async { response })
    })
    .await;
    let pair = Pair::start("feeds", ROW, address).await;
    let answer = call(pair.callers(), to_service("feeds", "GET", full(""))).await;
    assert_eq!(answer.outcome, "not-run");
    assert_eq!(answer.reason, "backend_refused");
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn error_response_of_the_back_end_is_passed_on_as_complete() {
    let address = backend(|_| {
        let response = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
        let response = response.body(full("no stock")).unwrap();
        Box::pin(async { response })
    })
    .await;
    let pair = Pair::start("feeds", ROW, address).await;
    let answer = call(pair.callers(), to_service("feeds", "GET", full(""))).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.outcome, "complete");
    assert_eq!(answer.text, "no stock");
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_closed_by_the_back_end_after_the_request_is_answered_unknown() {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let _ = socket.read(&mut [0; 1024]).await;
        }
    });
    let pair = Pair::start("feeds", ROW, address).await;
    let answer = call(pair.callers(), to_service("feeds", "GET", full(""))).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.outcome, "unknown");
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_out_of_order_reach_their_own_callers() {
    const CALLS: usize = 20;
    let (started, waiting) = flume::unbounded::<tokio::sync::oneshot::Sender<()>>();
    let address = backend(move |request| {
        let started = started.clone();
        Box::pin(async move {
            let (release, released) = tokio::sync::oneshot::channel();
            started.send(release).unwrap();
            released.await.unwrap();
            let body = request.into_body().collect().await.unwrap().to_bytes();
            Response::new(full(body))
        })
    })
    .await;
    let pair = Pair::start("feeds", ROW, address).await;
    let mut calls = Vec::new();
    let mut releases = Vec::new();
    for number in 0..CALLS {
        let request = to_service("feeds", "POST", full(format!("call {number}")));
        calls.push(tokio::spawn(call(pair.callers(), request)));
        releases.push(waiting.recv_async().await.unwrap());
    }
    for release in releases.into_iter().rev() {
        release.send(()).unwrap();
    }
    for (number, call) in calls.into_iter().enumerate() {
        let answer = call.await.unwrap();
        assert_eq!(answer.outcome, "complete");
        assert_eq!(answer.text, format!("call {number}"));
    }
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_on_another_server_sends_the_body_again() {
    let shedding = backend(|request| {
        Box::pin(async move {
            request.into_body().collect().await.unwrap();
            let response = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
            let response = response.header("lifthollow-not-run", "yes");
            response.body(full("")).unwrap()
        })
    })
    .await;
    let echoing = backend(|request| {
        Box::pin(async move {
            let body = request.into_body().collect().await.unwrap().to_bytes();
            Response::new(full(body))
        })
    })
    .await;
    let platform = Platform::start(table(1, &format!("feeds,{ROW}"))).await;
    let mut daemons = Vec::new();
    for address in [shedding, echoing] {
        let daemon = start(settings(&platform, &[("feeds", address)]));
        platform.list(daemon.addresses().node, "feeds", Side::Old);
        daemons.push(daemon);
    }
    let mut settings = settings(&platform, &[]);
    settings.policy = PolicyKind::StaticLimits;
    let entry = start(settings);
    daemons.push(entry);
    for daemon in &daemons {
        eventually(async || status(daemon).await["members_known"] == 2).await;
        eventually(async || status(daemon).await["table_number"] == 1).await;
    }
    let callers = daemons[2].addresses().callers;
    for number in 0..10 {
        let body = format!("body {number}");
        let answer = call(callers, to_service("feeds", "POST", full(body.clone()))).await;
        assert_eq!((answer.outcome.as_str(), answer.text), ("complete", body));
    }
    for daemon in daemons {
        stop(daemon).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn faults_of_headers_are_reported_together_and_the_call_is_not_run() {
    let runs = Mutex::new(0);
    let address = backend(move |_| {
        *runs.lock().unwrap() += 1;
        unreachable!("a call with bad headers must not reach the back end")
    })
    .await;
    let pair = Pair::start("feeds", ROW, address).await;
    let mut request = to_service("feeds", "GET", full(""));
    let headers = request.headers_mut();
    headers.insert("lifthollow-deadline-ms", "soon".parse().unwrap());
    headers.insert("lifthollow-class", "royal".parse().unwrap());
    let answer = call(pair.callers(), request).await;
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    assert_eq!(answer.outcome, "not-run");
    assert_eq!(answer.text.lines().count(), 2, "{}", answer.text);
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_headers_are_refused_and_later_calls_succeed() {
    let address = backend(|_| Box::pin(async { Response::new(full("ok")) })).await;
    let pair = Pair::start("feeds", ROW, address).await;
    let mut request = to_service("feeds", "GET", full(""));
    let large = "a".repeat(64 * 1024).parse().unwrap();
    request.headers_mut().insert("x-large", large);
    let mut sender = connect(pair.callers()).await;
    // The node may close the connection before the whole head has been written.
    if let Ok(response) = sender.send_request(request).await {
        let answer = read(response).await;
        assert_eq!(answer.status, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    let answer = call(pair.callers(), to_service("feeds", "GET", full(""))).await;
    assert_eq!(answer.outcome, "complete");
    let status = call(pair.entry.addresses().operators, get("/status")).await;
    assert_eq!(status.status, StatusCode::OK);
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn node_without_a_table_refuses_calls_as_not_run() {
    let platform = Platform::start(String::new()).await;
    let daemon = start(settings(&platform, &[]));
    let callers = daemon.addresses().callers;
    let answer = call(callers, to_service("feeds", "GET", full(""))).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.outcome, "not-run");
    stop(daemon).await;
}
