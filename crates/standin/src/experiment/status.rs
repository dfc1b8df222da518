//! What a node tells operators.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

const TIMEOUT: Duration = Duration::from_secs(2);

/// The part of a node's status that experiments look at.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct NodeStatus {
    /// Number of the table in force; 0 if there is none yet.
    pub table_number: u64,
    /// Digest of the table in force.
    pub table_digest: String,
    /// How many servers it knows.
    pub members_known: usize,
}

impl NodeStatus {
    /// Asks a node at its operators' address.
    pub fn read(operators: SocketAddr) -> anyhow::Result<Self> {
        let response = attohttpc::get(format!("http://{operators}/status"))
            .timeout(TIMEOUT)
            .send()?
            .error_for_status()?;
        Ok(serde_json::from_slice(&response.bytes()?)?)
    }
}
