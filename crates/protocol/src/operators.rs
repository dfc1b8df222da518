//! JSON responses of a node's operators' port. The daemon serializes these types
//! and the operators' client deserializes them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::RefusalReason;

/// `GET /status`: summary of a node's state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node's address.
    pub node: String,
    /// Incarnation of the running node process.
    pub incarnation: u64,
    /// The node's data centre.
    pub side: String,
    /// The node's failure domain.
    pub zone: u16,
    /// Name of the routing and admission policy that the node runs.
    pub policy: String,
    /// Seconds since the process started.
    pub uptime_seconds: f64,
    /// Whether a planned shutdown of the node has begun.
    pub leaving: bool,
    /// Number of the table in force; 0 if there is none yet.
    pub table_number: u64,
    /// Digest of the table in force, in hexadecimal.
    pub table_digest: String,
    /// Why the node rejected the platform's last answer for the table; none if it was accepted.
    pub table_fault: Option<String>,
    /// Number of calls of local callers that are not answered yet.
    pub calls_in_progress: usize,
    /// Number of attempts from other nodes that are queued or running.
    pub attempts_in_progress: usize,
    /// Load of the services whose back ends run on the node's machine.
    pub services: Vec<ServiceLoad>,
    /// Number of servers that the node knows.
    pub members_known: usize,
    /// Statistics for each service and side that is called from the node.
    #[serde(default)]
    pub edges: Vec<EdgeStatus>,
}

/// Statistics of the calls from a node to one side of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeStatus {
    /// Name of the called service.
    pub service: String,
    /// Side that is called: `old` or `new`.
    pub side: String,
    /// Number of first attempts that the weights assigned to the side.
    pub given: u64,
    /// Number of the attempts in `given` that were sent to the other side instead.
    pub spilled: u64,
    /// Number of attempts after the first one of a call.
    pub retries: u64,
    /// Number of the side's servers in normal use.
    pub servers_in_use: usize,
    /// Number of the side's servers that are excluded or on probation because they fail.
    pub servers_left_out: usize,
    /// Lowest priority that the side's servers admit; 0 admits everything.
    pub admission_level: u16,
}

/// Load of one service whose back end runs on a node's machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Number of calls running at the back end.
    pub in_flight: u32,
    /// Number of calls waiting in the node's queue.
    pub queued: u32,
    /// Current limit of concurrent calls at the back end.
    pub limit: u32,
    /// Lowest priority that the node admits for the service; 0 admits everything.
    pub admission_level: u16,
}

/// `GET /members`: all nodes that a node knows, itself included.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Members {
    /// The known nodes, ordered by address.
    pub members: Vec<KnownMember>,
}

/// One node as known to another node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownMember {
    /// The node's address.
    pub node: String,
    /// Last known incarnation of the node; 0 if nothing was received about it yet.
    pub incarnation: u64,
    /// The node's data centre.
    pub side: String,
    /// The node's failure domain.
    pub zone: u16,
    /// The services whose back ends run on the node's machine.
    pub services: Vec<String>,
    /// Membership status of the node: `alive`, `suspected`, `leaving` or `removed`.
    pub status: String,
    /// State of the node in the platform's list: `never`, `live`, `leaving` or `dropped`.
    pub listing: String,
    /// State of the node as a server in routing: `serving`, `suspected` or `leaving`;
    /// none if it offers no service or must not be used.
    pub use_as: Option<String>,
    /// Seconds since the responding node last received a message from the node.
    pub heard_seconds_ago: Option<f64>,
    /// Seconds for which the node's status has not been `alive`.
    pub not_alive_seconds: Option<f64>,
    /// Number of the table in force on the node, as of its last message.
    pub table_number: u64,
    /// Digest of the table in force on the node, in hexadecimal, as of its last message.
    pub table_digest: String,
}

