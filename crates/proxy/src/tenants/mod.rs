//! Tenants: which tenant a request belongs to, and whether the tenant's rate limit admits it.
//!
//! - [`identity`]: finds the tenant by the key of a request;
//! - [`tokens`]: acquires a token for a request from the node that lends the tenant's tokens;
//! - [`lending`]: lends tokens of tenants to other nodes.

pub(crate) mod identity;
pub(crate) mod lending;
pub(crate) mod tokens;

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use lifthollow_coordination::mesh::tenants::authentication::KeyTable;
use lifthollow_coordination::mesh::tenants::borrower::Borrower;
use lifthollow_coordination::mesh::tenants::fleet_quota::{FleetQuota, QuotaTolerance};
use lifthollow_coordination::mesh::tenants::lender::Lender;
use lifthollow_coordination::mesh::tenants::lenders::LenderCandidates;
use lifthollow_coordination::mesh::tenants::unresponsive_nodes::UnresponsiveNodes;
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{Configuration, ServerInstance, Tenant};
use tokio::sync::Notify;

use crate::node::Node;

/// A node's state about tenants: their keys, the nodes that lend their tokens, and the tokens that
/// are borrowed and lent.
#[derive(Default)]
pub struct TenantState {
    /// The tenants' keys in the configuration in force.
    pub keys: KeyTable,
    /// The nodes that may lend tokens.
    candidates: LenderCandidates,
    /// Since when the set of nodes that may lend tokens has been unchanged.
    candidates_unchanged_since: Timestamp,
    /// Servers whose nodes lend a tenant's tokens, in order of precedence; cached by tenant name.
    lender_order: HashMap<String, Vec<SocketAddrV4>>,
    /// Number of servers in force.
    fleet_size: usize,
    /// Tokens that this node has borrowed, by tenant name.
    borrowers: HashMap<String, Borrower>,
    /// Tokens that this node lends, by tenant name.
    active_lenders: HashMap<String, Lender>,
    /// Lending nodes that failed to answer.
    unresponsive_nodes: UnresponsiveNodes,
    /// Token queries in progress, by tenant name; each is notified when it has been answered.
    pending_queries: HashMap<String, Rc<Notify>>,
}

impl TenantState {
    /// Replaces the keys with those of `configuration`, and drops the state of tenants that are no
    /// longer in it.
    pub fn set_configuration(&mut self, configuration: &Configuration) {
        self.keys = KeyTable::new(configuration);
        let keys = &self.keys;
        self.borrowers.retain(|name, _| keys.tenant(name).is_some());
        self.active_lenders
            .retain(|name, _| keys.tenant(name).is_some());
        self.lender_order
            .retain(|name, _| keys.tenant(name).is_some());
    }

    /// Updates the set of nodes that may lend tokens to those beside `servers`.
    pub fn set_servers(&mut self, now: Timestamp, servers: &[ServerInstance]) {
        self.fleet_size = servers.len();
        let candidates = LenderCandidates::among(servers);
        if candidates == self.candidates {
            return;
        }
        self.unresponsive_nodes.retain(candidates.addresses());
        self.candidates = candidates;
        self.candidates_unchanged_since = now;
        self.lender_order.clear();
    }

    /// Returns the servers whose nodes lend `tenant`'s tokens, in order of precedence.
    fn lenders(&mut self, tenant: &str) -> Vec<SocketAddrV4> {
        if let Some(known) = self.lender_order.get(tenant) {
            return known.clone();
        }
        let ranked = self.candidates.lenders(tenant);
        self.lender_order.insert(tenant.to_owned(), ranked.clone());
        ranked
    }

    fn quota(&self, tenant: &Tenant, tolerance: &QuotaTolerance) -> Option<FleetQuota> {
        let limit = tenant.limit?;
        Some(FleetQuota::new(limit, tolerance, self.fleet_size))
    }
}

/// Drops borrowers and lenders whose state equals that of a newly started node, and updates the
/// gauges of tenants.
pub(crate) fn expire_and_update_gauges(node: &Rc<Node>) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let TenantState {
        keys,
        borrowers,
        active_lenders,
        fleet_size,
        ..
    } = &mut state.tenants;
    let tolerance = &node.settings.quota_tolerance;
    let quota_of = |name: &String| {
        let limit = keys.tenant(name)?.limit?;
        Some(FleetQuota::new(limit, tolerance, *fleet_size))
    };
    borrowers.retain(|name, borrower| {
        quota_of(name).is_some_and(|quota| !borrower.is_idle(now, &quota))
    });
    active_lenders
        .retain(|name, lender| quota_of(name).is_some_and(|quota| lender.is_in_use(now, &quota)));
    let at_limit = borrowers
        .values()
        .filter(|one| one.is_at_limit(now))
        .count();
    let gauge = |what: &str, count: usize| {
        let gauge = node.metrics.tenants.with_label_values(&[what]);
        gauge.set(count as i64);
    };
    gauge("in_use", borrowers.len());
    gauge("at_limit", at_limit);
    gauge("lent_here", active_lenders.len());
}
