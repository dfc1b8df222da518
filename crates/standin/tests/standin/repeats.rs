//! Repeats of keyed calls are the same HTTP request, and have one answer.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use lifthollow_standin::call::{CallName, CallSpecification};
use lifthollow_standin::content::Content;

use crate::support::{PATIENCE, Standin, run_load};

/// One HTTP request as it came over the wire.
struct Received {
    request_line: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

/// Answers every request with 500 and hands it on.
fn failing_node() -> (SocketAddr, flume::Receiver<Received>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("address");
    let (sender, receiver) = flume::unbounded();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            std::thread::spawn(move || {
                if let Some(received) = receive(stream) {
                    let _ = sender.send(received);
                }
            });
        }
    });
    (address, receiver)
}

fn receive(mut stream: TcpStream) -> Option<Received> {
    let mut lines = BufReader::new(stream.try_clone().ok()?);
    let request_line = line(&mut lines)?;
    let mut headers = BTreeMap::new();
    loop {
        let header = line(&mut lines)?;
        let Some((name, value)) = header.split_once(':') else {
            break;
        };
        headers.insert(name.to_owned(), value.trim().to_owned());
    }
    let length = headers.get("content-length").map_or("0", String::as_str);
    let mut body = vec![0; length.parse().ok()?];
    lines.read_exact(&mut body).ok()?;
    let answer = b"HTTP/1.1 500 Failed\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    stream.write_all(answer).ok()?;
    Some(Received {
        request_line,
        headers,
        body,
    })
}

fn line(lines: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    lines.read_line(&mut line).ok()?;
    Some(line.trim_end().to_owned())
}

#[test]
fn a_repeat_of_a_keyed_call_has_the_same_path_and_body() {
    let (node, received) = failing_node();
    let entry = node.to_string();
    let call = "service=s,keyed=yes,body=3000,timeout_ms=60000";
    let load = ["load", "--entry", &entry, "--call", call];
    let repeats = ["--attempts", "3", "--backoff-ms", "1"];
    let time = ["--patience-ms", "60000", "--profile", "1:20"];
    let summary = run_load(&[&load[..], &repeats, &time].concat()).summary;
    assert!(summary.offered > 0);
    let mut by_key: BTreeMap<String, Vec<Received>> = BTreeMap::new();
    for _ in 0..3 * summary.offered {
        let call = received.recv_timeout(PATIENCE).expect("a call");
        let key = call.headers["idempotency-key"].clone();
        by_key.entry(key).or_default().push(call);
    }
    assert_eq!(by_key.len() as u64, summary.offered);
    for calls in by_key.values() {
        let attempts: Vec<_> = calls
            .iter()
            .map(|call| &call.headers["standin-attempt"])
            .collect();
        assert_eq!(attempts, ["1", "2", "3"]);
        assert!(
            calls
                .iter()
                .all(|call| call.request_line == calls[0].request_line)
        );
        assert!(calls.iter().all(|call| call.body == calls[0].body));
        assert_eq!(calls[0].body.len(), 3000);
    }
}

#[test]
fn a_repeat_of_a_nested_keyed_call_has_the_same_path() {
    let (node, received) = failing_node();
    let node = node.to_string();
    let nested = [
        "backend",
        "--service",
        "s",
        "--nested",
        "t",
        "--node",
        &node,
    ];
    let backend = Standin::start(&nested);
    let calls = [1, 2].map(|attempt| {
        let call = keyed("r", "k", attempt);
        let url = format!("http://{}{}", backend.address(), call.to_path());
        let mut builder = attohttpc::post(url);
        for (name, value) in call.name_headers() {
            builder = builder.header(name, value);
        }
        builder.send().expect("an answer");
        received.recv_timeout(PATIENCE).expect("a nested call")
    });
    let [first, second] = calls;
    assert_eq!(first.request_line, second.request_line);
    assert_eq!(first.headers["idempotency-key"], "k/t");
    assert_eq!(second.headers["idempotency-key"], "k/t");
    assert_eq!(second.headers["standin-attempt"], "2");
    assert_ne!(
        first.headers["standin-caller"],
        second.headers["standin-caller"]
    );
}

#[test]
fn a_keyed_answer_belongs_to_one_request_key_and_body() {
    let answer = |call: &CallSpecification, body| Content::of_answer(call, body).digest();
    let own = answer(&keyed("r", "k", 1), 7);
    assert_eq!(answer(&keyed("r", "k", 2), 7), own);
    assert_ne!(answer(&keyed("other", "k", 2), 7), own);
    assert_ne!(answer(&keyed("r", "other", 2), 7), own);
    assert_ne!(answer(&keyed("r", "k", 2), 8), own);
    let unkeyed = CallSpecification {
        key: None,
        ..keyed("r", "k", 1)
    };
    assert_ne!(answer(&unkeyed, 7), own);
}

fn keyed(request: &str, key: &str, attempt: u32) -> CallSpecification {
    CallSpecification {
        name: CallName {
            request: request.to_owned(),
            attempt,
            caller: String::new(),
        },
        key: Some(key.to_owned()),
        answer_bytes: 100,
        pace: Duration::ZERO,
    }
}
