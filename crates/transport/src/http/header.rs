//! Conversion of end-to-end headers between HTTP messages and frames.

use hyper::HeaderMap;
use hyper::header::{self, HeaderName, HeaderValue};

use lifthollow_protocol::frame::Header;

/// Hop-by-hop headers, which apply to one connection only and are never forwarded.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
const KEEP_ALIVE: &str = "keep-alive";

/// Returns the end-to-end headers of an HTTP message, without those for which
/// `is_excluded` returns true.
pub fn end_to_end(headers: &HeaderMap, is_excluded: impl Fn(&HeaderName) -> bool) -> Vec<Header> {
    let named_by_connection = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && !is_excluded(name))
        .filter(|(name, _)| {
            !named_by_connection
                .iter()
                .any(|option| option == name.as_str())
        })
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Converts the headers of a frame to HTTP headers and skips those that are not valid
/// in HTTP.
pub fn to_header_map(headers: &[Header]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name) || name.as_str() == KEEP_ALIVE
}

/// Returns the names of headers that the `Connection` header declares to be hop-by-hop.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}
