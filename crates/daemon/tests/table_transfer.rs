//! Tests that a table whose transfer ended early is refused.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;

use support::{LOOPBACK, Platform, operators, settings, start, stop, table};

/// Starts a platform's service that closes each connection after the first `sent`
/// bytes of an answer whose head announces all bytes of `text`. Returns its address,
/// and a channel that receives a message for each answer.
fn start_truncating_platform(text: String, sent: usize) -> (SocketAddr, mpsc::Receiver<()>) {
    let listener = TcpListener::bind(LOOPBACK).unwrap();
    let address = listener.local_addr().unwrap();
    let (answered, answers) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let length = text.len();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(&text.as_bytes()[..sent]);
            drop(stream);
            if answered.send(()).is_err() {
                return;
            }
        }
    });
    (address, answers)
}

#[tokio::test(flavor = "multi_thread")]
async fn table_truncated_at_the_end_of_a_row_is_refused() {
    let text = table(7, "feeds,100,10,10,10,normal,yes,2000");
    let last_row = text.trim_end().rfind('\n').unwrap();
    let (address, answers) = start_truncating_platform(text, last_row + 1);
    let platform = Platform::start(String::new()).await;
    let mut settings = settings(&platform, &[]);
    settings.platform_table = Some(address);
    let daemon = start(settings);
    // The node asks for the table again only after it has checked the first answer.
    let seen = tokio::task::spawn_blocking(move || answers.recv().and_then(|()| answers.recv()));
    seen.await.unwrap().unwrap();
    let status = operators(&daemon, "/status").await;
    assert_eq!(status["table_number"].as_u64(), Some(0));
    stop(daemon).await;
}
