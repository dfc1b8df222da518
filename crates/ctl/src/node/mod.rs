//! Commands that query a running node.

mod advice;
mod claim;
mod client;
mod member;
mod show;

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use lifthollow_protocol::operators::{
    ClaimStatus, Explanation, LeavingStatus, Members, NodeStatus,
};
use lifthollow_state::finding::{Findings, Place, unknown};

use crate::arguments::{ClaimCommand, ExplainCommand, SnapshotCommand, StatusCommand};
use crate::file;
use crate::outcome::Report;
use client::NodeClient;

/// `status`: shows a summary of a node, and on request the table in force on all nodes
/// that it knows.
pub fn status(command: &StatusCommand) -> anyhow::Result<Report> {
    let client = client_for(&command.address)?;
    let status: NodeStatus = client.get("/status", &[])?;
    let mut text = show::status(&status);
    if command.all {
        let members: Members = client.get("/members", &[])?;
        text.push_str("\n\n");
        text.push_str(&show::versions(&status, &members));
    }
    Ok(Report::done(text))
}

/// `members`: lists the nodes that a node knows.
pub fn members(address: &str) -> anyhow::Result<Report> {
    let members: Members = client_for(address)?.get("/members", &[])?;
    Ok(Report::done(show::members(&members)))
}

/// `leaving`: shows whether a node is leaving, and which servers it knows to be leaving.
pub fn leaving(address: &str) -> anyhow::Result<Report> {
    let client = client_for(address)?;
    let leaving: LeavingStatus = client.get("/leaving", &[])?;
    let members: Members = client.get("/members", &[])?;
    Ok(Report::done(show::leaving(&leaving, &members)))
}

/// `explain`: shows why a service or a request was refused on a node.
pub fn explain(command: &ExplainCommand) -> anyhow::Result<Report> {
    let parameters: Vec<(&str, &str)> =
        [("service", &command.service), ("request", &command.request)]
            .into_iter()
            .filter_map(|(name, value)| Some((name, value.as_deref()?)))
            .collect();
    let client = client_for(&command.address)?;
    let explanation: Explanation = client.get("/explain", &parameters)?;
    Ok(Report::done(show::explanation(&explanation)))
}

/// `claim`: shows a node's record of an idempotency key.
pub fn claim(command: &ClaimCommand) -> anyhow::Result<Report> {
    let parameters = [
        ("service", command.service.as_str()),
        ("key", command.key.as_str()),
    ];
    let client = client_for(&command.address)?;
    let claim: ClaimStatus = client.get("/claims", &parameters)?;
    Ok(Report::done(claim::show(&claim)))
}

/// `snapshot`: writes a node's state to a file.
pub fn snapshot(command: &SnapshotCommand) -> anyhow::Result<Report> {
    let client = client_for(&command.address)?;
    let bytes = client.get_bytes("/snapshot", &[])?;
    file::create(&command.out, &bytes)?;
    let size = bytes.len();
    Ok(Report::done(format!("{}: {size} bytes", command.out)))
}

fn client_for(address: &str) -> Result<NodeClient, Findings> {
    SocketAddr::from_str(address)
        .map(NodeClient::new)
        .map_err(|_| {
            let mut findings = Findings::default();
            let place = Place::Argument(Arc::from("address"));
            findings.add(place, unknown(address, "an address is IP:PORT"));
            findings
        })
}
