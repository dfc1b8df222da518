//! The test operator's port: publishing and faults.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;

use rouille::{Request, Response};

use crate::control_port;

use super::{ReaderFault, SharedPlatform, lock, publish_machines, publish_table};

/// Longest document that the control port takes.
const MAX_DOCUMENT_BYTES: u64 = 16 * 1024 * 1024;

/// Starts the control port; returns its address.
pub fn start(listen: SocketAddr, platform: &SharedPlatform) -> anyhow::Result<SocketAddr> {
    let platform = Arc::clone(platform);
    control_port::start(listen, move |request| handle(&platform, request))
}

fn handle(platform: &SharedPlatform, request: &Request) -> anyhow::Result<Response> {
    match (request.method(), request.url().as_str()) {
        ("PUT", "/table") => publish_table(platform, read_text(request)?),
        ("PUT", "/machines") => publish_machines(platform, read_text(request)?),
        ("PUT", "/fault") => set_fault(platform, request)?,
        _ => return Ok(Response::empty_404()),
    }
    Ok(Response::text("ok\n"))
}

/// Sets the fault of one listener (`?reader=N`) or of all of them.
fn set_fault(platform: &SharedPlatform, request: &Request) -> anyhow::Result<()> {
    let fault: ReaderFault = serde_json::from_str(&read_text(request)?)?;
    let mut platform = lock(platform);
    let Some(reader) = request.get_param("reader") else {
        platform.faults.fill(fault);
        return Ok(());
    };
    let reader: usize = reader.parse()?;
    let setting = platform
        .faults
        .get_mut(reader)
        .ok_or_else(|| anyhow::anyhow!("there is no reader {reader}"))?;
    *setting = fault;
    Ok(())
}

fn read_text(request: &Request) -> anyhow::Result<String> {
    let body = request
        .data()
        .ok_or_else(|| anyhow::anyhow!("the body was read before"))?;
    let mut text = String::new();
    body.take(MAX_DOCUMENT_BYTES).read_to_string(&mut text)?;
    Ok(text)
}
