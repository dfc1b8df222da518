//! Hop-by-hop headers, and the target host of a request.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{HeaderMap, Uri};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

const HOP_BY_HOP: [HeaderName; 10] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    // It is set again from the body that is forwarded.
    CONTENT_LENGTH,
];

/// Removes the hop-by-hop headers, which apply only to the connection on which the message
/// arrived, including those that its `Connection` header names.
pub fn remove_single_connection(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        remove_named_by_connection(headers);
    }
    remove_all(headers, |name| HOP_BY_HOP.contains(name));
}

fn remove_named_by_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
}

/// Removes all headers for whose names `unwanted` returns true. Most messages have few such
/// headers or none, and scanning the names is cheaper than looking each of them up.
pub fn remove_all(headers: &mut HeaderMap, unwanted: impl Fn(&HeaderName) -> bool) {
    while let Some(name) = headers.keys().find(|name| unwanted(name)).cloned() {
        headers.remove(name);
    }
}

/// The number of seconds for which the server keeps an idle connection open, from the
/// `timeout` parameter of its `Keep-Alive` header.
pub fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse().ok())
}

/// The host that a request names in its `Host` header or its URI; empty if it names none.
pub fn host<'r>(headers: &'r HeaderMap, uri: &'r Uri) -> &'r str {
    let named = headers.get(HOST).and_then(|host| host.to_str().ok());
    named.or(uri.host()).unwrap_or_default()
}
