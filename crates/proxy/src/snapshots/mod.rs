//! Applies changes of configuration and servers to the snapshot, and exchanges them between nodes.
//!
//! Few nodes watch the source. Every message between nodes carries the sender's revision, and every
//! answer also how long ago that revision was known to be the newest. A node that is behind fetches
//! the changes that it lacks from a node that is ahead ([`peer_queries`]).

pub mod peer_queries;

use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::Bytes;
use hyper::{HeaderMap, Response};
use lifthollow_coordination::mesh::snapshot_store::Applied;
use lifthollow_coordination::mesh::view_freshness::ReportedAge;
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{RevisedChange, Revision, Snapshot, SnapshotVersion, Update};
use slog::{info, warn};

use crate::http::ProxyBody;
use crate::node::Node;
use crate::peer_headers;
use crate::suspects::exchange;

/// Applies changes from the source, which include all changes up to `revision`.
pub fn apply_changes(node: &Rc<Node>, revision: Revision, changes: Vec<RevisedChange>) {
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
    handle_applied(node, "source", &applied);
}

/// Applies a whole snapshot, from the source or another node. `from` names its origin in the log.
pub fn replace_snapshot(node: &Rc<Node>, from: &str, snapshot: Snapshot) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let before = state.snapshots.version();
    let applied = state.snapshots.replace(now, snapshot);
    node.refresh(&mut state);
    drop(state);
    log_new_era(node, from, before);
    handle_applied(node, from, &applied);
}

/// Applies an update that another node has sent.
fn apply_update(node: &Rc<Node>, from: &str, update: Update) {
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
    handle_applied(node, from, &applied);
}

fn handle_applied(node: &Rc<Node>, from: &str, applied: &[Applied]) {
    log_applied(node, from, applied);
    exchange::query_at_start(node);
    peer_queries::notify_newcomers(node);
}

/// Logs a change of the revision's era, which means that the source has lost changes, with the
/// versions before and after it.
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
    for result in applied {
        if let Applied::Rejected(findings) = result {
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

/// Answers a node that fetches the changes which it lacks. The request's headers carry that node's
/// snapshot version.
pub fn answer(node: &Rc<Node>, headers: &HeaderMap, arrived: Timestamp) -> Response<ProxyBody> {
    let their_version = peer_headers::snapshot_version(headers).unwrap_or_default();
    let needs_whole_snapshot = node
        .state
        .borrow()
        .snapshots
        .needs_whole_snapshot(their_version);
    let bytes = match needs_whole_snapshot {
        true => encoded_snapshot(node),
        false => encoded_update_since(node, their_version),
    };
    let mut response = Response::new(ProxyBody::Whole(bytes));
    add_view_headers(node, response.headers_mut(), arrived);
    response
}

/// Returns the whole encoded snapshot, cached for all nodes that fetch it: many nodes start at the
/// same time.
fn encoded_snapshot(node: &Rc<Node>) -> Bytes {
    let version = node.snapshot_version();
    let mut cached = node.encoded_snapshot.borrow_mut();
    if let Some((of, bytes)) = cached.as_ref()
        && *of == version
    {
        return bytes.clone();
    }
    let bytes = encoded_update_since(node, SnapshotVersion::default());
    *cached = Some((version, bytes.clone()));
    bytes
}

/// Encodes the changes that a node with snapshot version `their_version` lacks.
fn encoded_update_since(node: &Rc<Node>, their_version: SnapshotVersion) -> Bytes {
    let update = node.state.borrow().snapshots.update_since(their_version);
    let bytes = minicbor::to_vec(&update).expect("writing to memory does not fail");
    bytes.into()
}

/// Adds to a message's headers the version of this node's snapshot, the digest of its reports about
/// requests that crash servers, and the address to fetch both from.
pub fn add_snapshot_headers(node: &Rc<Node>, headers: &mut HeaderMap) {
    let version = peer_headers::snapshot_version_value(node.snapshot_version());
    headers.insert(peer_headers::SNAPSHOT_VERSION, version);
    exchange::add_digest_headers(node, headers);
}

/// Adds to the headers of an answer which revision this node has and how fresh it is. The request
/// that is answered arrived at `arrived`.
pub fn add_view_headers(node: &Rc<Node>, headers: &mut HeaderMap, arrived: Timestamp) {
    add_snapshot_headers(node, headers);
    if let Some(age) = node.view_age() {
        let hold_time = node.now().saturating_since(arrived);
        let value = peer_headers::view_value(ReportedAge { age, hold_time });
        headers.insert(peer_headers::VIEW, value);
    }
}

/// Fetches what this node lacks from the node at `from`, if the headers of its message contain a
/// newer snapshot or a different digest of reports about requests that crash servers.
pub fn fetch_if_newer(node: &Rc<Node>, headers: &HeaderMap, from: SocketAddrV4) {
    exchange::fetch_if_digest_differs(node, headers, from);
    let Some(their_version) = peer_headers::snapshot_version(headers) else {
        return;
    };
    if node.snapshot_version().lacks(their_version) && !node.is_catching_up.replace(true) {
        tokio::task::spawn_local(peer_queries::catch_up(node.clone(), their_version, from));
    }
}

/// Updates the age of this node's view from another node's answer to a request sent at `sent_at`. If
/// the source had nothing newer than that node's revision, it had nothing newer than this node's,
/// which is the same or later.
pub fn update_view_age(node: &Rc<Node>, headers: &HeaderMap, sent_at: Timestamp) {
    let their_version = peer_headers::snapshot_version(headers);
    if their_version.is_none_or(|their_version| their_version.revision > node.revision()) {
        return;
    }
    if let Some(reported) = peer_headers::view(headers) {
        let now = node.now();
        let age = reported.max_age_on_arrival(now.saturating_since(sent_at));
        node.confirm_view(now.saturating_sub(age));
    }
}
