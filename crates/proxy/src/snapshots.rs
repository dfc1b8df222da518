//! What comes from outside: applied, and passed on between nodes.
//!
//! Every message between nodes names the sender's revision. A node that stays
//! behind, because the source doesn't answer it, fetches the whole snapshot from
//! a node that is ahead.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, Request, Response};
use lifthollow_coordination::mesh::snapshot_store::{Applied, Change};
use lifthollow_state::mesh::Snapshot;
use slog::{info, warn};
use thiserror::Error;

use crate::http::ProxyBody;
use crate::http::body::{self, ReadBody};
use crate::http::pool::Reuse;
use crate::node::Node;
use crate::peer_headers;

/// A node waits this long for the source before it asks another node.
const FETCH_DELAY: Duration = Duration::from_millis(300);
/// The longest time that another node may take to answer.
const FETCH_LIMIT: Duration = Duration::from_millis(800);
/// The largest snapshot that is taken in, bytes.
const MAX_SNAPSHOT: usize = 16 * 1024 * 1024;

#[derive(Debug, Error)]
enum FetchError {
    #[error("{0}")]
    Send(#[from] crate::http::pool::SendError),
    #[error("{0}")]
    Read(#[from] hyper::Error),
    #[error("larger than {MAX_SNAPSHOT} bytes")]
    TooLarge,
    #[error("{0}")]
    Decode(#[from] minicbor::decode::Error),
    #[error("no answer in time")]
    TimedOut,
}

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
    log_applied(node, "source", &applied);
}

/// Takes in a whole snapshot, from the source or another node.
pub fn replace(node: &Rc<Node>, from: &str, snapshot: Snapshot) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let applied = state.snapshots.replace(now, snapshot);
    node.refresh(&mut state);
    drop(state);
    log_applied(node, from, &applied);
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

/// The answer to a node that asks for the snapshot.
pub fn answer(node: &Rc<Node>) -> Response<ProxyBody> {
    let snapshot = node.state.borrow().snapshots.snapshot().clone();
    let bytes = minicbor::to_vec(&*snapshot).expect("writing to memory does not fail");
    Response::new(ProxyBody::Whole(bytes.into()))
}

/// Tells another node which revision this one has, and where to ask for it.
pub fn name_revision(node: &Rc<Node>, headers: &mut HeaderMap) {
    headers.insert(peer_headers::REVISION, HeaderValue::from(node.revision()));
    headers.insert(peer_headers::NODE, node.own_address.clone());
}

/// Takes note of the revision that another node names.
pub fn note_revision(node: &Rc<Node>, headers: &HeaderMap, from: SocketAddrV4) {
    let Some(theirs) = peer_headers::number::<u64>(headers, &peer_headers::REVISION) else {
        return;
    };
    if theirs <= node.revision() || node.newer_at.get().is_some() {
        return;
    }
    node.newer_at.set(Some((theirs, from)));
    tokio::task::spawn_local(catch_up(node.clone(), theirs, from));
}

async fn catch_up(node: Rc<Node>, theirs: u64, from: SocketAddrV4) {
    // Without a snapshot there is nothing to wait for: callers are turned away.
    if node.revision() > 0 {
        tokio::time::sleep(FETCH_DELAY).await;
    }
    if node.revision() < theirs {
        match fetch(&node, from).await {
            Ok(snapshot) => replace(&node, &from.to_string(), snapshot),
            Err(error) => {
                warn!(node.log, "snapshot not fetched"; "from" => %from, "error" => %error);
            }
        }
    }
    node.newer_at.set(None);
}

async fn fetch(node: &Rc<Node>, from: SocketAddrV4) -> Result<Snapshot, FetchError> {
    let mut request = Request::new(ProxyBody::empty());
    *request.uri_mut() = hyper::Uri::from_static(peer_headers::SNAPSHOT_PATH);
    let host = HeaderValue::try_from(from.to_string()).expect("an address is plain text");
    request.headers_mut().insert(HOST, host);
    let exchange = async {
        let (response, lease) = node
            .peer_connections
            .send(from, request, Reuse::Any)
            .await?;
        match body::read(response.into_body(), MAX_SNAPSHOT).await? {
            ReadBody::Larger { .. } => Err(FetchError::TooLarge),
            ReadBody::Whole(bytes) => {
                lease.keep();
                Ok(minicbor::decode(&bytes)?)
            }
        }
    };
    tokio::time::timeout(FETCH_LIMIT, exchange)
        .await
        .map_err(|_| FetchError::TimedOut)?
}
