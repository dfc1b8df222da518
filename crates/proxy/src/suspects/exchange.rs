//! Exchanges reports between nodes about requests that may crash servers.
//!
//! Each message between nodes carries a digest of its sender's reports, if it has any; a node
//! whose digest differs fetches all of them. A new crash is also announced to a few nodes at once,
//! and by them to others, so that the reports spread even without request traffic.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response};
use lifthollow_protocol::suspects::SuspectReports;
use lifthollow_state::Timestamp;
use rand::seq::IteratorRandom;
use slog::{info, warn};
use tokio::time::sleep;

use crate::http::ProxyBody;
use crate::node::Node;
use crate::peer_client::{self, FetchError};
use crate::peer_headers;
use crate::suspects::{clear_successfully_run_contents, log_changes};

/// Number of nodes that a crash is announced to at once. Each node that learns of it announces it
/// to as many others: of 300 nodes this reaches all but about 5% (1/e³), the rest with their next
/// message.
const FAN_OUT: usize = 3;
/// Timeout of a fetch of another node's reports.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// The shortest pause between two fetches that are caused by differing digests.
const FETCH_PAUSE: Duration = Duration::from_millis(20);
/// Reports with the same digest are not fetched again for this time if they contained nothing new:
/// digests differ for a while because nodes forget reports at different moments.
const UNCHANGED_FETCH_PAUSE: Duration = Duration::from_secs(5);

/// How often a starting node queries a few other nodes, until one of them answers. More than one
/// round is needed because many nodes may start at the same time.
const START_QUERY_ROUNDS: usize = 10;
/// Pause between two rounds of queries by a starting node.
const START_QUERY_PAUSE: Duration = Duration::from_millis(300);

/// The state of this node's exchange of reports with other nodes.
#[derive(Default)]
pub struct ReportExchange {
    /// Whether reports are being fetched because of a differing digest.
    is_fetching: Cell<bool>,
    /// Whether this node has begun to query other nodes after its start.
    has_queried_at_start: Cell<bool>,
    /// The digest whose reports last contained nothing new, and when they were fetched.
    unchanged_fetch: Cell<Option<(u64, Timestamp)>>,
}

/// Adds to a message's headers the digest of this node's reports, if it has any, and the address to
/// fetch them from.
pub(crate) fn add_digest_headers(node: &Rc<Node>, headers: &mut HeaderMap) {
    headers.insert(peer_headers::NODE, node.own_address.clone());
    let digest = node.state.borrow().suspects.digest();
    if digest != 0 {
        headers.insert(peer_headers::SUSPECTS, HeaderValue::from(digest));
    }
}

/// Fetches the reports of the node at `from` if the digest in its headers differs from this node's.
pub(crate) fn fetch_if_digest_differs(node: &Rc<Node>, headers: &HeaderMap, from: SocketAddrV4) {
    let Some(their_digest) = peer_headers::number::<u64>(headers, &peer_headers::SUSPECTS) else {
        return;
    };
    let report_exchange = &node.report_exchange;
    if their_digest == node.state.borrow().suspects.digest()
        || is_refetch_too_early(node, their_digest)
    {
        return;
    }
    if !report_exchange.is_fetching.replace(true) {
        tokio::task::spawn_local(fetch_reports(node.clone(), their_digest, from));
    }
}

fn is_refetch_too_early(node: &Rc<Node>, digest: u64) -> bool {
    let known = node.report_exchange.unchanged_fetch.get();
    known.is_some_and(|(known, at)| {
        known == digest && node.now().saturating_since(at) < UNCHANGED_FETCH_PAUSE
    })
}

