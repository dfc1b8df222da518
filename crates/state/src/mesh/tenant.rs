//! A tenant: whose keys open routes, how important its requests are, how many it may send.

use std::fmt;

use minicbor::{Decode, Encode};
use sha2::{Digest, Sha256};

/// Limits are kept in thousandths of a request a second, as whole numbers can be compared.
const THOUSANDTHS: f64 = 1000.0;

/// A key as it is kept and compared: its SHA-256 digest. Keys themselves are kept nowhere and
/// passed on to nobody; what is drawn at random with 80 bits or more can't be found from its
/// digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct KeyDigest(#[cbor(n(0), with = "minicbor::bytes")] [u8; 32]);

impl KeyDigest {
    /// The digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// How many requests a tenant may send, counted over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RateLimit {
    /// Thousandths of a request a second; above zero.
    #[n(0)]
    thousandths_per_second: u64,
    /// Requests that may come at once on top of that.
    #[n(1)]
    pub burst: u64,
}

impl RateLimit {
    /// So many requests a second and so many at once; none if `per_second` is not above zero,
    /// which means that there is no limit.
    pub fn new(per_second: f64, burst: u64) -> Option<Self> {
        let thousandths_per_second = (per_second * THOUSANDTHS).round() as u64;
        (thousandths_per_second > 0).then_some(RateLimit {
            thousandths_per_second,
            burst,
        })
    }

    /// Requests a second.
    pub fn per_second(&self) -> f64 {
        self.thousandths_per_second as f64 / THOUSANDTHS
    }
}

/// One tenant of the operators' configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Tenant {
    /// Its name, which servers are told.
    #[n(0)]
    pub name: String,
    /// Its keys; a tenant whose keys were all taken away has none.
    #[n(1)]
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, in place of their routes'; 0 is the most important.
    #[n(2)]
    pub priority: u8,
    /// How many requests it may send; none if there is no limit.
    #[n(3)]
    pub limit: Option<RateLimit>,
}
