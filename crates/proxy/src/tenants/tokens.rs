//! A token for a request, asked for at its tenant's lender.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use lifthollow_coordination::mesh::tenants::borrower::{Borrower, Taken};
use lifthollow_coordination::mesh::tenants::fleet_quota::FleetQuota;
use lifthollow_coordination::mesh::tenants::lender::{Loan, Question};
use lifthollow_coordination::mesh::tenants::missing_nodes::Failure;
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

/// The longest time that the lender may take to answer. Asked and answered within 3 ms
/// between zones as a rule; busy nodes take tens of milliseconds.
pub(super) const LENDER_LIMIT: Duration = Duration::from_millis(100);
/// The longest time that a node may take which stands in for the lender and asks it first.
const STAND_IN_LIMIT: Duration = Duration::from_millis(250);
/// A request asks at most so often: an answer may be used up by requests that came before it.
const QUESTIONS: usize = 3;

/// Why there is no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoToken {
    /// The tenant is at its limit; a token is expected after this time.
    OverLimit(Duration),
    /// No lender answers; one may after this time.
    Unanswered(Duration),
}

/// Takes a token for a request of `tenant`.
///
/// # Errors
///
/// There is none.
pub(crate) async fn take(node: &Rc<Node>, tenant: &Arc<Tenant>) -> Result<(), NoToken> {
    let mut taken = with_borrower(node, tenant, Borrower::arrive);
    for _ in 0..QUESTIONS {
        if taken != Some(Taken::AskLender) {
            break;
        }
        wait_for_answer(node, tenant).await;
        taken = with_borrower(node, tenant, Borrower::take_after_answer);
    }
    match taken {
        // Without a limit, none is needed.
        None | Some(Taken::Token) => Ok(()),
        Some(Taken::OverLimit(time)) => Err(NoToken::OverLimit(time)),
        Some(Taken::Unanswered(time)) => Err(NoToken::Unanswered(time)),
        Some(Taken::AskLender) => Err(NoToken::Unanswered(LENDER_LIMIT)),
    }
}

/// A request that had a token did not run.
pub(crate) fn give_back(node: &Rc<Node>, tenant: &Tenant) {
    with_borrower(node, tenant, |borrower, now, _| borrower.give_back(now));
}

/// Gives `act` what this node knows of `tenant`'s tokens; none if it has no limit.
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

/// Counts a request among those that wait while it lives.
struct Waiting<'a> {
    node: &'a Rc<Node>,
    tenant: &'a Tenant,
}

impl<'a> Waiting<'a> {
    fn begin(node: &'a Rc<Node>, tenant: &'a Tenant) -> Self {
        with_borrower(node, tenant, |borrower, _, _| borrower.begin_waiting());
        Waiting { node, tenant }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        with_borrower(self.node, self.tenant, |borrower, _, _| {
            borrower.end_waiting();
        });
    }
}

/// Waits until the tenant's lender has answered a question, which is asked if none is on its
/// way.
async fn wait_for_answer(node: &Rc<Node>, tenant: &Arc<Tenant>) {
    let _waiting = Waiting::begin(node, tenant);
    let known = node
        .state
        .borrow()
        .tenants
        .asking
        .get(&tenant.name)
        .cloned();
    let answered = known.unwrap_or_else(|| {
        let answered = Rc::new(Notify::new());
        let mut state = node.state.borrow_mut();
        let name = tenant.name.clone();
        state.tenants.asking.insert(name, answered.clone());
        tokio::task::spawn_local(ask(node.clone(), tenant.clone()));
        answered
    });
    answered.notified().await;
}

/// Asks the lenders of `tenant` in their order until one lends.
async fn ask(node: Rc<Node>, tenant: Arc<Tenant>) {
    let asked = node.now();
    let question = with_borrower(&node, &tenant, Borrower::question).unwrap_or_default();
    let lenders = node.state.borrow_mut().tenants.lenders(&tenant.name);
    let loan = ask_in_turn(&node, &tenant, &lenders, question).await;
    with_borrower(&node, &tenant, |borrower, now, _| match loan {
        Some(loan) => borrower.answered(now, asked, loan),
        None => borrower.unanswered(now),
    });
    if loan.is_none() && node.may_log() {
        warn!(node.log, "no lender answers"; "tenant" => &tenant.name,
            "lenders" => lenders.len(), "revision" => %node.revision());
    }
    let answered = node.state.borrow_mut().tenants.asking.remove(&tenant.name);
    if let Some(answered) = answered {
        answered.notify_waiters();
    }
}

async fn ask_in_turn(
    node: &Rc<Node>,
    tenant: &Tenant,
    lenders: &[SocketAddrV4],
    question: Question,
) -> Option<Loan> {
    let limits = std::iter::once(LENDER_LIMIT).chain(std::iter::repeat(STAND_IN_LIMIT));
    for (server, limit) in lenders.iter().zip(limits) {
        if *server == node.settings.server_address {
            let answer = lending::lend(node, &tenant.name, question).await;
            return loan(&answer);
        }
        let now = node.now();
        if !node.state.borrow().tenants.missing.may_ask(now, *server) {
            continue;
        }
        if let Some(answer) = ask_one(node, *server, &tenant.name, question, false, limit).await {
            return loan(&answer);
        }
    }
    None
}

/// Asks the node beside `server`; none if it doesn't answer.
pub(super) async fn ask_one(
    node: &Rc<Node>,
    server: SocketAddrV4,
    tenant: &str,
    question: Question,
    is_passed_on: bool,
    limit: Duration,
) -> Option<QuotaAnswer> {
    let message = QuotaQuestion {
        tenant: tenant.to_owned(),
        wanted: question.wanted,
        arrived: question.arrived,
        expected: question.expected,
        is_passed_on,
    };
    let bytes = minicbor::to_vec(&message).expect("writing to memory does not fail");
    let body = ProxyBody::Whole(bytes.into());
    let address = node.beside(server);
    let path = peer_headers::QUOTA_PATH;
    let answered = peer_client::ask(node, address, path, HeaderMap::new(), body, limit).await;
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let missing = &mut state.tenants.missing;
    match answered {
        Ok((answer, _)) => {
            missing.answered(server);
            Some(answer)
        }
        Err(error) => {
            missing.failed(now, server, failure(&error));
            None
        }
    }
}

fn failure(error: &FetchError) -> Failure {
    match error {
        FetchError::Send(SendError::NotSent(error))
            if error.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            Failure::Refused
        }
        _ => Failure::Silent,
    }
}

fn loan(answer: &QuotaAnswer) -> Option<Loan> {
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
