//! HTTP control port of a back end, through which a test reads the ledger, injects faults, sets
//! the node for nested calls and kills the process.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;

use rouille::{Request, Response};

use crate::control_port;

use super::fault::BackendFault;
use super::handler::Backend;

/// Maximum number of bytes that the control port reads from a request body.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// Exit code of a back end that `POST /die` terminates.
const DIE_EXIT_CODE: i32 = 70;

/// Starts the control port of `backend` and returns the address at which it listens.
pub fn start(listen: SocketAddr, backend: &Arc<Backend>) -> anyhow::Result<SocketAddr> {
    let backend = Arc::clone(backend);
    control_port::start(listen, move |request| handle_request(&backend, request))
}

fn handle_request(backend: &Backend, request: &Request) -> anyhow::Result<Response> {
    match (request.method(), request.url().as_str()) {
        ("GET", "/ledger") => Ok(json_response(&backend.ledger.report(&backend.service))?),
        ("GET", "/totals") => Ok(json_response(&backend.ledger.totals())?),
        ("PUT", "/fault") => set_fault(backend, request),
        ("PUT", "/node") => set_node(backend, request),
        ("POST", "/die") => std::process::exit(DIE_EXIT_CODE),
        _ => Ok(Response::empty_404()),
    }
}

fn json_response(value: &impl serde::Serialize) -> anyhow::Result<Response> {
    let text = serde_json::to_vec(value)?;
    Ok(Response::from_data("application/json", text))
}

fn set_fault(backend: &Backend, request: &Request) -> anyhow::Result<Response> {
    let fault: BackendFault = serde_json::from_str(&read_body_text(request)?)?;
    backend.set_fault(fault);
    Ok(Response::text("ok\n"))
}

fn set_node(backend: &Backend, request: &Request) -> anyhow::Result<Response> {
    let node: SocketAddr = read_body_text(request)?.trim().parse()?;
    backend.nested.set_node(node);
    Ok(Response::text("ok\n"))
}

fn read_body_text(request: &Request) -> anyhow::Result<String> {
    let body = request
        .data()
        .ok_or_else(|| anyhow::anyhow!("the body was read before"))?;
    let mut text = String::new();
    body.take(MAX_BODY_BYTES).read_to_string(&mut text)?;
    Ok(text)
}
