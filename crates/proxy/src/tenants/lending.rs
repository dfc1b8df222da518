//! What this node lends others of a tenant's tokens.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lifthollow_coordination::mesh::tenants::lender::{Lender, Question};
use lifthollow_protocol::quota::{QuotaAnswer, QuotaQuestion};
use rand::RngExt;
use slog::{info, warn};

use crate::http::ProxyBody;
use crate::http::body::{self, ReadBody};
use crate::node::Node;
use crate::tenants::tokens::{LENDER_LIMIT, ask_one};

/// The largest question that is read, bytes.
const MAX_QUESTION: usize = 4096;
/// Rates go between nodes as whole thousandths.
pub(super) const THOUSANDTHS: f64 = 1000.0;

/// The answer to a node that asks for tokens.
pub(crate) async fn answer(
    node: &Rc<Node>,
    request: Request<Option<Incoming>>,
) -> Response<ProxyBody> {
    let Some(question) = read_question(request).await else {
        warn!(node.log, "question for tokens not understood");
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
    } = question;
    let question = Question {
        wanted,
        arrived,
        expected,
    };
    let answer = match is_passed_on {
        true => lend_passed_on(node, &tenant, question),
        false => lend(node, &tenant, question).await,
    };
    let bytes = minicbor::to_vec(&answer).expect("writing to memory does not fail");
    Response::new(ProxyBody::Whole(bytes.into()))
}

async fn read_question(request: Request<Option<Incoming>>) -> Option<QuotaQuestion> {
    let incoming = request.into_body()?;
    let ReadBody::Whole(bytes) = body::read(incoming, MAX_QUESTION).await.ok()? else {
        return None;
    };
    let bytes: Bytes = bytes;
    minicbor::decode(&bytes).ok()
}

/// Lends tokens of `tenant`, or has the node lend that this one would stand in for.
pub(super) async fn lend(node: &Rc<Node>, tenant: &str, question: Question) -> QuotaAnswer {
    let before = lenders_before(node, tenant);
    for server in &before {
        if let Some(answer) = ask_before(node, *server, tenant, question).await {
            return answer;
        }
    }
    lend_own(node, tenant, question, &before)
}

/// Lends tokens of `tenant` to a node that was asked in place of this one.
fn lend_passed_on(node: &Rc<Node>, tenant: &str, question: Question) -> QuotaAnswer {
    let before = lenders_before(node, tenant);
    lend_own(node, tenant, question, &before)
}

/// The servers whose nodes lend before this one. Nodes that learn of servers at different
/// moments rank them differently for a while; one that is asked out of turn comes last.
fn lenders_before(node: &Rc<Node>, tenant: &str) -> Vec<SocketAddrV4> {
    let own = node.settings.server_address;
    let lenders = node.state.borrow_mut().tenants.lenders(tenant);
    lenders.into_iter().take_while(|one| *one != own).collect()
}

/// Asks the node beside `server`, which lends before this one, unless it failed to answer a
/// moment ago.
async fn ask_before(
    node: &Rc<Node>,
    server: SocketAddrV4,
    tenant: &str,
    question: Question,
) -> Option<QuotaAnswer> {
    let now = node.now();
    if !node.state.borrow().tenants.missing.may_ask(now, server) {
        return None;
    }
    ask_one(node, server, tenant, question, true, LENDER_LIMIT).await
}

/// Lends what this node has, which lends after `before`.
fn lend_own(
    node: &Rc<Node>,
    tenant: &str,
    question: Question,
    before: &[SocketAddrV4],
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
    let standing = tenants.missing.standing(now, before, view_age);
    let quota = quota.lent_by(standing);
    let idle = match before {
        [] => now.saturating_since(tenants.candidates_since),
        // What the lender before this one lent is not known.
        _ => Duration::ZERO,
    };
    let lender = tenants
        .lending
        .entry(tenant.to_owned())
        .or_insert_with(|| Lender::rested(now, &quota, idle));
    let was_short = lender.is_short();
    let loan = lender.lend(now, &quota, question, state.random.random());
    let is_short = lender.is_short();
    if is_short != was_short && node.may_log() {
        let (_, demand) = lender.load();
        let message = match is_short {
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
