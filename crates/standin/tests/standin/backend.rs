//! Tests of the simulated back end.

use std::io::{Read, Write};
use std::net::TcpStream;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use lifthollow_standin::call::{BadCall, CallName, CallSpecification};

use crate::support::{PATIENCE, Standin};

fn specification(request: &str, attempt: u32) -> CallSpecification {
    CallSpecification {
        name: CallName {
            request: request.to_owned(),
            attempt,
            caller: String::new(),
        },
        key: Some(format!("key-{request}")),
        answer_bytes: 100,
        pace: std::time::Duration::ZERO,
    }
}

/// Builds a request for a call of the back end, without a body.
fn call_request(backend: &Standin, request: &str, attempt: u32) -> attohttpc::RequestBuilder {
    let call = specification(request, attempt);
    let url = format!("http://{}{}", backend.address(), call.to_path());
    let builder = attohttpc::post(url);
    let with_header = |builder: attohttpc::RequestBuilder,
                       (name, value): (&'static str, String)| {
        builder.header(name, value)
    };
    call.name_headers().into_iter().fold(builder, with_header)
}

fn call(backend: &Standin, request: &str) -> attohttpc::Response {
    let builder = call_request(backend, request, 1);
    builder.text("body").send().expect("an answer")
}

/// Sends a call without waiting for its response.
fn send_call_head(stream: &mut TcpStream, request: &str) {
    let path = specification(request, 1).to_path();
    let names = "standin-attempt: 1\r\nstandin-caller:\r\n";
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\n{names}content-length: 0\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("sends");
}

/// Waits until the totals in the back end's ledger satisfy `wanted`.
fn wait_for_totals(
    backend: &Standin,
    wanted: impl Fn(&lifthollow_standin::backend::Totals) -> bool,
) {
    let end = std::time::Instant::now() + PATIENCE;
    while !wanted(&backend.ledger().totals) {
        assert!(
            std::time::Instant::now() < end,
            "{:?}",
            backend.ledger().totals
        );
        std::thread::yield_now();
    }
}

#[test]
fn ledger_counts_each_execution_of_a_repeated_call() {
    let backend = Standin::start(&["backend", "--service", "topup", "--service-ms", "1"]);
    assert_eq!(call(&backend, "a").bytes().expect("answer").len(), 100);
    call(&backend, "a").bytes().expect("answer");
    let ledger = backend.ledger();
    assert_eq!(ledger.service, "topup");
    assert_eq!(ledger.calls.len(), 1);
    assert_eq!(ledger.calls[0].runs, 2);
    assert_eq!(ledger.calls[0].key.as_deref(), Some("key-a"));
    assert_eq!(ledger.calls[0].body_digests.len(), 1);
}

#[test]
fn full_back_end_sheds_calls_and_closed_connection_releases_its_slot() {
    let arguments = ["backend", "--service", "s", "--slots", "1", "--queue", "0"];
    let backend = Standin::start(&[&arguments[..], &["--service-ms", "3600000"]].concat());
    let mut first = TcpStream::connect(backend.address()).expect("connects");
    send_call_head(&mut first, "a");
    wait_for_totals(&backend, |totals| totals.runs == 1);
    let shed = call(&backend, "b");
    assert_eq!(shed.status().as_u16(), 503);
    assert_eq!(shed.headers()["lifthollow-not-run"], "yes");
    assert!(shed.headers().contains_key("retry-after"));
    drop(first);
    wait_for_totals(&backend, |totals| totals.slot_micros > 0);
    let totals = backend.ledger().totals;
    assert_eq!((totals.runs, totals.completed, totals.shed), (1, 0, 1));
}

#[test]
fn queued_call_is_shed_when_its_deadline_passes() {
    let arguments = ["backend", "--service", "s", "--slots", "1"];
    let backend = Standin::start(&[&arguments[..], &["--service-ms", "3600000"]].concat());
    let mut first = TcpStream::connect(backend.address()).expect("connects");
    send_call_head(&mut first, "a");
    wait_for_totals(&backend, |totals| totals.runs == 1);
    let shed = call_request(&backend, "b", 1)
        .header("lifthollow-deadline-ms", "5")
        .send()
        .expect("an answer");
    assert_eq!(shed.headers()["lifthollow-not-run"], "yes");
    assert_eq!(backend.ledger().totals.runs, 1);
}

#[test]
fn injected_faults_cause_errors_truncated_responses_and_draining() {
    let backend = Standin::start(&["backend", "--service", "s", "--service-ms", "1"]);
    backend.put("/fault", r#"{"error_ratio": 1.0}"#);
    assert_eq!(call(&backend, "a").status().as_u16(), 500);
    backend.put("/fault", r#"{"cut_ratio": 1.0}"#);
    let mut stream = TcpStream::connect(backend.address()).expect("connects");
    send_call_head(&mut stream, "b");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let head_end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let (head, body) = answer.split_at(head_end.expect("a head") + 4);
    assert!(String::from_utf8_lossy(head).contains("content-length: 100"));
    assert!(!body.is_empty() && body.len() < 100, "{}", body.len());
    assert_eq!(backend.ledger().totals.runs, 2);
    backend.put("/fault", r#"{"draining": true}"#);
    assert_eq!(call(&backend, "c").headers()["lifthollow-not-run"], "yes");
    let health = attohttpc::get(format!("http://{}/health", backend.address()));
    assert_eq!(health.send().expect("health").status().as_u16(), 503);
}

#[test]
fn always_green_health_report_hides_draining() {
    let backend = Standin::start(&["backend", "--service", "s", "--reports", "green"]);
    backend.put("/fault", r#"{"draining": true}"#);
    let health = attohttpc::get(format!("http://{}/health", backend.address()));
    assert_eq!(health.send().expect("health").status().as_u16(), 200);
}

#[test]
fn call_specification_round_trips_through_path_and_headers() {
    let call = CallSpecification {
        name: CallName {
            request: "load-1".to_owned(),
            attempt: 2,
            caller: "4000/7".to_owned(),
        },
        key: None,
        answer_bytes: 9,
        pace: std::time::Duration::from_millis(3),
    };
    let path = call.to_path();
    let (_, query) = path.split_once('?').expect("a query");
    let fields = call.name_headers().map(|(name, value)| {
        let value = HeaderValue::from_str(&value).expect("a header value");
        (HeaderName::from_static(name), value)
    });
    let fields = HeaderMap::from_iter(fields);
    assert_eq!(CallSpecification::from_request(query, &fields), Ok(call));
    let missing = CallSpecification::from_request("request=a", &fields);
    assert_eq!(missing, Err(BadCall::Missing("key")));
    let missing = CallSpecification::from_request(query, &HeaderMap::new());
    assert_eq!(missing, Err(BadCall::Missing("standin-attempt")));
}
