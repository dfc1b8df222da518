//! What comes from outside: applied, and passed on between nodes.
//!
//! Few nodes watch the source. Every message between nodes names the sender's
//! revision, and every answer how long ago that was known to be the newest. A node
//! that is behind fetches what it lacks from a node that is ahead.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response};
use lifthollow_coordination::mesh::snapshot_store::Applied;
use lifthollow_coordination::mesh::view_freshness::{self, NamedAge};
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{Change, Snapshot, Update};
use rand::seq::IteratorRandom;
use slog::{info, warn};

use crate::http::ProxyBody;
use crate::node::Node;
use crate::peer_client::{self, FetchError};
use crate::peer_headers;
use crate::suspects::exchange;

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

/// Takes in changes that the source tells of; all up to `revision` are included.
pub fn apply(node: &Rc<Node>, revision: u64, changes: Vec<(u64, Change)>) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let mut applied = Vec::new();
    for (changed_at, change) in changes {
        applied.push(state.snapshots.apply(now, changed_at, change));
    }
    state.snapshots.advance(revision);
    node.metrics
        .changes
        .with_label_values(&["source"])
        .inc_by(applied.len() as u64);
    if !applied.is_empty() {
        node.refresh(&mut state);
    }
    drop(state);
    note_applied(node, "source", &applied);
}

/// Takes in a whole snapshot, from the source or another node.
pub fn replace(node: &Rc<Node>, from: &str, snapshot: Snapshot) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let applied = state.snapshots.replace(now, snapshot);
    node.refresh(&mut state);
    drop(state);
    note_applied(node, from, &applied);
}

fn note_applied(node: &Rc<Node>, from: &str, applied: &[Applied]) {
    log_applied(node, from, applied);
    exchange::ask_at_start(node);
    tell_newcomers(node);
}

fn log_applied(node: &Rc<Node>, from: &str, applied: &[Applied]) {
    let revision = node.revision();
    for one in applied {
        if let Applied::Refused(findings) = one {
            let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
            warn!(node.log, "configuration refused"; "from" => from, "revision" => revision, "findings" => findings.join("; "));
        }
    }
    if applied.contains(&Applied::Configuration) {
        let version = node.configuration_version();
        info!(node.log, "configuration in force"; "from" => from, "revision" => revision, "version" => version);
    }
    if applied.contains(&Applied::Servers) {
        let state = node.state.borrow();
        let servers = &state.snapshots.snapshot().servers;
        let draining = servers.values().filter(|known| !known.instance.is_ready());
        info!(node.log, "servers changed"; "from" => from, "revision" => revision, "known" => servers.len(), "draining" => draining.count());
    }
}

/// The answer to a node that asks for what it lacks: it names the revision that
/// it has.
pub fn answer(node: &Rc<Node>, headers: &HeaderMap, arrived: Timestamp) -> Response<ProxyBody> {
    let theirs = peer_headers::revision(headers).unwrap_or(0);
    let bytes = match node.state.borrow().snapshots.knows_changes_since(theirs) {
        true => encoded_update_since(node, theirs),
        false => encoded_snapshot(node),
    };
    let mut response = Response::new(ProxyBody::Whole(bytes));
    name_view(node, response.headers_mut(), arrived);
    response
}

/// The whole snapshot, encoded once for all that ask for it: many nodes start at the same time.
fn encoded_snapshot(node: &Rc<Node>) -> Bytes {
    const NO_REVISION: u64 = 0;
    let revision = node.revision();
    let mut kept = node.encoded_snapshot.borrow_mut();
    if let Some((of, bytes)) = kept.as_ref()
        && *of == revision
    {
        return bytes.clone();
    }
    let bytes = encoded_update_since(node, NO_REVISION);
    *kept = Some((revision, bytes.clone()));
    bytes
}

/// What a node lacks whose snapshot is of `revision`, encoded.
fn encoded_update_since(node: &Rc<Node>, revision: u64) -> Bytes {
    let update = node.state.borrow().snapshots.update_since(revision);
    let bytes = minicbor::to_vec(&update).expect("writing to memory does not fail");
    bytes.into()
}

