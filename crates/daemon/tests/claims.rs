//! Tests of calls with an idempotency key through two nodes, one of which stores
//! claims.

mod support;

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use hyper::{Request, Response, StatusCode};
use lifthollow_daemon::settings::{Flags, Settings, parse};
use lifthollow_protocol::{Roster, RosterMember};
use lifthollow_state::{NodeId, Side, Zone};
use lifthollow_transport::http::AnyBody;
use support::{
    Answer, LOOPBACK, Pair, Platform, backend, call, ctl, full, operators, settings, start, table,
    to_service,
};

const SERVICE: &str = "orders";
const ROW: &str = "orders,100,10,10,10,critical,no,2000";

/// An address with a port that was free when it was chosen.
fn free_address() -> SocketAddrV4 {
    let listener = std::net::TcpListener::bind(LOOPBACK).unwrap();
    match listener.local_addr().unwrap() {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

fn claiming(platform: &Platform, backend: SocketAddr) -> Settings {
    let node = free_address();
    let member = RosterMember {
        node: NodeId::from_address(node),
        side: Side::Old,
        zone: Zone(1),
    };
    Settings {
        node,
        claim_roster: Some(Roster {
            epoch: 1,
            members: vec![member],
            previous: Vec::new(),
        }),
        claim_bootstrap: true,
        ..settings(platform, &[(SERVICE, backend)])
    }
}

async fn claiming_pair(runs: Arc<AtomicU32>) -> Pair {
    let address = backend(move |_| {
        let run = runs.fetch_add(1, Ordering::SeqCst) + 1;
        Box::pin(async move {
            let response = Response::builder().status(StatusCode::CREATED);
            let response = response.header("x-receipt", run);
            response.body(full(format!("receipt {run}"))).unwrap()
        })
    })
    .await;
    let platform = Platform::start(table(1, ROW)).await;
    let server = start(claiming(&platform, address));
    platform.list(server.addresses().node, SERVICE, Side::Old);
    let entry = start(settings(&platform, &[]));
    let pair = Pair {
        platform,
        entry,
        server,
    };
    pair.wait_for_table(1).await;
    pair
}

fn order(key: &str, body: &'static str) -> Request<AnyBody> {
    let mut request = to_service(SERVICE, "POST", full(body));
    let key = key.parse().unwrap();
    request.headers_mut().insert("idempotency-key", key);
    request
}

async fn call_twice(pair: &Pair, first: &'static str, second: &'static str) -> (Answer, Answer) {
    let once = call(pair.callers(), order("order-1", first)).await;
    let again = call(pair.callers(), order("order-1", second)).await;
    (once, again)
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_call_with_a_key_runs_once_and_gets_the_recorded_answer() {
    let runs = Arc::new(AtomicU32::new(0));
    let pair = claiming_pair(runs.clone()).await;
    let (once, again) = call_twice(&pair, "10 lev", "10 lev").await;
    for answer in [once, again] {
        assert_eq!(answer.status, StatusCode::CREATED);
        assert_eq!(answer.outcome, "complete");
        assert_eq!(answer.text, "receipt 1");
    }
    assert_eq!(runs.load(Ordering::SeqCst), 1);

    let other = call(pair.callers(), order("order-2", "10 lev")).await;
    assert_eq!(other.text, "receipt 2");
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn key_reused_with_another_body_is_refused_as_key_reused() {
    let runs = Arc::new(AtomicU32::new(0));
    let pair = claiming_pair(runs.clone()).await;
    let (_, again) = call_twice(&pair, "10 lev", "20 lev").await;
    assert_eq!(again.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(again.outcome, "not-run");
    assert_eq!(again.reason, "key_reused");
    assert_eq!(runs.load(Ordering::SeqCst), 1);
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn node_without_a_roster_refuses_calls_with_a_key_and_runs_others() {
    let runs = Arc::new(AtomicU32::new(0));
    let counted = runs.clone();
    let address = backend(move |_| {
        counted.fetch_add(1, Ordering::SeqCst);
        Box::pin(async { Response::new(full("done")) })
    })
    .await;
    let pair = Pair::start(SERVICE, "100,10,10,10,critical,no,2000", address).await;
    let refused = call(pair.callers(), order("order-1", "10 lev")).await;
    assert_eq!(refused.outcome, "not-run");
    assert_eq!(refused.reason, "no_quorum");
    assert_eq!(runs.load(Ordering::SeqCst), 0);
    let served = call(pair.callers(), to_service(SERVICE, "POST", full("10 lev"))).await;
    assert_eq!(served.outcome, "complete");
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_page_shows_the_record_of_a_key() {
    let pair = claiming_pair(Arc::default()).await;
    call(pair.callers(), order("order-1", "10 lev")).await;
    let claim = operators(&pair.server, "/claims?service=orders&key=order-1").await;
    assert_eq!(claim["votes"], true);
    assert_eq!(claim["record"]["state"], "completed");
    assert_eq!(claim["record"]["status"], 201);
    let node = pair.server.addresses().node.to_string();
    assert_eq!(claim["record"]["holder"], node);
    let unknown = operators(&pair.server, "/claims?service=orders&key=order-2").await;
    assert!(unknown["record"].is_null());
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn ctl_claim_accepts_a_key_with_slashes_and_spaces() {
    let pair = claiming_pair(Arc::default()).await;
    call(pair.callers(), order("till-7/order 1", "10 lev")).await;
    let text = ctl("claim", &pair.server, &["orders", "till-7/order 1"]).await;
    let node = pair.server.addresses().node;
    assert!(
        text.starts_with("orders till-7/order 1: completed, status 201 ("),
        "{text}"
    );
    assert!(
        text.contains(&format!("\nclaimed by {node} (incarnation ")),
        "{text}"
    );
    assert!(
        text.ends_with(&format!("\nreplicas by roster 1: {node}")),
        "{text}"
    );
    let text = ctl("claim", &pair.server, &["orders", "till-7/order 2"]).await;
    assert!(text.starts_with("orders till-7/order 2: free; "), "{text}");
    pair.stop().await;
}

#[test]
fn faults_of_the_roster_file_are_all_reported_with_their_places() {
    let directory = std::env::temp_dir();
    let name = format!("lifthollow-roster-{}.csv", std::process::id());
    let path = directory.join(name);
    let text = "lifthollow-roster,0\naddress,side,zone,standing\n10.0.0.1,old,1,member\n\
                10.0.0.2:7000,north,x,gone\n";
    std::fs::write(&path, text).unwrap();
    let flags = Flags {
        claim_roster: Some(path.to_string_lossy().into_owned()),
        ..Flags::default()
    };
    let findings = parse(None, &flags).unwrap_err().to_string();
    std::fs::remove_file(&path).unwrap();
    for place in [":1:2:", ":3:1:", ":4:2:", ":4:3:", ":4:4:"] {
        assert!(findings.contains(place), "{place} not in {findings}");
    }
}
