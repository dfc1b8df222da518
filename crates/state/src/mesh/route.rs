//! A route: which requests it takes, where they go, how long they may take.

use std::time::Duration;

use minicbor::{Decode, Encode};

use crate::mesh::codec;

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum RequestKind {
    /// It may run any number of times.
    #[n(0)]
    Idempotent,
    /// It may run at most once.
    #[n(1)]
    NonIdempotent,
}

/// One of the services that a route's requests are split over.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Destination {
    /// The service's name.
    #[n(0)]
    pub service: String,
    /// Its part of the requests, relative to the route's other destinations.
    #[n(1)]
    pub weight: u32,
}

/// One row of the operators' configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Route {
    /// The route's name.
    #[n(0)]
    pub name: String,
    /// The host that requests name, in lower case, without a port.
    #[n(1)]
    pub host: String,
    /// What the path begins with; begins and ends with a slash.
    #[n(2)]
    pub path_prefix: String,
    /// Whether requests may be repeated.
    #[n(3)]
    pub kind: RequestKind,
    /// The longest time a request may be held; none if only its deadline counts.
    #[cbor(n(4), with = "codec::optional_duration")]
    pub timeout: Option<Duration>,
    /// The time within which an answer is worth most.
    #[cbor(n(5), with = "codec::optional_duration")]
    pub target_latency: Option<Duration>,
    /// How many servers one request may be sent to; at least 1.
    #[n(6)]
    pub max_attempts: u32,
    /// Rank of the requests; 0 is the most important.
    #[n(7)]
    pub priority: u8,
    /// Where the requests go; never empty, and some weight is above zero.
    #[n(8)]
    pub destinations: Vec<Destination>,
    /// Whether requests need a tenant's key, wherever there are tenants.
    #[n(9)]
    pub needs_key: bool,
}

impl Route {
    /// Whether a request may be run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.kind == RequestKind::Idempotent
    }
}
