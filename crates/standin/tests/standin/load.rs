//! Tests of the load generator, which sends its calls directly to a back end.

use std::io::{Read, Write};
use std::net::TcpListener;

use lifthollow_standin::load::Profile;

use crate::support::{Standin, run_load};

#[test]
fn every_useful_request_is_completed_once_in_the_ledger() {
    let backend = Standin::start(&["backend", "--service", "s", "--service-ms", "1"]);
    let entry = backend.address().to_string();
    let mix = "service=s,class=critical,keyed=yes,answer=40000,body=30000,timeout_ms=60000";
    let load = [
        "load",
        "--entry",
        &entry,
        "--call",
        mix,
        "--profile",
        "1:40",
    ];
    let summary = run_load(&[&load[..], &["--patience-ms", "60000"]].concat()).summary;
    assert!(summary.offered > 10);
    assert_eq!(summary.goodput, summary.offered);
    assert_eq!(summary.classes["critical"].goodput, summary.goodput);
    let ledger = backend.ledger();
    assert_eq!(ledger.totals.completed, summary.goodput);
    assert!(ledger.calls.iter().all(|call| call.runs == 1));
}

#[test]
fn latency_percentiles_include_the_service_time() {
    let backend = Standin::start(&["backend", "--service", "s", "--service-ms", "30"]);
    let entry = backend.address().to_string();
    let load = ["load", "--entry", &entry, "--profile", "1:20", "--call"];
    let options = ["service=s,timeout_ms=60000", "--patience-ms", "60000"];
    let latencies = run_load(&[&load[..], &options].concat()).latencies;
    // A sleep of the back end never ends early, so this bound holds on any machine.
    assert!(latencies.p50_ms > 5.0, "{latencies:?}");
    assert!(latencies.max_ms > latencies.p50_ms, "{latencies:?}");
}

#[test]
fn failed_requests_are_retried_up_to_the_attempt_limit() {
    let backend = Standin::start(&["backend", "--service", "s", "--service-ms", "1"]);
    backend.put("/fault", r#"{"error_ratio": 1.0}"#);
    let entry = backend.address().to_string();
    let load = [
        "load",
        "--entry",
        &entry,
        "--call",
        "service=s,timeout_ms=60000",
    ];
    let repeats = [
        "--attempts",
        "3",
        "--backoff-ms",
        "1",
        "--patience-ms",
        "60000",
    ];
    let summary = run_load(&[&load[..], &repeats, &["--profile", "1:20"]].concat()).summary;
    assert_eq!(summary.failed, summary.offered);
    assert_eq!(summary.repeats, 2 * summary.offered);
    assert_eq!(backend.ledger().totals.runs, 3 * summary.offered);
}

#[test]
fn response_with_unexpected_body_is_counted_as_corrupt() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let entry = listener.local_addr().expect("address").to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || send_unexpected_body(stream));
        }
    });
    let load = [
        "load",
        "--entry",
        &entry,
        "--call",
        "service=s,answer=5,body=0",
    ];
    let summary = run_load(&[&load[..], &["--profile", "1:20"]].concat()).summary;
    assert!(summary.corrupt > 0);
    assert_eq!(summary.goodput, 0);
}

/// Answers the first request of a connection with a body that is not the expected one.
fn send_unexpected_body(mut stream: std::net::TcpStream) {
    let mut head = [0; 4096];
    if stream.read(&mut head).is_ok() {
        let _ = stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nconnection: close\r\n\r\nwrong");
    }
}

#[test]
fn profile_parses_phases_and_rejects_invalid_rates_and_durations() {
    let profile: Profile = "10:200,5:800".parse().expect("a profile");
    assert_eq!(profile.rate_at(9.9), Some(200.0));
    assert_eq!(profile.rate_at(10.0), Some(800.0));
    assert_eq!(profile.rate_at(15.0), None);
    assert!("10:-1".parse::<Profile>().is_err());
    assert!("100000:1".parse::<Profile>().is_err());
}
