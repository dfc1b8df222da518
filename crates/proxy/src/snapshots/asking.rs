//! What a node asks others about the snapshot, and whom.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hyper::HeaderMap;
use lifthollow_coordination::mesh::view_freshness;
use lifthollow_state::mesh::{SnapshotVersion, Update};
use rand::seq::IteratorRandom;
use slog::warn;

use super::{name_snapshot, note_view, take_update};
use crate::http::ProxyBody;
use crate::node::Node;
use crate::peer_client::{self, FetchError};
use crate::peer_headers;

/// A node that watches the source waits this long for it before it asks another
/// node.
const WATCHER_DELAY: Duration = Duration::from_millis(300);
/// The longest time that a node which is ahead may take to answer.
const FETCH_LIMIT: Duration = Duration::from_millis(800);
/// The longest time that a node which watches the source may take to answer,
/// before another one or the source is asked.
const ASK_LIMIT: Duration = Duration::from_millis(200);
/// The longest time that a node which watches the source waits for another one to spare it a
/// question. Short, as listeners count on its view.
const OTHER_WATCHER_LIMIT: Duration = Duration::from_millis(60);
/// How many nodes that watch the source are asked before the source itself.
const WATCHERS_ASKED: usize = 2;
/// How many newcomers are told at a time that there is a snapshot: each fetches it at once.
const TOLD_AT_A_TIME: usize = 16;

/// Fetches what this node lacks from one that has said that it has it.
pub(super) async fn catch_up(node: Rc<Node>, theirs: SnapshotVersion, from: SocketAddrV4) {
    // Without a snapshot there is nothing to wait for: callers are turned away.
    if node.has_snapshot() && node.is_watcher() {
        tokio::time::sleep(WATCHER_DELAY).await;
    }
    if node.snapshot_version().lacks(theirs) {
        fetch_update(&node, from, FETCH_LIMIT).await;
    }
    node.is_catching_up.set(false);
}

/// Asks nodes that watch the source what this one lacks, until its view is fresh.
pub async fn ask_watchers(node: &Rc<Node>) {
    for address in drawn_watchers(node) {
        fetch_update(node, address, ASK_LIMIT).await;
        if node.is_view_fresh() {
            return;
        }
    }
}

/// Asks another node that watches the source whether it has asked that a moment ago, which
/// spares a question of this one. False if it has not.
pub async fn ask_another_watcher(node: &Rc<Node>) -> bool {
    let other = {
        let others = other_watchers(node).into_iter();
        others.choose(&mut node.state.borrow_mut().random)
    };
    let Some(other) = other else {
        return false;
    };
    fetch_update(node, other, OTHER_WATCHER_LIMIT).await;
    let age = node.view_age();
    age.is_some_and(|age| age <= view_freshness::SPARED_AGE)
}

/// Some of the nodes that watch the source, those of the own zone first.
fn drawn_watchers(node: &Rc<Node>) -> Vec<SocketAddrV4> {
    let others = other_watchers(node);
    let mut state = node.state.borrow_mut();
    let is_near = |node_address: &SocketAddrV4| {
        let near = state.zone_watchers.iter();
        near.map(|server| node.beside(*server))
            .any(|address| address == *node_address)
    };
    let (near, far): (Vec<_>, Vec<_>) = others.into_iter().partition(is_near);
    let mut drawn = near.into_iter().sample(&mut state.random, WATCHERS_ASKED);
    let left = WATCHERS_ASKED - drawn.len();
    drawn.extend(far.into_iter().sample(&mut state.random, left));
    drawn
}

/// Asks the nodes beside `servers` for a snapshot, one after the other, until there is one.
pub async fn ask_for_snapshot(node: &Rc<Node>, servers: Vec<SocketAddrV4>) {
    for server in servers {
        if node.has_snapshot() {
            return;
        }
        fetch_update(node, node.beside(server), FETCH_LIMIT).await;
    }
}

/// Tells the nodes beside servers that are new that there is a snapshot: they may be starting
/// and know nobody.
pub(super) fn tell_newcomers(node: &Rc<Node>) {
    let newcomers = std::mem::take(&mut node.state.borrow_mut().newcomers);
    if newcomers.is_empty() {
        return;
    }
    let node = node.clone();
    tokio::task::spawn_local(async move {
        for some in newcomers.chunks(TOLD_AT_A_TIME) {
            // The question names this node's revision.
            let questions = some.iter().map(|server| node.beside(*server));
            join_all(questions.map(|address| fetch_update(&node, address, ASK_LIMIT))).await;
        }
    });
}

/// Tells the nodes that watch the source what this one has learned from it: the
/// source may refuse them all.
pub fn tell_watchers(node: &Rc<Node>) {
    for address in other_watchers(node) {
        let node = node.clone();
        tokio::task::spawn_local(async move {
            // The question names this node's revision.
            fetch_update(&node, address, ASK_LIMIT).await;
        });
    }
}

/// The nodes that watch the source, but for this one.
fn other_watchers(node: &Rc<Node>) -> Vec<SocketAddrV4> {
    let state = node.state.borrow();
    let own = node.settings.server_address;
    let others = state.watchers.iter().filter(|address| **address != own);
    others.map(|server| node.beside(*server)).collect()
}

/// Asks the node at `from` for what this one lacks. The question names this node's revision.
async fn fetch_update(node: &Rc<Node>, from: SocketAddrV4, limit: Duration) {
    let asked = node.now();
    let mut named = HeaderMap::new();
    name_snapshot(node, &mut named);
    let path = peer_headers::SNAPSHOT_PATH;
    let fetched = peer_client::fetch(node, from, path, named, ProxyBody::empty(), limit).await;
    match fetched.and_then(with_revision) {
        Ok((update, headers)) => {
            take_update(node, &from.to_string(), update);
            note_view(node, &headers, asked);
        }
        Err(error) => {
            warn!(node.log, "update not fetched"; "from" => %from, "error" => %error,
                "revision" => %node.revision());
        }
    }
}

fn with_revision(answer: (Update, HeaderMap)) -> Result<(Update, HeaderMap), FetchError> {
    match peer_headers::snapshot_version(&answer.1) {
        Some(_) => Ok(answer),
        None => Err(FetchError::NoSnapshotVersion),
    }
}
