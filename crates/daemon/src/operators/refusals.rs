//! The recent refusals of this node, each with the state that caused it.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use serde::Serialize;

use lifthollow_coordination::View;
use lifthollow_protocol::LoadReport;
use lifthollow_state::{RequestId, ServerState, ServiceName};

/// Refusals that are kept; older ones are forgotten.
const MAX_REFUSALS: usize = 1024;

/// What the caller was told of a call without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It truly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The word in headers, logs and status pages.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// One refusal.
#[derive(Clone, Debug, Serialize)]
pub struct Refusal {
    /// When, in seconds since the process started.
    pub at_seconds: f64,
    /// The service that was called.
    pub service: String,
    /// The whole request, in hexadecimal.
    pub request: String,
    /// What the caller was told.
    pub outcome: &'static str,
    /// Why.
    pub reason: &'static str,
    /// What the decision was taken on.
    pub state: RefusalState,
}

/// The state that led to a refusal.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "place", rename_all = "snake_case")]
pub enum RefusalState {
    /// Refused on the caller's side.
    Outbound {
        /// Number of the table in force.
        table_number: u64,
        /// Servers known that take new work.
        serving: usize,
        /// Servers known that may have failed.
        suspected: usize,
        /// Servers known that are leaving.
        leaving: usize,
    },
    /// Refused before the back end beside this node.
    Inbound {
        /// Calls running at the back end.
        in_flight: u32,
        /// Calls waiting in the queue.
        queued: u32,
        /// Calls that could run at once.
        limit: u32,
        /// Lowest priority admitted.
        admission_level: u16,
        /// Whether the node was leaving.
        leaving: bool,
    },
}

impl RefusalState {
    /// What the caller's side knew of the servers.
    pub fn of_servers(view: &View, service: &ServiceName) -> Self {
        let servers = view.directory.servers(service);
        let count = |state| {
            servers
                .iter()
                .filter(|server| server.state == state)
                .count()
        };
        RefusalState::Outbound {
            table_number: view.table.version().number,
            serving: count(ServerState::Serving),
            suspected: count(ServerState::Suspected),
            leaving: count(ServerState::Leaving),
        }
    }

    /// The load beside this node.
    pub fn of_load(load: LoadReport) -> Self {
        RefusalState::Inbound {
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
            admission_level: load.admission_level.0,
            leaving: load.leaving,
        }
    }

    /// `outbound` or `inbound`.
    pub fn place(&self) -> &'static str {
        match self {
            RefusalState::Outbound { .. } => "outbound",
            RefusalState::Inbound { .. } => "inbound",
        }
    }
}

/// A bounded list of refusals.
#[derive(Debug, Default)]
pub struct RefusalLog {
    refusals: Mutex<VecDeque<Refusal>>,
}

impl RefusalLog {
    /// Adds one; the oldest is forgotten if there are too many.
    pub fn add(&self, refusal: Refusal) {
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        if refusals.len() == MAX_REFUSALS {
            refusals.pop_front();
        }
        refusals.push_back(refusal);
    }

    /// Those of a service, or of a request given by its client's name or in
    /// hexadecimal; the newest first.
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
