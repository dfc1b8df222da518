//! What comes from outside: applied, and passed on between nodes.
//!
//! Few nodes watch the source. Every message between nodes names the sender's
//! revision, and every answer how long ago that was known to be the newest. A node
//! that is behind fetches what it lacks from a node that is ahead ([`asking`]).

pub mod asking;

use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::Bytes;
use hyper::{HeaderMap, Response};
use lifthollow_coordination::mesh::snapshot_store::Applied;
use lifthollow_coordination::mesh::view_freshness::NamedAge;
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{RevisedChange, Revision, Snapshot, SnapshotVersion, Update};
use slog::{info, warn};

use crate::http::ProxyBody;
use crate::node::Node;
use crate::peer_headers;
use crate::suspects::exchange;

/// Takes in changes that the source tells of; all up to `revision` are included.
pub fn apply(node: &Rc<Node>, revision: Revision, changes: Vec<RevisedChange>) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let mut applied = Vec::new();
    for RevisedChange { revision, change } in changes {
        applied.push(state.snapshots.apply(now, revision, change));
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
    let before = state.snapshots.version();
    let applied = state.snapshots.replace(now, snapshot);
    node.refresh(&mut state);
    drop(state);
    log_new_era(node, from, before);
    note_applied(node, from, &applied);
}

/// Takes in what another node has sent.
fn take_update(node: &Rc<Node>, from: &str, update: Update) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let before = state.snapshots.version();
    let applied = state.snapshots.update(now, update);
    if !applied.is_empty() {
        node.refresh(&mut state);
    }
    drop(state);
    log_new_era(node, from, before);
    node.metrics
        .changes
        .with_label_values(&["node"])
        .inc_by(applied.len() as u64);
    note_applied(node, from, &applied);
}

fn note_applied(node: &Rc<Node>, from: &str, applied: &[Applied]) {
    log_applied(node, from, applied);
    exchange::query_at_start(node);
    asking::tell_newcomers(node);
}

/// Logs that the source has lost changes, and what this node keeps of what it knew.
fn log_new_era(node: &Rc<Node>, from: &str, before: SnapshotVersion) {
    let after = node.snapshot_version();
    if before.revision.is_none() || after.revision.era == before.revision.era {
        return;
    }
    warn!(node.log, "source came back from an older copy"; "from" => from,
        "revision" => %after.revision, "revision_before" => %before.revision,
        "version" => after.configuration, "version_before" => before.configuration);
}

fn log_applied(node: &Rc<Node>, from: &str, applied: &[Applied]) {
    let revision = node.revision();
    for one in applied {
        if let Applied::Refused(findings) = one {
            let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
            warn!(node.log, "configuration refused"; "from" => from, "revision" => %revision, "findings" => findings.join("; "));
        }
    }
    if applied.contains(&Applied::Configuration) {
        let version = node.configuration_version();
        info!(node.log, "configuration in force"; "from" => from, "revision" => %revision, "version" => version);
    }
    if applied.contains(&Applied::Servers) {
        let state = node.state.borrow();
        let servers = &state.snapshots.snapshot().servers;
        let draining = servers.values().filter(|known| !known.instance.is_ready());
        info!(node.log, "servers changed"; "from" => from, "revision" => %revision, "known" => servers.len(), "draining" => draining.count());
    }
}

/// The answer to a node that asks for what it lacks: it names the revision that
/// it has.
pub fn answer(node: &Rc<Node>, headers: &HeaderMap, arrived: Timestamp) -> Response<ProxyBody> {
    let theirs = peer_headers::snapshot_version(headers).unwrap_or_default();
    let needs_whole = node.state.borrow().snapshots.needs_whole(theirs);
    let bytes = match needs_whole {
        true => encoded_snapshot(node),
        false => encoded_update_since(node, theirs),
    };
    let mut response = Response::new(ProxyBody::Whole(bytes));
    name_view(node, response.headers_mut(), arrived);
    response
}

/// The whole snapshot, encoded once for all that ask for it: many nodes start at the same time.
fn encoded_snapshot(node: &Rc<Node>) -> Bytes {
    let version = node.snapshot_version();
    let mut kept = node.encoded_snapshot.borrow_mut();
    if let Some((of, bytes)) = kept.as_ref()
        && *of == version
    {
        return bytes.clone();
    }
    let bytes = encoded_update_since(node, SnapshotVersion::default());
    *kept = Some((version, bytes.clone()));
    bytes
}

/// What a node lacks whose snapshot is of `theirs`, encoded.
fn encoded_update_since(node: &Rc<Node>, theirs: SnapshotVersion) -> Bytes {
    let update = node.state.borrow().snapshots.update_since(theirs);
    let bytes = minicbor::to_vec(&update).expect("writing to memory does not fail");
    bytes.into()
}

/// Tells another node of which revision this one's snapshot is and what it knows of requests
/// that crash servers, and where to ask for both.
pub fn name_snapshot(node: &Rc<Node>, headers: &mut HeaderMap) {
    let version = peer_headers::snapshot_version_value(node.snapshot_version());
    headers.insert(peer_headers::SNAPSHOT_VERSION, version);
    exchange::add_digest_headers(node, headers);
}

/// Tells another node, with the answer to a question that arrived at `arrived`, which
/// revision this one has and how fresh that is.
pub fn name_view(node: &Rc<Node>, headers: &mut HeaderMap, arrived: Timestamp) {
    name_snapshot(node, headers);
    if let Some(age) = node.view_age() {
        let held = node.now().saturating_since(arrived);
        let value = peer_headers::view_value(NamedAge { age, held });
        headers.insert(peer_headers::VIEW, value);
    }
}

/// Takes note of what another node says of its snapshot, and of what it knows of requests
/// that crash servers.
pub fn note_snapshot(node: &Rc<Node>, headers: &HeaderMap, from: SocketAddrV4) {
    exchange::fetch_if_digest_differs(node, headers, from);
    let Some(theirs) = peer_headers::snapshot_version(headers) else {
        return;
    };
    if node.snapshot_version().lacks(theirs) && !node.is_catching_up.replace(true) {
        tokio::task::spawn_local(asking::catch_up(node.clone(), theirs, from));
    }
}

/// Takes note of what another node's answer to a question of `asked` says of its view.
/// If the source had nothing newer than what that node has, it had nothing newer
/// than what this node has, which is the same or more.
pub fn note_view(node: &Rc<Node>, headers: &HeaderMap, asked: Timestamp) {
    let theirs = peer_headers::snapshot_version(headers);
    if theirs.is_none_or(|theirs| theirs.revision > node.revision()) {
        return;
    }
    if let Some(named) = peer_headers::view(headers) {
        let now = node.now();
        let age = named.at_most(now.saturating_since(asked));
        node.confirm_view(now.saturating_sub(age));
    }
}
