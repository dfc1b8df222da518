//! Lends tokens of tenants to other nodes.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lifthollow_coordination::mesh::tenants::lender::{Lender, TokenRequest};
use lifthollow_protocol::quota::{QuotaAnswer, QuotaQuestion};
use rand::RngExt;
use slog::{info, warn};

use crate::http::ProxyBody;
use crate::http::body::{self, ReadBody};
use crate::node::Node;
use crate::tenants::tokens::{LENDER_TIMEOUT, query_lender};

/// The largest query for tokens that is read, in bytes.
const MAX_QUERY_BYTES: usize = 4096;
/// Factor by which rates are multiplied in messages between nodes, which carry them as whole
/// thousandths.
pub(super) const THOUSANDTHS: f64 = 1000.0;

/// Answers a node that queries this one for tokens.
pub(crate) async fn answer(
    node: &Rc<Node>,
    request: Request<Option<Incoming>>,
) -> Response<ProxyBody> {
    let Some(query) = read_query(request).await else {
        warn!(node.log, "malformed token query from another node");
        let mut response = Response::new(ProxyBody::empty());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let QuotaQuestion {
        tenant,
        wanted,
        arrived,
        expected,
        is_passed_on,
    } = query;
    let token_request = TokenRequest {
        wanted,
        arrived,
        expected,
    };
    let answer = match is_passed_on {
        true => lend_forwarded(node, &tenant, token_request),
        false => lend_or_forward(node, &tenant, token_request).await,
    };
    let bytes = minicbor::to_vec(&answer).expect("writing to memory does not fail");
    Response::new(ProxyBody::Whole(bytes.into()))
}

async fn read_query(request: Request<Option<Incoming>>) -> Option<QuotaQuestion> {
    let incoming = request.into_body()?;
    let ReadBody::Whole(bytes) = body::read(incoming, MAX_QUERY_BYTES).await.ok()? else {
        return None;
    };
    let bytes: Bytes = bytes;
    minicbor::decode(&bytes).ok()
}

/// Lends tokens of `tenant`. Forwards the query first to the nodes that precede this one as
/// lenders, and lends in their place only if none of them answers.
pub(super) async fn lend_or_forward(
    node: &Rc<Node>,
    tenant: &str,
    token_request: TokenRequest,
) -> QuotaAnswer {
    let preceding = preceding_lenders(node, tenant);
    for server in &preceding {
        if let Some(answer) = query_preceding_lender(node, *server, tenant, token_request).await {
            return answer;
        }
    }
    lend_from_own_quota(node, tenant, token_request, &preceding)
}

/// Lends tokens of `tenant` for a query that another node forwarded to this one.
fn lend_forwarded(node: &Rc<Node>, tenant: &str, token_request: TokenRequest) -> QuotaAnswer {
    let preceding = preceding_lenders(node, tenant);
    lend_from_own_quota(node, tenant, token_request, &preceding)
}

/// Returns the servers whose nodes precede this one as lenders of `tenant`'s tokens. Nodes that
/// learn of servers at different moments rank them differently for a while; a node that is asked
/// but does not rank itself as a lender comes last.
fn preceding_lenders(node: &Rc<Node>, tenant: &str) -> Vec<SocketAddrV4> {
    let own = node.settings.server_address;
    let lenders = node.state.borrow_mut().tenants.lenders(tenant);
    lenders.into_iter().take_while(|one| *one != own).collect()
}

/// Queries the node beside `server`, which precedes this one as lender, unless it failed to answer
/// a moment ago.
async fn query_preceding_lender(
    node: &Rc<Node>,
    server: SocketAddrV4,
    tenant: &str,
    token_request: TokenRequest,
) -> Option<QuotaAnswer> {
    let now = node.now();
    if !node
        .state
        .borrow()
        .tenants
        .unresponsive_nodes
        .may_ask(now, server)
    {
        return None;
    }
    query_lender(node, server, tenant, token_request, true, LENDER_TIMEOUT).await
}

/// Lends tokens from this node's own share of the quota, given the lenders that precede it.
fn lend_from_own_quota(
    node: &Rc<Node>,
    tenant: &str,
    token_request: TokenRequest,
    preceding: &[SocketAddrV4],
) -> QuotaAnswer {
    let view_age = node.view_age();
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let tenants = &mut state.tenants;
    let tolerance = &node.settings.quota_tolerance;
    let known = tenants.keys.tenant(tenant).cloned();
    let Some(quota) = known.and_then(|known| tenants.quota(&known, tolerance)) else {
        return QuotaAnswer::NotLender;
    };
    let standing = tenants
        .unresponsive_nodes
        .standing(now, preceding, view_age);
    let quota = quota.lendable_by(standing);
    let idle = match preceding {
        [] => now.saturating_since(tenants.candidates_unchanged_since),
        // How much the preceding lenders have lent is not known.
        _ => Duration::ZERO,
    };
    let lender = tenants
        .active_lenders
        .entry(tenant.to_owned())
        .or_insert_with(|| Lender::after_idle(now, &quota, idle));
    let was_exhausted = lender.is_exhausted();
    let loan = lender.lend(now, &quota, token_request, state.random.random());
    let is_exhausted = lender.is_exhausted();
    if is_exhausted != was_exhausted && node.may_log() {
        let (_, demand) = lender.load();
        let message = match is_exhausted {
            true => "tenant at its limit",
            false => "tenant below its limit",
        };
        info!(node.log, "{}", message; "tenant" => tenant, "limit" => quota.rate, "burst" => quota.burst,
            "requests_per_second" => demand, "standing" => format!("{standing:?}"),
            "revision" => %state.snapshots.snapshot().revision);
    }
    QuotaAnswer::Lent {
        tokens: loan.tokens,
        pause_ms: loan.pause.as_millis() as u64,
        rate_thousandths: (loan.rate * THOUSANDTHS) as u64,
    }
}
