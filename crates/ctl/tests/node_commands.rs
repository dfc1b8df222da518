//! Tests of the commands that query a node, when it gives no usable answer.

mod support;

use std::io::{Read, Write};
use std::net::TcpListener;

use support::{Directory, ctl};

/// Starts a server that sends `answer` to its first connection, whatever the request,
/// and returns its address.
fn one_answer(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut request = [0; 4096];
        let _ = stream.read(&mut request);
        let _ = stream.write_all(answer.as_bytes());
    });
    address.to_string()
}

#[test]
fn unreachable_address_fails_with_code_3() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let run = ctl(&["status", &address]);
    assert_eq!((run.code, run.output.as_str()), (3, ""));
    assert!(
        run.errors.starts_with(&format!("{address}: no answer: ")),
        "{}",
        run.errors
    );
}

#[test]
fn malformed_address_is_a_fault_of_the_arguments() {
    let run = ctl(&["members", "node-7"]);
    assert_eq!(run.code, 2);
    assert!(
        run.errors.starts_with("address: `node-7` is not valid"),
        "{}",
        run.errors
    );
}

#[test]
fn unusable_answers_fail_with_code_3() {
    let cases = [
        (
            "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
            "with status 404",
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
            "an unexpected body: missing field",
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
            "the answer ended early",
        ),
        ("SSH-2.0\r\n", "no answer"),
    ];
    for (answer, expected) in cases {
        let run = ctl(&["status", &one_answer(answer)]);
        assert_eq!(run.code, 3, "{answer:?}");
        assert!(
            run.errors.contains(expected),
            "{answer:?} gave {}",
            run.errors
        );
    }
}

#[test]
fn snapshot_is_written_unchanged_and_overwrites_no_file() {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"new\":1}";
    let directory = Directory::new();
    let path = directory.path("node.json");
    let run = ctl(&["snapshot", &one_answer(ANSWER), "--out", &path]);
    assert_eq!((run.code, run.errors.as_str()), (0, ""));
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "{\"new\":1}");
    let again = ctl(&["snapshot", &one_answer(ANSWER), "--out", &path]);
    assert_eq!(again.code, 4);
    assert!(
        again.errors.contains("can't be created"),
        "{}",
        again.errors
    );
    assert_eq!(directory.names(), ["node.json"]);
}
