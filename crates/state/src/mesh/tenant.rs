//! A tenant: its API keys, the priority of its requests and its rate limit.

use std::fmt;

use minicbor::{Decode, Encode};
use sha2::{Digest, Sha256};

/// Rate limits are stored in thousandths of a request per second, because integers can be
/// compared for equality.
const THOUSANDTHS: f64 = 1000.0;

/// The SHA-256 digest of an API key, which is what is stored and compared. The keys themselves are
/// never stored or forwarded. A random key of 80 bits or more can't be recovered from its digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct KeyDigest(#[cbor(n(0), with = "minicbor::bytes")] [u8; 32]);

impl KeyDigest {
    /// Computes the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Rate limit of a tenant's requests, counted over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RateLimit {
    /// Sustained rate in thousandths of a request per second; above zero.
    #[n(0)]
    thousandths_per_second: u64,
    /// Number of requests that may arrive at once above the sustained rate.
    #[n(1)]
    pub burst: u64,
}

impl RateLimit {
    /// Creates a limit of `per_second` requests per second with bursts of `burst` requests. Returns
    /// none, which means unlimited, if `per_second` is not above zero.
    pub fn new(per_second: f64, burst: u64) -> Option<Self> {
        let thousandths_per_second = (per_second * THOUSANDTHS).round() as u64;
        (thousandths_per_second > 0).then_some(RateLimit {
            thousandths_per_second,
            burst,
        })
    }

    /// Returns the sustained rate in requests per second.
    pub fn per_second(&self) -> f64 {
        self.thousandths_per_second as f64 / THOUSANDTHS
    }
}

/// One tenant of the operators' configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Tenant {
    /// The tenant's name, which is sent to servers.
    #[n(0)]
    pub name: String,
    /// Digests of the tenant's API keys; empty if all of its keys were revoked.
    #[n(1)]
    pub keys: Vec<KeyDigest>,
    /// Priority of the tenant's requests, which overrides the priority of their routes; 0 is the
    /// most important.
    #[n(2)]
    pub priority: u8,
    /// Rate limit of the tenant's requests; none if they are not limited.
    #[n(3)]
    pub limit: Option<RateLimit>,
}
