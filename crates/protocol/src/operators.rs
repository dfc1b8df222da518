//! What a node's operators' port answers, as JSON. The daemon writes these
//! types and the operators' client reads them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::RefusalReason;

/// `GET /status`: a node in short.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
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
    /// Why the platform's last answer for the table was not taken, if it was not.
    pub table_fault: Option<String>,
    /// Calls of local callers that are not answered yet.
    pub calls_in_progress: usize,
    /// Attempts of other nodes that are queued or running.
    pub attempts_in_progress: usize,
    /// The services whose back ends stand beside the node.
    pub services: Vec<ServiceLoad>,
    /// How many servers it knows.
    pub members_known: usize,
    /// The services that are called from the node.
    #[serde(default)]
    pub edges: Vec<EdgeStatus>,
}

/// Calls from a node to one side of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeStatus {
    /// The service.
    pub service: String,
    /// The side.
    pub side: String,
    /// First attempts that the weights gave to the side.
    pub given: u64,
    /// Those of them that the other side had to carry.
    pub spilled: u64,
    /// Further attempts.
    pub retries: u64,
    /// Servers in normal use.
    pub servers_in_use: usize,
    /// Servers left out or on trial because they fail.
    pub servers_left_out: usize,
    /// Lowest priority that the side's servers admit; 0 admits everything.
    pub admission_level: u16,
}

/// Load of one service beside a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: String,
    /// Calls running at the back end.
    pub in_flight: u32,
    /// Calls waiting in the queue.
    pub queued: u32,
    /// Calls that may run at once now.
    pub limit: u32,
    /// Lowest priority admitted; 0 admits everything.
    pub admission_level: u16,
}

/// `GET /members`: all nodes that a node knows, itself included.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Members {
    /// The nodes, ordered by address.
    pub members: Vec<KnownMember>,
}

/// One node as another knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownMember {
    /// The node's address.
    pub node: String,
    /// The life of the node that is known; 0 if nothing was heard of it yet.
    pub incarnation: u64,
    /// Its data centre.
    pub side: String,
    /// Its failure domain.
    pub zone: u16,
    /// The services whose back ends stand beside it.
    pub services: Vec<String>,
    /// What nodes tell each other: `alive`, `suspected`, `leaving` or `removed`.
    pub status: String,
    /// What the platform's list says: `never`, `live`, `leaving` or `dropped`.
    pub listing: String,
    /// What decisions make of it: `serving`, `suspected` or `leaving`; none if
    /// it offers nothing or must not be used.
    pub use_as: Option<String>,
    /// Seconds since it last wrote to the node that answers.
    pub heard_seconds_ago: Option<f64>,
    /// Seconds since its status is not `alive`.
    pub not_alive_seconds: Option<f64>,
    /// Number of the table in force there when it was last heard.
    pub table_number: u64,
    /// Digest of that table, in hexadecimal.
    pub table_digest: String,
}

/// `GET /leaving`: whether a node is leaving and what it still carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingStatus {
    /// Whether a planned stop has begun.
    pub leaving: bool,
    /// Calls of local callers that are not answered yet.
    pub calls_in_progress: usize,
    /// Attempts of other nodes that are queued or running.
    pub attempts_in_progress: usize,
}

/// `GET /explain`: recent refusals of a node, the newest first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The service that was asked for.
    pub service: Option<String>,
    /// The request that was asked for.
    pub request: Option<String>,
    /// The refusals that match.
    pub refusals: Vec<Refusal>,
}

/// `GET /snapshot`: everything above at one moment, for bug reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeSnapshot {
    /// The node in short.
    pub status: NodeStatus,
    /// All nodes it knows.
    pub members: Vec<KnownMember>,
    /// Its recent refusals, the newest first.
    pub refusals: Vec<Refusal>,
}

/// What the caller was told of a call without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
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

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// One refusal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// When, in seconds since the process started.
    pub at_seconds: f64,
    /// The service that was called.
    pub service: String,
    /// The whole request, in hexadecimal.
    pub request: String,
    /// What the caller was told.
    pub outcome: Outcome,
    /// Why.
    pub reason: RefusalReason,
    /// What the decision was taken on.
    pub state: RefusalState,
}

/// The state that led to a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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

impl RefusalState {
    /// `outbound` or `inbound`.
    pub fn place(&self) -> &'static str {
        match self {
            RefusalState::Outbound { .. } => "outbound",
            RefusalState::Inbound { .. } => "inbound",
        }
    }
}

/// `GET /claims?service=SERVICE&key=KEY`: what a node knows of an idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimStatus {
    /// The service.
    pub service: String,
    /// The key as the caller wrote it.
    pub key: String,
    /// Epoch of the roster in force at the node.
    pub roster_epoch: u32,
    /// The key's replicas by that roster.
    pub replicas: Vec<String>,
    /// The key's replicas by the roster before, while a change is in progress.
    pub previous_replicas: Vec<String>,
    /// Whether this node is a replica of the key and may vote on it.
    pub votes: bool,
    /// This node's record of the key; none if it is no replica or the key is free.
    pub record: Option<ClaimRecord>,
}

/// A replica's record of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// `claimed`, `recovered`, `released`, `completed`, `answer_too_large` or
    /// `answer_lost`.
    pub state: String,
    /// The node that claimed the key.
    pub holder: String,
    /// The life of that node.
    pub holder_incarnation: u64,
    /// HTTP status of the recorded answer.
    pub status: Option<u16>,
    /// Seconds until the record is forgotten.
    pub expires_in_seconds: f64,
}
