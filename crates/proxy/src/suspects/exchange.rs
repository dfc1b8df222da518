//! How nodes tell each other which requests may crash servers.
//!
//! Each message between nodes names a digest of what its sender knows, if it knows
//! anything; a node that knows something else fetches the whole. News of a crash is also
//! told to a few nodes at once, and by them to others, so that it spreads where no
//! requests are under way.

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
use crate::suspects::{clear_what_runs_well, log_changes};

/// How many nodes are told of a crash at once. Each that hears of it first tells as many
/// others: of 300 nodes all but some 5% are reached so (1/e³ are not), the rest with their next message.
const FAN_OUT: usize = 3;
/// The longest time that a node may take to tell what it knows.
const FETCH_LIMIT: Duration = Duration::from_millis(500);
/// Time between two fetches that differing digests cause.
const FETCH_PAUSE: Duration = Duration::from_millis(20);
/// What another node knows is not fetched again for this time if it brought nothing:
/// the nodes forget at different moments.
const FRUITLESS_PAUSE: Duration = Duration::from_secs(5);

/// How often a node that starts asks a few others, until one of them answers. Many may
/// start at the same time.
const ASKED_AT_START: usize = 10;
/// Time between these questions.
const START_PAUSE: Duration = Duration::from_millis(300);

/// How far this node is with learning from others.
#[derive(Default)]
pub struct Learning {
    is_fetching: Cell<bool>,
    has_asked_at_start: Cell<bool>,
    /// A digest that brought nothing new, and when.
    fruitless: Cell<Option<(u64, Timestamp)>>,
}

/// Names to another node what this one knows, if it knows anything, and where to ask
/// for it.
pub(crate) fn name_digest(node: &Rc<Node>, headers: &mut HeaderMap) {
    headers.insert(peer_headers::NODE, node.own_address.clone());
    let digest = node.state.borrow().suspects.digest();
    if digest != 0 {
        headers.insert(peer_headers::SUSPECTS, HeaderValue::from(digest));
    }
}

/// Takes note of the digest that the node at `from` names.
pub(crate) fn note_digest(node: &Rc<Node>, headers: &HeaderMap, from: SocketAddrV4) {
    let Some(theirs) = peer_headers::number::<u64>(headers, &peer_headers::SUSPECTS) else {
        return;
    };
    let learning = &node.learning;
    if theirs == node.state.borrow().suspects.digest() || is_fruitless(node, theirs) {
        return;
    }
    if !learning.is_fetching.replace(true) {
        tokio::task::spawn_local(learn(node.clone(), theirs, from));
    }
}

fn is_fruitless(node: &Rc<Node>, digest: u64) -> bool {
    let known = node.learning.fruitless.get();
    known.is_some_and(|(known, at)| {
        known == digest && node.now().saturating_since(at) < FRUITLESS_PAUSE
    })
}

async fn learn(node: Rc<Node>, theirs: u64, from: SocketAddrV4) {
    let before = node.state.borrow().suspects.digest();
    exchange(&node, from).await;
    let after = node.state.borrow().suspects.digest();
    if after == before {
        node.learning.fruitless.set(Some((theirs, node.now())));
    } else if after != theirs {
        // This node knows of good runs, or of crashes, that the other doesn't.
        exchange(&node, from).await;
    }
    sleep(FETCH_PAUSE).await;
    node.learning.is_fetching.set(false);
}

/// Asks another node for what it knows; the question names what this one knows, so that
/// the other may ask in return. False if it doesn't answer.
async fn exchange(node: &Rc<Node>, with: SocketAddrV4) -> bool {
    let asked = node.now();
    let path = peer_headers::SUSPECTS_PATH;
    let mut named = HeaderMap::new();
    name_digest(node, &mut named);
    let fetched: Result<(SuspectReports, HeaderMap), FetchError> =
        peer_client::ask(node, with, path, named, ProxyBody::empty(), FETCH_LIMIT).await;
    match fetched {
        Ok((reports, _)) => {
            join(node, with, asked, reports);
            true
        }
        Err(error) => {
            warn!(node.log, "suspects not fetched"; "from" => %with, "error" => %error);
            false
        }
    }
}

fn join(node: &Rc<Node>, from: SocketAddrV4, asked: Timestamp, reports: SuspectReports) {
    let is_new = {
        let mut state = node.state.borrow_mut();
        let now = node.now();
        let is_new = state.suspects.join(now, asked, reports);
        let known = state.suspects.contents();
        clear_what_runs_well(&mut state, now, known);
        is_new
    };
    log_changes(node, &from.to_string());
    if is_new {
        let (suspected, proven) = node.state.borrow().suspects.counts();
        info!(node.log, "crashes learned"; "from" => %from, "suspects" => suspected,
            "proven" => proven);
        tell(node);
    }
}

/// The answer to a node that asks what this one knows.
pub(crate) fn answer(node: &Rc<Node>) -> Response<ProxyBody> {
    let reports = node.state.borrow().suspects.reports(node.now());
    let bytes = minicbor::to_vec(&reports).expect("writing to memory does not fail");
    let mut response = Response::new(ProxyBody::Whole(bytes.into()));
    name_digest(node, response.headers_mut());
    response
}

/// Asks a few nodes what they know, once this node has heard of any: a node that starts
/// knows nothing, and what crashed servers before still does.
pub(crate) fn ask_at_start(node: &Rc<Node>) {
    let knows_others = !drawn_nodes(node).is_empty();
    if knows_others && !node.learning.has_asked_at_start.replace(true) {
        tokio::task::spawn_local(ask_until_answered(node.clone()));
    }
}

async fn ask_until_answered(node: Rc<Node>) {
    for _ in 0..ASKED_AT_START {
        let asked = drawn_nodes(&node).into_iter();
        let asked = asked.map(|other| exchange(&node, other));
        let answered = join_all(asked).await;
        if answered.contains(&true) {
            return;
        }
        sleep(START_PAUSE).await;
    }
}

pub(super) fn tell(node: &Rc<Node>) {
    for other in drawn_nodes(node) {
        let node = node.clone();
        tokio::task::spawn_local(async move { exchange(&node, other).await });
    }
}

fn drawn_nodes(node: &Rc<Node>) -> Vec<SocketAddrV4> {
    let mut state = node.state.borrow_mut();
    let servers = state.snapshots.servers_in_force().into_iter();
    let others = servers.filter(|server| !node.is_beside(server));
    let addresses = others.map(|server| node.node_beside(&server));
    addresses.sample(&mut state.random, FAN_OUT)
}
