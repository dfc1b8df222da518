//! Acquires a token for a request from the node that lends its tenant's tokens.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use lifthollow_coordination::mesh::tenants::borrower::{Borrower, TokenDecision};
use lifthollow_coordination::mesh::tenants::fleet_quota::FleetQuota;
use lifthollow_coordination::mesh::tenants::lender::{Loan, TokenRequest};
use lifthollow_coordination::mesh::tenants::unresponsive_nodes::Failure;
use lifthollow_protocol::quota::{QuotaAnswer, QuotaQuestion};
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::Tenant;
use slog::warn;
use tokio::sync::Notify;

use crate::http::ProxyBody;
use crate::http::pool::SendError;
use crate::node::Node;
use crate::peer_client::{self, FetchError};
use crate::peer_headers;
use crate::tenants::lending;

/// Timeout of a query to a lender. Between zones an answer normally arrives within 3 ms; busy nodes
/// take tens of milliseconds.
pub(super) const LENDER_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of a query to a node that stands in for the first lender: it queries that one before it
/// answers.
const STAND_IN_TIMEOUT: Duration = Duration::from_millis(250);
/// The largest number of queries that one request waits for. An answer may bring no token for it,
/// because requests that arrived earlier took them all.
const MAX_QUERIES: usize = 3;

/// Why a request got no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoToken {
    /// The tenant is at its limit; a token is expected after this time.
    OverLimit(Duration),
    /// No lender answers; one may answer after this time.
    Unanswered(Duration),
}

/// Acquires a token for a request of `tenant`.
///
/// # Errors
///
/// No token is available.
pub(crate) async fn acquire(node: &Rc<Node>, tenant: &Arc<Tenant>) -> Result<(), NoToken> {
    let mut decision = with_borrower(node, tenant, Borrower::arrive);
    for _ in 0..MAX_QUERIES {
        if decision != Some(TokenDecision::AskLender) {
            break;
        }
        wait_for_answer(node, tenant).await;
        decision = with_borrower(node, tenant, Borrower::take_token_after_answer);
    }
    match decision {
        // A tenant without a limit needs no token.
        None | Some(TokenDecision::Token) => Ok(()),
        Some(TokenDecision::OverLimit(time)) => Err(NoToken::OverLimit(time)),
        Some(TokenDecision::Unanswered(time)) => Err(NoToken::Unanswered(time)),
        Some(TokenDecision::AskLender) => Err(NoToken::Unanswered(LENDER_TIMEOUT)),
    }
}

/// Returns the token of a request that did not run.
pub(crate) fn return_token(node: &Rc<Node>, tenant: &Tenant) {
    with_borrower(node, tenant, |borrower, now, _| borrower.give_back(now));
}

/// Calls `act` with the borrower of `tenant`'s tokens and the tenant's quota; returns none if the
/// tenant has no limit.
fn with_borrower<T>(
    node: &Rc<Node>,
    tenant: &Tenant,
    act: impl FnOnce(&mut Borrower, Timestamp, &FleetQuota) -> T,
) -> Option<T> {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let tenants = &mut state.tenants;
    let quota = tenants.quota(tenant, &node.settings.quota_tolerance)?;
    if !tenants.borrowers.contains_key(&tenant.name) {
        let borrower = Borrower::new(now, &quota);
        tenants.borrowers.insert(tenant.name.clone(), borrower);
    }
    let borrower = tenants.borrowers.get_mut(&tenant.name)?;
    Some(act(borrower, now, &quota))
}

/// Counts a request as waiting for a token until dropped.
struct WaitingGuard<'a> {
    node: &'a Rc<Node>,
    tenant: &'a Tenant,
}

impl<'a> WaitingGuard<'a> {
    fn begin(node: &'a Rc<Node>, tenant: &'a Tenant) -> Self {
        with_borrower(node, tenant, |borrower, _, _| borrower.begin_waiting());
        WaitingGuard { node, tenant }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        with_borrower(self.node, self.tenant, |borrower, _, _| {
            borrower.end_waiting();
        });
    }
}

