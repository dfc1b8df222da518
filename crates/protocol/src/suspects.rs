//! What nodes tell each other of requests that may crash servers.

use lifthollow_state::mesh::InstanceId;
use minicbor::{Decode, Encode};

/// A crash that a content was aboard of.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CrashReport {
    /// The server that crashed.
    #[n(0)]
    pub server: InstanceId,
    /// How long ago, milliseconds; rather too much than too little.
    #[n(1)]
    pub age_ms: u64,
}

/// What a node knows of one content from machines of one service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SuspectReport {
    /// Its fingerprint.
    #[cbor(n(0), with = "minicbor::bytes")]
    pub content: [u8; 16],
    /// The service on whose machines its requests started.
    #[n(3)]
    pub caller: String,
    /// The crashes that it was aboard of.
    #[n(1)]
    pub crashes: Vec<CrashReport>,
    /// How long ago a server last ran it well, milliseconds; none if that isn't known.
    #[n(2)]
    pub served_ms: Option<u64>,
}

/// All that a node knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct SuspectReports {
    /// One for each content and caller's service.
    #[n(0)]
    pub suspects: Vec<SuspectReport>,
}
