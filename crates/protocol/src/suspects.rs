//! Reports that nodes exchange about request contents that may crash servers.

use lifthollow_state::mesh::InstanceId;
use minicbor::{Decode, Encode};

/// A server crash during which a request with the content was running.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CrashReport {
    /// The server that crashed.
    #[n(0)]
    pub server: InstanceId,
    /// Time since the crash, milliseconds, overestimated rather than underestimated.
    #[n(1)]
    pub age_ms: u64,
}

/// A node's knowledge of one request content sent from machines of one service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SuspectReport {
    /// Fingerprint of the request content.
    #[cbor(n(0), with = "minicbor::bytes")]
    pub content: [u8; 16],
    /// The service on whose machines the requests with the content originated.
    #[n(3)]
    pub caller: String,
    /// The crashes during which a request with the content was running.
    #[n(1)]
    pub crashes: Vec<CrashReport>,
    /// Time since a server last processed the content without crashing, milliseconds; none if that
    /// isn't known.
    #[n(2)]
    pub served_ms: Option<u64>,
}

/// All suspect reports of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct SuspectReports {
    /// One report for each pair of content and caller's service.
    #[n(0)]
    pub suspects: Vec<SuspectReport>,
}
