//! `lifthollowctl` against running nodes: it understands what they serve.

mod support;

use argh::FromArgs;
use hyper::StatusCode;
use lifthollow_ctl::arguments::Arguments;
use lifthollow_daemon::daemon::Daemon;
use support::{Pair, backend, call, full, to_service};

const ROW: &str = "100,10,10,10,normal,yes,2000";

/// What a command of the client prints about a node.
async fn ctl(command: &str, daemon: &Daemon, options: &[&str]) -> String {
    let address = daemon.addresses().operators.to_string();
    let words: Vec<&str> = [&[command, &address], options].concat();
    let arguments = Arguments::from_args(&["lifthollowctl"], &words).expect("a valid command");
    let run = move || lifthollow_ctl::run(&arguments.command);
    let report = tokio::task::spawn_blocking(run).await.unwrap();
    report.unwrap_or_else(|error| panic!("{error:#}")).text
}

async fn pair() -> Pair {
    let answer = |_| -> futures_util::future::BoxFuture<'static, _> {
        Box::pin(async { hyper::Response::new(full("ok")) })
    };
    Pair::start("feeds", ROW, backend(answer).await).await
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_the_node_its_table_and_its_load() {
    let pair = pair().await;
    let text = ctl("status", &pair.server, &[]).await;
    let node = pair.server.addresses().node;
    assert!(
        text.starts_with(&format!("node {node} (side old, zone 1, ")),
        "{text}"
    );
    assert!(text.contains("\ntable 1 ("), "{text}");
    assert!(text.contains("\nfeeds    0"), "{text}");
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn members_lists_the_servers_and_leaving_names_none() {
    let pair = pair().await;
    let node = pair.server.addresses().node;
    let text = ctl("members", &pair.entry, &[]).await;
    assert!(text.contains(&format!("feeds    {node}")), "{text}");
    assert!(text.contains("serving"), "{text}");
    let text = ctl("leaving", &pair.entry, &[]).await;
    assert!(
        text.starts_with("this node is not leaving\nno other server"),
        "{text}"
    );
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_shows_a_refusal_with_its_state_and_advice() {
    let pair = pair().await;
    let mut request = to_service("tariffs", "GET", full(""));
    let name = "till-7/1".parse().unwrap();
    request.headers_mut().insert("lifthollow-request", name);
    let answer = call(pair.callers(), request).await;
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    let text = ctl("explain", &pair.entry, &["--request", "till-7/1"]).await;
    assert!(
        text.starts_with("tariffs: 1 x unknown_service. The table in force"),
        "{text}"
    );
    assert!(text.contains("not-run"), "{text}");
    let text = ctl("explain", &pair.entry, &["--service", "feeds"]).await;
    assert!(text.starts_with("no refusal is recorded"), "{text}");
    pair.stop().await;
}
