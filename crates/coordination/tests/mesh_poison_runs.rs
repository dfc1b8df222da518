//! Tests of content fingerprints and of the requests that are suspected after a server crash.

use std::time::Duration;

use lifthollow_coordination::inbound::InboundId;
use lifthollow_coordination::mesh::poison::content::{
    CallerContent, ContentFingerprint, RequestContent,
};
use lifthollow_coordination::mesh::poison::server_runs::ServerRuns;
use lifthollow_state::mesh::InstanceId;
use lifthollow_state::{ServiceName, Timestamp};

const START: Timestamp = Timestamp::from_micros(1_000_000);

fn request() -> RequestContent<'static> {
    RequestContent {
        method: "GET",
        host: "shop.example",
        target: "/read/x?page=2",
        body_length: Some(4),
    }
}

fn fingerprint(content: &RequestContent, body: &[&[u8]]) -> ContentFingerprint {
    ContentFingerprint::of(content, body.iter().copied())
}

fn content(number: u128) -> CallerContent {
    CallerContent {
        content: ContentFingerprint(number),
        caller: ServiceName::new("feeds"),
    }
}

#[test]
fn fingerprint_does_not_depend_on_how_the_body_is_split() {
    let whole = fingerprint(&request(), &[b"boom"]);
    assert_eq!(whole, fingerprint(&request(), &[b"bo", b"om"]));
}

#[test]
fn fingerprint_differs_if_any_part_of_the_request_differs() {
    let same = fingerprint(&request(), &[b"boom"]);
    let others = [
        RequestContent {
            method: "POST",
            ..request()
        },
        RequestContent {
            host: "other.example",
            ..request()
        },
        RequestContent {
            target: "/read/x?page=3",
            ..request()
        },
        RequestContent {
            body_length: None,
            ..request()
        },
        // The same bytes, split differently between method and host.
        RequestContent {
            method: "GETshop",
            host: ".example",
            ..request()
        },
    ];
    for other in others {
        assert_ne!(same, fingerprint(&other, &[b"boom"]), "{other:?}");
    }
    assert_ne!(same, fingerprint(&request(), &[b"calm"]));
}

#[test]
fn crash_returns_each_content_running_on_that_server_only_once() {
    let (one, other) = (InstanceId::new("one"), InstanceId::new("other"));
    let mut runs = ServerRuns::default();
    runs.started(InboundId(1), content(1), &one);
    runs.started(InboundId(2), content(1), &one);
    runs.started(InboundId(3), content(2), &one);
    runs.started(InboundId(4), content(3), &other);
    assert_eq!(
        runs.take_suspected_contents(START, &one),
        [content(1), content(2)]
    );
    assert_eq!(runs.take_suspected_contents(START, &one), []);
    assert_eq!(runs.take_suspected_contents(START, &other), [content(3)]);
}

#[test]
fn runs_without_a_successful_response_are_suspected_for_a_second() {
    let server = InstanceId::new("one");
    let suspected_after = |milliseconds: u64, is_served: bool| {
        let mut runs = ServerRuns::default();
        runs.started(InboundId(1), content(1), &server);
        runs.ended(START, InboundId(1), is_served);
        runs.take_suspected_contents(START + Duration::from_millis(milliseconds), &server)
    };
    assert_eq!(suspected_after(115, false), [content(1)]);
    assert_eq!(suspected_after(1001, false), []);
    assert_eq!(suspected_after(0, true), []);
}
