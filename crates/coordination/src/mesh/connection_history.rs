//! Which requests may still be sent on a connection to a server.
//!
//! A server in trouble may send an answer once more, at any later time. On its connection only the
//! request's identifier tells such a copy from the answer that is waited for, so a connection must
//! never carry an identifier twice. Of the requests that a connection has carried, only those that
//! the server refused can be sent to it again: an answered request is over, and a connection whose
//! request ended in any other way is closed.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of refusals on one connection after which it is closed, which bounds its history.
const MAX_REFUSALS: usize = 64;

/// Identifies a request on a connection. Two requests may have the same key; this costs no more than
/// a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKey(u64);

impl RequestKey {
    /// Returns the key of the request with this identifier.
    pub fn of(request_id: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        request_id.hash(&mut hasher);
        RequestKey(hasher.finish())
    }
}

/// The requests that were refused on one connection.
#[derive(Clone, Debug, Default)]
pub struct ConnectionHistory {
    refused: Vec<RequestKey>,
}

impl ConnectionHistory {
    /// Whether the connection has never carried the request.
    pub fn may_carry(&self, request: RequestKey) -> bool {
        !self.refused.contains(&request)
    }

    /// Records that the server refused the request on this connection.
    pub fn record_refusal(&mut self, request: RequestKey) {
        self.refused.push(request);
    }

    /// Whether the connection may carry further requests.
    pub fn has_room(&self) -> bool {
        self.refused.len() < MAX_REFUSALS
    }
}
