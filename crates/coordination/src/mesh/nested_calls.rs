//! What stands against a call that a server makes for a request of its own.
//!
//! A run fails if any of its calls does. While the budget allows a repeat, a call
//! may be tried at a server that fails part of what it is given; without, it goes
//! to one that does not, and what such servers admit is what counts.

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::{ServiceName, Timestamp};

use crate::mesh::retry_budget::{Repeated, RetryBudgets};
use crate::mesh::server_selection::ServerPool;
use crate::mesh::server_wanted::Purpose;

/// For whom an attempt at `service` is made, and whether it could be repeated.
pub fn purpose(budgets: &RetryBudgets, now: Timestamp, service: &str, is_nested: bool) -> Purpose {
    if !is_nested {
        return Purpose::Request;
    }
    Purpose::NestedCall {
        can_be_repeated: budgets.has_room(now, service, Repeated::NestedCall),
    }
}

/// The lowest level of nested calls that `service` lets through: none if it has no
/// server, since each call would fail, and its run with it.
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
