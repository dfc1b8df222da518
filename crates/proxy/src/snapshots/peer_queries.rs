//! Queries other nodes for changes of the snapshot, and notifies them of its own.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hyper::HeaderMap;
use lifthollow_state::mesh::{SnapshotVersion, Update};
use rand::seq::IteratorRandom;
use slog::warn;

use super::{add_snapshot_headers, apply_update, update_view_age};
use crate::http::ProxyBody;
use crate::node::Node;
use crate::peer_client::{self, FetchError};
use crate::peer_headers;

/// How long a node that watches the source waits for changes from the source itself before it fetches
/// them from another node.
const WATCHER_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a fetch from a node that has a newer snapshot, or when this node has none.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a query to a node that watches the source, before another such node or the source is
/// queried.
const WATCHER_QUERY_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a query from one node that watches the source to another, which may make a query to the
/// source unnecessary. Short, because the other nodes depend on this node's view.
const OTHER_WATCHER_TIMEOUT: Duration = Duration::from_millis(60);
/// The largest number of nodes that watch the source that are queried before the source itself.
const MAX_WATCHERS_QUERIED: usize = 2;
/// How many new nodes are notified of the snapshot at the same time: each fetches it immediately.
const NEWCOMERS_NOTIFIED_AT_ONCE: usize = 16;

/// Fetches the changes that this node lacks from the node at `from`, whose snapshot is at version
/// `theirs`.
pub(super) async fn catch_up(node: Rc<Node>, theirs: SnapshotVersion, from: SocketAddrV4) {
    // A node without a snapshot does not wait: it refuses all callers until it has one.
    if node.has_snapshot() && node.is_watcher() {
        tokio::time::sleep(WATCHER_DELAY).await;
    }
    if node.snapshot_version().lacks(theirs) {
        fetch_update(&node, from, FETCH_TIMEOUT).await;
    }
    node.is_catching_up.set(false);
}

/// Fetches the changes that this node lacks from nodes that watch the source, until its view is
/// fresh.
pub async fn query_watchers(node: &Rc<Node>) {
    for address in random_watchers(node) {
        fetch_update(node, address, WATCHER_QUERY_TIMEOUT).await;
        if node.is_view_fresh() {
            return;
        }
    }
}

/// Queries the first other nodes that watch the source, which check their views before the others,
/// until this node's view is not older than `max_age`. Returns whether it is, so that this node can
/// omit its own query to the source.
pub async fn query_first_watchers(node: &Rc<Node>, max_age: Duration) -> bool {
    let others = other_watchers(node).into_iter();
    for other in others.take(MAX_WATCHERS_QUERIED) {
        fetch_update(node, other, OTHER_WATCHER_TIMEOUT).await;
        if node.view_age().is_some_and(|age| age <= max_age) {
            return true;
        }
    }
    false
}

/// Selects random nodes that watch the source, those in this node's zone first.
fn random_watchers(node: &Rc<Node>) -> Vec<SocketAddrV4> {
    let others = other_watchers(node);
    let mut state = node.state.borrow_mut();
    let is_near = |node_address: &SocketAddrV4| {
        let near = state.zone_watchers.iter();
        near.map(|server| node.beside(*server))
            .any(|address| address == *node_address)
    };
    let (near, far): (Vec<_>, Vec<_>) = others.into_iter().partition(is_near);
    let mut selected = near
        .into_iter()
        .sample(&mut state.random, MAX_WATCHERS_QUERIED);
    let left = MAX_WATCHERS_QUERIED - selected.len();
    selected.extend(far.into_iter().sample(&mut state.random, left));
    selected
}

/// Fetches a snapshot from the nodes beside `servers`, one after another, until this node has one.
pub async fn fetch_snapshot(node: &Rc<Node>, servers: Vec<SocketAddrV4>) {
    for server in servers {
        if node.has_snapshot() {
            return;
        }
        fetch_update(node, node.beside(server), FETCH_TIMEOUT).await;
    }
}

/// Notifies the nodes beside new servers that there is a snapshot: they may be starting and know no
/// other node.
pub(super) fn notify_newcomers(node: &Rc<Node>) {
    let newcomers = std::mem::take(&mut node.state.borrow_mut().newcomers);
    if newcomers.is_empty() {
        return;
    }
    let node = node.clone();
    tokio::task::spawn_local(async move {
        for batch in newcomers.chunks(NEWCOMERS_NOTIFIED_AT_ONCE) {
            // The query carries this node's revision, so that the other node can fetch it.
            let queries = batch.iter().map(|server| node.beside(*server));
            join_all(queries.map(|address| fetch_update(&node, address, WATCHER_QUERY_TIMEOUT)))
                .await;
        }
    });
}

/// Notifies the nodes that watch the source of this node's revision, which it has read from the
/// source: the source may be refusing all of them.
pub fn notify_watchers(node: &Rc<Node>) {
    for address in other_watchers(node) {
        let node = node.clone();
        tokio::task::spawn_local(async move {
            // The query carries this node's revision, so that the other node can fetch it.
            fetch_update(&node, address, WATCHER_QUERY_TIMEOUT).await;
        });
    }
}

/// Returns the addresses of the nodes that watch the source, except this node.
fn other_watchers(node: &Rc<Node>) -> Vec<SocketAddrV4> {
    let state = node.state.borrow();
    let own = node.settings.server_address;
    let others = state.watchers.iter().filter(|address| **address != own);
    others.map(|server| node.beside(*server)).collect()
}

/// Fetches the changes that this node lacks from the node at `from`. The query carries this node's
/// revision.
async fn fetch_update(node: &Rc<Node>, from: SocketAddrV4, limit: Duration) {
    let sent_at = node.now();
    let mut headers = HeaderMap::new();
    add_snapshot_headers(node, &mut headers);
    let path = peer_headers::SNAPSHOT_PATH;
    let fetched = peer_client::fetch(node, from, path, headers, ProxyBody::empty(), limit).await;
    match fetched.and_then(require_revision) {
        Ok((update, headers)) => {
            apply_update(node, &from.to_string(), update);
            update_view_age(node, &headers, sent_at);
        }
        Err(error) => {
            warn!(node.log, "update not fetched"; "from" => %from, "error" => %error,
                "revision" => %node.revision());
        }
    }
}

fn require_revision(answer: (Update, HeaderMap)) -> Result<(Update, HeaderMap), FetchError> {
    match peer_headers::snapshot_version(&answer.1) {
        Some(_) => Ok(answer),
        None => Err(FetchError::NoSnapshotVersion),
    }
}
