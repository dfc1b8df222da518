//! A route: which requests it matches, where they are sent and how long they may take.

use std::time::Duration;

use minicbor::{Decode, Encode};

use crate::mesh::codec;

/// Whether a route's requests are idempotent and so may be retried after they may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum RequestKind {
    /// A request may run any number of times.
    #[n(0)]
    Idempotent,
    /// A request may run at most once.
    #[n(1)]
    NonIdempotent,
}

/// One of the services that a route's requests are split over.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Destination {
    /// Name of the destination service.
    #[n(0)]
    pub service: String,
    /// Share of the requests sent to this service, relative to the route's other destinations.
    #[n(1)]
    pub weight: u32,
}

/// One route of the operators' configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Route {
    /// The route's name.
    #[n(0)]
    pub name: String,
    /// The host of matching requests, in lower case, without a port.
    #[n(1)]
    pub host: String,
    /// Prefix of the paths of matching requests; it begins and ends with a slash.
    #[n(2)]
    pub path_prefix: String,
    /// Whether the route's requests may run more than once.
    #[n(3)]
    pub kind: RequestKind,
    /// Maximum time for a request; none if only the request's own deadline applies.
    #[cbor(n(4), with = "codec::optional_duration")]
    pub timeout: Option<Duration>,
    /// Target response time, within which a response has its full value.
    #[cbor(n(5), with = "codec::optional_duration")]
    pub target_latency: Option<Duration>,
    /// Maximum number of servers that one request may be sent to; at least 1.
    #[n(6)]
    pub max_attempts: u32,
    /// Priority of the route's requests; 0 is the most important.
    #[n(7)]
    pub priority: u8,
    /// Services that receive the requests; never empty, and at least one weight is above zero.
    #[n(8)]
    pub destinations: Vec<Destination>,
    /// Whether requests need a tenant's API key; ignored if no tenants are configured.
    #[n(9)]
    pub needs_key: bool,
}

impl Route {
    /// Returns whether the route's requests may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.kind == RequestKind::Idempotent
    }
}
