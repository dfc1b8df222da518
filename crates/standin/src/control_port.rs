//! HTTP server for the control ports through which tests control back ends and the platform.

use std::net::SocketAddr;

use rouille::{Request, Response};

const BAD_REQUEST: u16 = 400;

/// Starts a control port at `listen` and returns its address. An error of `handle` is answered
/// with its text and status 400.
pub fn start(
    listen: SocketAddr,
    handle: impl Fn(&Request) -> anyhow::Result<Response> + Send + Sync + 'static,
) -> anyhow::Result<SocketAddr> {
    let server = rouille::Server::new(listen, move |request| {
        handle(request).unwrap_or_else(|error| {
            let text = format!("{error:#}\n");
            Response::text(text).with_status_code(BAD_REQUEST)
        })
    })
    .map_err(|error| anyhow::anyhow!("cannot listen at {listen}: {error}"))?;
    let address = server.server_addr();
    std::thread::spawn(move || server.run());
    Ok(address)
}