/// Tells another node which revision this one has and what it knows of requests that
/// crash servers, and where to ask for both.
pub fn name_revision(node: &Rc<Node>, headers: &mut HeaderMap) {
    let revision = HeaderValue::from(node.revision());
    headers.insert(peer_headers::REVISION, revision);
    exchange::name_digest(node, headers);
}

/// Tells another node, with the answer to a question that arrived at `arrived`, which
/// revision this one has and how fresh that is.
pub fn name_view(node: &Rc<Node>, headers: &mut HeaderMap, arrived: Timestamp) {
    name_revision(node, headers);
    if let Some(age) = node.view_age() {
        let held = node.now().saturating_since(arrived);
        let value = peer_headers::view_value(NamedAge { age, held });
        headers.insert(peer_headers::VIEW, value);
    }
}

/// Takes note of the revision that another node names, and of what it knows of requests
/// that crash servers.
pub fn note_revision(node: &Rc<Node>, headers: &HeaderMap, from: SocketAddrV4) {
    exchange::note_digest(node, headers, from);
    let Some(theirs) = peer_headers::revision(headers) else {
        return;
    };
    if theirs > node.revision() && !node.is_catching_up.replace(true) {
        tokio::task::spawn_local(catch_up(node.clone(), theirs, from));
    }
}

/// Takes note of what another node's answer to a question of `asked` says of its view.
/// If the source had nothing newer than what that node has, it had nothing newer
/// than what this node has, which is the same or more.
pub fn note_view(node: &Rc<Node>, headers: &HeaderMap, asked: Timestamp) {
    let theirs = peer_headers::revision(headers);
    if theirs.is_none_or(|theirs| theirs > node.revision()) {
        return;
    }
    if let Some(named) = peer_headers::view(headers) {
        let now = node.now();
        let age = named.at_most(now.saturating_since(asked));
        node.confirm_view(now.saturating_sub(age));
    }
}

async fn catch_up(node: Rc<Node>, theirs: u64, from: SocketAddrV4) {
    // Without a snapshot there is nothing to wait for: callers are turned away.
    if node.revision() > 0 && node.is_watcher() {
        tokio::time::sleep(WATCHER_DELAY).await;
    }
    if node.revision() < theirs {
        fetch_update(&node, from, FETCH_LIMIT).await;
    }
    node.is_catching_up.set(false);
}

/// Asks nodes that watch the source what this one lacks, until its view is fresh.
/// False if it is not.
pub async fn ask_watchers(node: &Rc<Node>) -> bool {
    for address in drawn_watchers(node) {
        fetch_update(node, address, ASK_LIMIT).await;
        if node.is_view_fresh() {
            return true;
        }
    }
    false
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
        if node.revision() > 0 {
            return;
        }
        fetch_update(node, node.beside(server), FETCH_LIMIT).await;
    }
}

/// Tells the nodes beside servers that are new that there is a snapshot: they may be starting
/// and know nobody.
fn tell_newcomers(node: &Rc<Node>) {
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

async fn fetch_update(node: &Rc<Node>, from: SocketAddrV4, limit: Duration) {
    let asked = node.now();
    let mut named = HeaderMap::new();
    name_revision(node, &mut named);
    let path = peer_headers::SNAPSHOT_PATH;
    let fetched = peer_client::ask(node, from, path, named, ProxyBody::empty(), limit).await;
    match fetched.and_then(with_revision) {
        Ok((update, headers)) => {
            take_update(node, &from.to_string(), update);
            note_view(node, &headers, asked);
        }
        Err(error) => {
            warn!(node.log, "update not fetched"; "from" => %from, "error" => %error,
                "revision" => node.revision());
        }
    }
}

fn take_update(node: &Rc<Node>, from: &str, update: Update) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let applied = state.snapshots.update(now, update);
    if !applied.is_empty() {
        node.refresh(&mut state);
    }
    drop(state);
    node.metrics
        .changes
        .with_label_values(&["node"])
        .inc_by(applied.len() as u64);
    note_applied(node, from, &applied);
}

fn with_revision(answer: (Update, HeaderMap)) -> Result<(Update, HeaderMap), FetchError> {
    match peer_headers::revision(&answer.1) {
        Some(_) => Ok(answer),
        None => Err(FetchError::Unnamed),
    }
}
