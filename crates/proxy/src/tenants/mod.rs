//! Tenants: whose a request is, and whether its tenant may send one more.
//!
//! - [`identity`]: the tenant of a request's key;
//! - [`tokens`]: a token for a request, asked for at the tenant's lender;
//! - [`lending`]: what this node lends others.

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
use lifthollow_coordination::mesh::tenants::missing_nodes::MissingNodes;
use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{Configuration, ServerInstance, Tenant};
use tokio::sync::Notify;

use crate::node::Node;

/// What a node knows of tenants.
#[derive(Default)]
pub struct TenantState {
    /// The keys of the configuration in force.
    pub keys: KeyTable,
    candidates: LenderCandidates,
    /// Since when the nodes that may lend are the same.
    candidates_since: Timestamp,
    /// Those that were ranked for a tenant already.
    lenders: HashMap<String, Vec<SocketAddrV4>>,
    fleet_size: usize,
    borrowers: HashMap<String, Borrower>,
    lending: HashMap<String, Lender>,
    missing: MissingNodes,
    /// Questions on their way, by tenant; notified when they are answered.
    asking: HashMap<String, Rc<Notify>>,
}

impl TenantState {
    /// Brings the keys in line with `configuration`.
    pub fn set_configuration(&mut self, configuration: &Configuration) {
        self.keys = KeyTable::new(configuration);
        let keys = &self.keys;
        self.borrowers.retain(|name, _| keys.tenant(name).is_some());
        self.lending.retain(|name, _| keys.tenant(name).is_some());
        self.lenders.retain(|name, _| keys.tenant(name).is_some());
    }

    /// Brings the nodes that may lend in line with `servers`.
    pub fn set_servers(&mut self, now: Timestamp, servers: &[ServerInstance]) {
        self.fleet_size = servers.len();
        let candidates = LenderCandidates::among(servers);
        if candidates == self.candidates {
            return;
        }
        self.missing.retain(candidates.addresses());
        self.candidates = candidates;
        self.candidates_since = now;
        self.lenders.clear();
    }

    /// The servers beside whose nodes `tenant`'s tokens are lent, in their order.
    fn lenders(&mut self, tenant: &str) -> Vec<SocketAddrV4> {
        if let Some(known) = self.lenders.get(tenant) {
            return known.clone();
        }
        let ranked = self.candidates.lenders(tenant);
        self.lenders.insert(tenant.to_owned(), ranked.clone());
        ranked
    }

    fn quota(&self, tenant: &Tenant, tolerance: &QuotaTolerance) -> Option<FleetQuota> {
        let limit = tenant.limit?;
        Some(FleetQuota::new(limit, tolerance, self.fleet_size))
    }
}

/// Forgets what a node that knows nothing would know as well, and tells the gauges what is
/// left.
pub(crate) fn keep_house(node: &Rc<Node>) {
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let TenantState {
        keys,
        borrowers,
        lending,
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
    lending
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
    gauge("lent_here", lending.len());
}
