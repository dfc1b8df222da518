//! HTTP control port of the platform service, through which a test publishes documents and
//! injects faults.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;

use rouille::{Request, Response};

use crate::control_port;

use super::{ReaderFault, SharedPlatform, lock, publish_machines, publish_table};

/// Maximum number of bytes that the control port reads from a request body.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Starts the control port of `platform` and returns the address at which it listens.
pub fn start(listen: SocketAddr, platform: &SharedPlatform) -> anyhow::Result<SocketAddr> {
    let platform = Arc::clone(platform);
    control_port::start(listen, move |request| handle_request(&platform, request))
}

fn handle_request(platform: &SharedPlatform, request: &Request) -> anyhow::Result<Response> {
    match (request.method(), request.url().as_str()) {
        ("PUT", "/table") => publish_table(platform, read_body_text(request)?),
        ("PUT", "/machines") => publish_machines(platform, read_body_text(request)?),
        ("PUT", "/fault") => set_fault(platform, request)?,
        _ => return Ok(Response::empty_404()),
    }
    Ok(Response::text("ok\n"))
}

/// Sets the injected fault of one listener (`?reader=N`), or of all listeners without the
/// parameter.
fn set_fault(platform: &SharedPlatform, request: &Request) -> anyhow::Result<()> {
    let fault: ReaderFault = serde_json::from_str(&read_body_text(request)?)?;
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

fn read_body_text(request: &Request) -> anyhow::Result<String> {
    let body = request
        .data()
        .ok_or_else(|| anyhow::anyhow!("the body was read before"))?;
    let mut text = String::new();
    body.take(MAX_BODY_BYTES).read_to_string(&mut text)?;
    Ok(text)
}