/// `GET /leaving`: whether a node is shutting down and how much work it still has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingStatus {
    /// Whether a planned shutdown of the node has begun.
    pub leaving: bool,
    /// Number of calls of local callers that are not answered yet.
    pub calls_in_progress: usize,
    /// Number of attempts from other nodes that are queued or running.
    pub attempts_in_progress: usize,
}

/// `GET /explain`: recent refusals of a node, the newest first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Service given in the query, to which the refusals are restricted.
    pub service: Option<String>,
    /// Request id given in the query, to which the refusals are restricted.
    pub request: Option<String>,
    /// The refusals that match the query, the newest first.
    pub refusals: Vec<Refusal>,
}

/// `GET /snapshot`: status, members and refusals of a node at one moment, for bug reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeSnapshot {
    /// Summary of the node's state.
    pub status: NodeStatus,
    /// All nodes that the node knows, itself included.
    pub members: Vec<KnownMember>,
    /// Recent refusals of the node, the newest first.
    pub refusals: Vec<Refusal>,
}

/// Outcome reported to the caller of a call that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The call certainly did not run.
    NotRun,
    /// The call may have run.
    Unknown,
}

impl Outcome {
    /// Returns the outcome's name in headers, logs and status pages.
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

/// One refused call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Time of the refusal, in seconds since the process started.
    pub at_seconds: f64,
    /// Name of the called service.
    pub service: String,
    /// Id of the end-to-end request, in hexadecimal.
    pub request: String,
    /// Outcome that was reported to the caller.
    pub outcome: Outcome,
    /// Why the call was refused.
    pub reason: RefusalReason,
    /// State of the node on which the refusal was based.
    pub state: RefusalState,
}

/// State of the node on which a refusal was based.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "place", rename_all = "snake_case")]
pub enum RefusalState {
    /// The call was refused by the caller's node.
    Outbound {
        /// Number of the table in force.
        table_number: u64,
        /// Number of known servers that accept new calls.
        serving: usize,
        /// Number of known servers that may have failed.
        suspected: usize,
        /// Number of known servers that are shutting down.
        leaving: usize,
    },
    /// The call was refused by the server's node, in front of its back end.
    Inbound {
        /// Number of calls running at the back end.
        in_flight: u32,
        /// Number of calls waiting in the node's queue.
        queued: u32,
        /// Limit of concurrent calls at the back end.
        limit: u32,
        /// Lowest priority that the node admitted; 0 admits everything.
        admission_level: u16,
        /// Whether the node was shutting down.
        leaving: bool,
    },
}

impl RefusalState {
    /// Returns where the call was refused: `outbound` or `inbound`.
    pub fn place(&self) -> &'static str {
        match self {
            RefusalState::Outbound { .. } => "outbound",
            RefusalState::Inbound { .. } => "inbound",
        }
    }
}

/// `GET /claims?service=SERVICE&key=KEY`: a node's record of an idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimStatus {
    /// Name of the service to which the key belongs.
    pub service: String,
    /// The idempotency key as given by the caller.
    pub key: String,
    /// Epoch of the roster in force at the node.
    pub roster_epoch: u32,
    /// Addresses of the key's replicas according to the roster in force.
    pub replicas: Vec<String>,
    /// Addresses of the key's replicas according to the previous roster, while a roster change is
    /// in progress.
    pub previous_replicas: Vec<String>,
    /// Whether this node is a replica of the key and may vote on it.
    pub votes: bool,
    /// This node's record of the key; none if it is not a replica or the key is not claimed.
    pub record: Option<ClaimRecord>,
}

/// A replica's record of an idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// State of the key: `claimed`, `recovered`, `released`, `completed`,
    /// `answer_too_large` or `answer_lost`.
    pub state: String,
    /// The node that claimed the key.
    pub holder: String,
    /// Incarnation of the node that claimed the key.
    pub holder_incarnation: u64,
    /// HTTP status of the recorded answer; none if no answer is recorded.
    pub status: Option<u16>,
    /// Seconds until the record expires.
    pub expires_in_seconds: f64,
}
