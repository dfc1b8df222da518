//! Calls to the control ports of stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a setting.
pub fn put(control: SocketAddr, path: &str, body: &str) -> anyhow::Result<()> {
    attohttpc::put(format!("http://{control}{path}"))
        .timeout(TIMEOUT)
        .text(body)
        .send()?
        .error_for_status()?;
    Ok(())
}

/// Reads a report.
pub fn get<T: DeserializeOwned>(control: SocketAddr, path: &str) -> anyhow::Result<T> {
    let response = attohttpc::get(format!("http://{control}{path}"))
        .timeout(TIMEOUT)
        .send()?
        .error_for_status()?;
    Ok(serde_json::from_slice(&response.bytes()?)?)
}
