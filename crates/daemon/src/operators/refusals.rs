//! The recent refusals of this node, each with the state that led to it.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use lifthollow_coordination::View;
use lifthollow_protocol::LoadReport;
use lifthollow_protocol::operators::{Refusal, RefusalState};
use lifthollow_state::{RequestId, ServerState, ServiceName};

/// Maximum number of refusals that are kept; the oldest are dropped first.
const MAX_REFUSALS: usize = 1024;

/// The servers of `service` by state, as the refusing outbound side sees them.
pub fn state_of_servers(view: &View, service: &ServiceName) -> RefusalState {
    let servers = view.directory.servers(service);
    let count = |state| {
        let in_state = servers.iter().filter(|server| server.state == state);
        in_state.count()
    };
    RefusalState::Outbound {
        table_number: view.table.version().number,
        serving: count(ServerState::Serving),
        suspected: count(ServerState::Suspected),
        leaving: count(ServerState::Leaving),
    }
}

/// The load of this node's local back end, as the state of an inbound refusal.
pub fn state_of_load(load: LoadReport) -> RefusalState {
    RefusalState::Inbound {
        in_flight: load.in_flight,
        queued: load.queued,
        limit: load.limit,
        admission_level: load.admission_level.0,
        leaving: load.leaving,
    }
}

/// A bounded list of the most recent refusals.
#[derive(Debug, Default)]
pub struct RefusalLog {
    refusals: Mutex<VecDeque<Refusal>>,
}

impl RefusalLog {
    /// Adds a refusal; the oldest one is dropped if the list is full.
    pub fn add(&self, refusal: Refusal) {
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        if refusals.len() == MAX_REFUSALS {
            refusals.pop_front();
        }
        refusals.push_back(refusal);
    }

    /// Returns the refusals that match a service and a request, newest first; `None`
    /// matches all. The request is given as the client's name for it or as its
    /// request ID in hexadecimal.
    pub fn find(&self, service: Option<&str>, request: Option<&str>) -> Vec<Refusal> {
        let named = request.map(|name| format!("{:032x}", RequestId::from_name(name).0));
        let matches = |refusal: &&Refusal| {
            service.is_none_or(|service| refusal.service == service)
                && request.is_none_or(|request| {
                    refusal.request == request || Some(&refusal.request) == named.as_ref()
                })
        };
        let refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        refusals.iter().rev().filter(matches).cloned().collect()
    }
}
