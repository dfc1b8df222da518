//! Tests of `lifthollowctl` against running nodes.

mod support;

use hyper::StatusCode;
use lifthollow_protocol::RefusalReason;
use lifthollow_protocol::operators::NodeSnapshot;
use support::{Pair, backend, call, ctl, eventually, full, table, to_service};

const ROW: &str = "100,10,10,10,normal,yes,2000";

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
async fn members_lists_the_servers_and_leaving_lists_none() {
    let pair = pair().await;
    let node = pair.server.addresses().node;
    let text = ctl("members", &pair.entry, &[]).await;
    assert!(
        text.contains(&format!("{node}  old   1     feeds")),
        "{text}"
    );
    assert!(text.contains("serving"), "{text}");
    let text = ctl("leaving", &pair.entry, &[]).await;
    assert!(
        text.starts_with("this node is not leaving\nno node is known"),
        "{text}"
    );
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn status_all_shows_the_table_of_each_node_and_the_number_behind() {
    let pair = pair().await;
    let server = pair.server.addresses().node;
    eventually(async || {
        let text = ctl("status", &pair.entry, &["--all"]).await;
        let line = text
            .lines()
            .find(|line| line.starts_with(&server.to_string()));
        line.is_some_and(|line| line.contains("  1 ("))
    })
    .await;
    let text = ctl("status", &pair.entry, &["--all"]).await;
    assert!(text.contains("\n2 nodes known, 0 behind"), "{text}");
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_why_a_published_table_was_refused() {
    let pair = pair().await;
    let bad = table(2, "feeds,100,0,10,10,normal,yes,2000");
    *pair.platform.table.lock().unwrap() = bad;
    eventually(async || {
        let text = ctl("status", &pair.entry, &[]).await;
        text.contains("last table was not taken: refused: table:3:4: `max_in_flight`")
    })
    .await;
    let text = ctl("status", &pair.entry, &[]).await;
    assert!(text.contains("\ntable 1 ("), "{text}");
    assert!(text.contains("\ntable:4:4: `max_in_flight`"), "{text}");
    *pair.platform.table.lock().unwrap() = table(3, &format!("feeds,{ROW}"));
    pair.wait_for_table(3).await;
    // The node may receive the new table from the other node before it reads the
    // platform again.
    eventually(async || {
        let text = ctl("status", &pair.entry, &[]).await;
        !text.contains("not taken")
    })
    .await;
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_and_members_show_a_node_listed_as_leaving() {
    let pair = pair().await;
    let server = pair.server.addresses().node;
    let line = format!("{server},feeds,old,1,leaving");
    *pair.platform.machines.lock().unwrap() = vec![line];
    eventually(async || {
        let text = ctl("leaving", &pair.entry, &[]).await;
        text.contains("nodes known to be leaving:")
    })
    .await;
    let text = ctl("members", &pair.entry, &[]).await;
    let line = text
        .lines()
        .find(|line| line.starts_with(&server.to_string()));
    assert!(line.unwrap().contains("leaving"), "{text}");
    pair.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn snapshot_holds_status_members_and_refusals() {
    let pair = pair().await;
    call(pair.callers(), to_service("tariffs", "GET", full(""))).await;
    let path =
        std::env::temp_dir().join(format!("lifthollow-{}.json", pair.server.addresses().node));
    ctl("snapshot", &pair.entry, &["--out", path.to_str().unwrap()]).await;
    let bytes = std::fs::read(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    let snapshot: NodeSnapshot = serde_json::from_slice(&bytes).unwrap();
    assert_eq!(snapshot.status.table_number, 1);
    assert_eq!(snapshot.members.len(), 2);
    assert_eq!(snapshot.refusals[0].reason, RefusalReason::UnknownService);
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
    assert!(text.starts_with("1 refusal on record"), "{text}");
    assert!(
        text.contains("\ntariffs: 1 x unknown_service. The table in force"),
        "{text}"
    );
    assert!(text.contains("not-run"), "{text}");
    let text = ctl("explain", &pair.entry, &["--service", "feeds"]).await;
    assert!(text.starts_with("no refusal is recorded"), "{text}");
    pair.stop().await;
}
