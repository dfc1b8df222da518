//! Listeners of the configuration service, from which lifthollow fetches the table and the list
//! of machines with GET requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rouille::{Request, Response};

use super::{SharedPlatform, lock};

const HTTP_METHOD_NOT_ALLOWED: u16 = 405;
const HTTP_SERVICE_UNAVAILABLE: u16 = 503;

/// Starts the listener with the given `index` and returns the address at which it listens.
pub fn start(
    listen: SocketAddr,
    index: usize,
    platform: &SharedPlatform,
) -> anyhow::Result<SocketAddr> {
    let platform = Arc::clone(platform);
    let server = rouille::Server::new(listen, move |request| respond(&platform, index, request))
        .map_err(|error| anyhow::anyhow!("cannot listen at {listen}: {error}"))?;
    let address = server.server_addr();
    std::thread::spawn(move || server.run());
    Ok(address)
}

fn respond(platform: &SharedPlatform, index: usize, request: &Request) -> Response {
    let response_delay = Duration::from_millis(lock(platform).fault(index).slow_ms);
    std::thread::sleep(response_delay);
    if request.method() != "GET" {
        return Response::text("read only\n").with_status_code(HTTP_METHOD_NOT_ALLOWED);
    }
    let platform = lock(platform);
    if platform.refuses(index) {
        return Response::text("down\n").with_status_code(HTTP_SERVICE_UNAVAILABLE);
    }
    let document = match request.url().as_str() {
        "/table" => platform.table_for(index, Instant::now()),
        "/machines" => platform.machines_for(index, Instant::now()),
        _ => None,
    };
    match document {
        Some(text) => Response::from_data("text/csv", text),
        None => Response::empty_404(),
    }
}
