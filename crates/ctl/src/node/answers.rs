//! What the operators' port of a node answers, as JSON. Fields that this
//! program doesn't know are passed over.

use std::collections::BTreeMap;

use serde::Deserialize;

/// `GET /status`: a node in short.
#[derive(Clone, Debug, Deserialize)]
pub struct Status {
    /// The node's address.
    pub node: String,
    /// This life of the node.
    pub incarnation: u64,
    /// Its data centre.
    pub side: String,
    /// Its failure domain.
    pub zone: u16,
    /// The decisions it runs.
    pub policy: String,
    /// Seconds since the process started.
    pub uptime_seconds: f64,
    /// Whether a planned stop has begun.
    pub leaving: bool,
    /// Number of the table in force; 0 if there is none yet.
    pub table_number: u64,
    /// Digest of the table in force, in hexadecimal.
    pub table_digest: String,
    /// Calls of local callers that are not answered yet.
    pub calls_in_progress: usize,
    /// Attempts of other nodes that are queued or running.
    pub attempts_in_progress: usize,
    /// The services whose back ends stand beside the node.
    pub services: BTreeMap<String, ServiceLoad>,
    /// How many servers it knows.
    pub members_known: usize,
}

/// Load of one service beside the node.
#[derive(Clone, Debug, Deserialize)]
pub struct ServiceLoad {
    /// Calls running at the back end.
    pub in_flight: u32,
    /// Calls waiting in the queue.
    pub queued: u32,
    /// Calls that may run at once now.
    pub limit: u32,
    /// Lowest priority admitted; 0 admits everything.
    pub admission_level: u16,
}

/// `GET /members`: the servers a node knows, by service.
pub type Members = BTreeMap<String, Vec<Member>>;

/// One server as the node knows it.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// Its node's address.
    pub node: String,
    /// Its data centre.
    pub side: String,
    /// Its failure domain.
    pub zone: u16,
    /// `serving`, `suspected` or `leaving`.
    pub state: String,
}

/// `GET /leaving`: whether the node is leaving and what it still carries.
#[derive(Clone, Debug, Deserialize)]
pub struct Leaving {
    /// Whether a planned stop has begun.
    pub leaving: bool,
    /// Calls of local callers that are not answered yet.
    pub calls_in_progress: usize,
    /// Attempts of other nodes that are queued or running.
    pub attempts_in_progress: usize,
}

/// `GET /explain`: recent refusals of the node, the newest first.
#[derive(Clone, Debug, Deserialize)]
pub struct Explanation {
    /// The refusals that match what was asked.
    pub refusals: Vec<Refusal>,
}

/// One refusal.
#[derive(Clone, Debug, Deserialize)]
pub struct Refusal {
    /// When, in seconds since the process started.
    pub at_seconds: f64,
    /// The service that was called.
    pub service: String,
    /// The whole request, in hexadecimal.
    pub request: String,
    /// `not-run` or `unknown`.
    pub outcome: String,
    /// The word of the reason.
    pub reason: String,
    /// What the decision was taken on.
    pub state: RefusalState,
}

/// The state that led to a refusal.
#[derive(Clone, Debug, Deserialize)]
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
    /// Refused before the back end beside the node.
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