async fn fetch_reports(node: Rc<Node>, their_digest: u64, from: SocketAddrV4) {
    let before = node.state.borrow().suspects.digest();
    fetch_and_merge(&node, from).await;
    let after = node.state.borrow().suspects.digest();
    if after == before {
        node.report_exchange
            .unchanged_fetch
            .set(Some((their_digest, node.now())));
    } else if after != their_digest {
        // This node knows of successful runs or of crashes that the other node does not.
        fetch_and_merge(&node, from).await;
    }
    sleep(FETCH_PAUSE).await;
    node.report_exchange.is_fetching.set(false);
}

/// Fetches another node's reports and merges them. The query carries this node's digest, so that
/// the other node can fetch in return. Returns false if the other node does not answer.
async fn fetch_and_merge(node: &Rc<Node>, address: SocketAddrV4) -> bool {
    let sent_at = node.now();
    let path = peer_headers::SUSPECTS_PATH;
    let mut headers = HeaderMap::new();
    add_digest_headers(node, &mut headers);
    let fetched: Result<(SuspectReports, HeaderMap), FetchError> = peer_client::fetch(
        node,
        address,
        path,
        headers,
        ProxyBody::empty(),
        FETCH_TIMEOUT,
    )
    .await;
    match fetched {
        Ok((reports, _)) => {
            merge_reports(node, address, sent_at, reports);
            true
        }
        Err(error) => {
            warn!(node.log, "suspects not fetched"; "from" => %address, "error" => %error);
            false
        }
    }
}

fn merge_reports(node: &Rc<Node>, from: SocketAddrV4, sent_at: Timestamp, reports: SuspectReports) {
    let is_new = {
        let mut state = node.state.borrow_mut();
        let now = node.now();
        let is_new = state.suspects.merge_reports(now, sent_at, reports);
        let known = state.suspects.contents();
        clear_successfully_run_contents(&mut state, now, known);
        is_new
    };
    log_changes(node, &from.to_string());
    if is_new {
        let (suspected, proven) = node.state.borrow().suspects.counts();
        info!(node.log, "crash reports received"; "from" => %from, "suspects" => suspected,
            "proven" => proven);
        announce(node);
    }
}

/// Answers a node that fetches this node's reports.
pub(crate) fn answer(node: &Rc<Node>) -> Response<ProxyBody> {
    let reports = node.state.borrow().suspects.reports(node.now());
    let bytes = minicbor::to_vec(&reports).expect("writing to memory does not fail");
    let mut response = Response::new(ProxyBody::Whole(bytes.into()));
    add_digest_headers(node, response.headers_mut());
    response
}

/// Fetches the reports of a few nodes, once after this node's start and as soon as it knows other
/// nodes: a starting node has no reports, but requests that crashed servers before still do.
pub(crate) fn query_at_start(node: &Rc<Node>) {
    let knows_others = !random_other_nodes(node).is_empty();
    if knows_others && !node.report_exchange.has_queried_at_start.replace(true) {
        tokio::task::spawn_local(query_until_answered(node.clone()));
    }
}

async fn query_until_answered(node: Rc<Node>) {
    for _ in 0..START_QUERY_ROUNDS {
        let queries = random_other_nodes(&node).into_iter();
        let queries = queries.map(|other| fetch_and_merge(&node, other));
        let answered = join_all(queries).await;
        if answered.contains(&true) {
            return;
        }
        sleep(START_QUERY_PAUSE).await;
    }
}

/// Announces a change of this node's reports to [`FAN_OUT`] random nodes by querying theirs: the
/// query carries this node's digest.
pub(super) fn announce(node: &Rc<Node>) {
    for other in random_other_nodes(node) {
        let node = node.clone();
        tokio::task::spawn_local(async move { fetch_and_merge(&node, other).await });
    }
}

fn random_other_nodes(node: &Rc<Node>) -> Vec<SocketAddrV4> {
    let mut state = node.state.borrow_mut();
    let servers = state.snapshots.active_servers().into_iter();
    let others = servers.filter(|server| !node.is_beside(server));
    let addresses = others.map(|server| node.node_beside(&server));
    addresses.sample(&mut state.random, FAN_OUT)
}
