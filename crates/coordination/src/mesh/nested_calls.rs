//! Server requirements and admission levels for nested calls: calls that a server makes for a
//! request that it runs.
//!
//! A run fails if any of its calls fails. While the retry budget allows a retry, a call
//! may be tried at a server that fails part of its requests. Otherwise it goes to a server
//! that does not, and only the admission levels of such servers count.

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::{ServiceName, Timestamp};

use crate::mesh::retry_budget::{RetryBudgets, RetryKind};
use crate::mesh::server_requirements::Purpose;
use crate::mesh::server_selection::ServerPool;

/// The purpose of an attempt at `service`: whether it is a nested call, and whether the retry
/// budget would allow a retry of it.
pub fn purpose(budgets: &RetryBudgets, now: Timestamp, service: &str, is_nested: bool) -> Purpose {
    if !is_nested {
        return Purpose::Request;
    }
    Purpose::NestedCall {
        can_be_retried: budgets.has_room(now, service, RetryKind::NestedCall),
    }
}

/// The lowest level of nested calls that `service` admits. Without servers it is
/// [`AdmissionLevel::CLOSED`], since each call would fail, and with it the run that makes it.
pub fn admission_level(
    servers: &ServerPool,
    budgets: &RetryBudgets,
    now: Timestamp,
    service: &ServiceName,
) -> AdmissionLevel {
    if !servers.has_servers(service.as_str()) {
        return AdmissionLevel::CLOSED;
    }
    let purpose = purpose(budgets, now, service.as_str(), true);
    servers.admission_level(now, service.as_str(), purpose)
}