/// Waits until a query for the tenant's tokens has been answered or has failed. Sends a query if
/// none is in progress.
async fn wait_for_answer(node: &Rc<Node>, tenant: &Arc<Tenant>) {
    let _waiting = WaitingGuard::begin(node, tenant);
    let known = node
        .state
        .borrow()
        .tenants
        .pending_queries
        .get(&tenant.name)
        .cloned();
    let answered = known.unwrap_or_else(|| {
        let answered = Rc::new(Notify::new());
        let mut state = node.state.borrow_mut();
        let name = tenant.name.clone();
        state.tenants.pending_queries.insert(name, answered.clone());
        tokio::task::spawn_local(query_lenders(node.clone(), tenant.clone()));
        answered
    });
    answered.notified().await;
}

/// Queries the lenders of `tenant` in order of precedence until one answers, and updates the
/// borrower.
async fn query_lenders(node: Rc<Node>, tenant: Arc<Tenant>) {
    let sent_at = node.now();
    let token_request = with_borrower(&node, &tenant, Borrower::token_request).unwrap_or_default();
    let lenders = node.state.borrow_mut().tenants.lenders(&tenant.name);
    let loan = query_in_order(&node, &tenant, &lenders, token_request).await;
    with_borrower(&node, &tenant, |borrower, now, _| match loan {
        Some(loan) => borrower.answered(now, sent_at, loan),
        None => borrower.record_no_answer(now),
    });
    if loan.is_none() && node.may_log() {
        warn!(node.log, "no lender answers"; "tenant" => &tenant.name,
            "lenders" => lenders.len(), "revision" => %node.revision());
    }
    let answered = node
        .state
        .borrow_mut()
        .tenants
        .pending_queries
        .remove(&tenant.name);
    if let Some(answered) = answered {
        answered.notify_waiters();
    }
}

async fn query_in_order(
    node: &Rc<Node>,
    tenant: &Tenant,
    lenders: &[SocketAddrV4],
    token_request: TokenRequest,
) -> Option<Loan> {
    let limits = std::iter::once(LENDER_TIMEOUT).chain(std::iter::repeat(STAND_IN_TIMEOUT));
    for (server, limit) in lenders.iter().zip(limits) {
        if *server == node.settings.server_address {
            let answer = lending::lend_or_forward(node, &tenant.name, token_request).await;
            return parse_loan(&answer);
        }
        let now = node.now();
        if !node
            .state
            .borrow()
            .tenants
            .unresponsive_nodes
            .may_ask(now, *server)
        {
            continue;
        }
        if let Some(answer) =
            query_lender(node, *server, &tenant.name, token_request, false, limit).await
        {
            return parse_loan(&answer);
        }
    }
    None
}

/// Queries the node beside `server` for tokens; none if it does not answer.
pub(super) async fn query_lender(
    node: &Rc<Node>,
    server: SocketAddrV4,
    tenant: &str,
    token_request: TokenRequest,
    is_passed_on: bool,
    limit: Duration,
) -> Option<QuotaAnswer> {
    let message = QuotaQuestion {
        tenant: tenant.to_owned(),
        wanted: token_request.wanted,
        arrived: token_request.arrived,
        expected: token_request.expected,
        is_passed_on,
    };
    let bytes = minicbor::to_vec(&message).expect("writing to memory does not fail");
    let body = ProxyBody::Whole(bytes.into());
    let address = node.beside(server);
    let path = peer_headers::QUOTA_PATH;
    let answered = peer_client::fetch(node, address, path, HeaderMap::new(), body, limit).await;
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let unresponsive_nodes = &mut state.tenants.unresponsive_nodes;
    match answered {
        Ok((answer, _)) => {
            unresponsive_nodes.answered(server);
            Some(answer)
        }
        Err(error) => {
            unresponsive_nodes.failed(now, server, classify_failure(&error));
            None
        }
    }
}

fn classify_failure(error: &FetchError) -> Failure {
    match error {
        FetchError::Send(SendError::NotSent(error))
            if error.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            Failure::Refused
        }
        _ => Failure::Silent,
    }
}

fn parse_loan(answer: &QuotaAnswer) -> Option<Loan> {
    match answer {
        QuotaAnswer::NotLender => None,
        QuotaAnswer::Lent {
            tokens,
            pause_ms,
            rate_thousandths,
        } => Some(Loan {
            tokens: *tokens,
            pause: Duration::from_millis(*pause_ms),
            rate: *rate_thousandths as f64 / lending::THOUSANDTHS,
        }),
    }
}
