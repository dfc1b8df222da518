//! Metadata of a call and of the end-to-end request that it belongs to.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::{ServiceName, Timestamp};

/// Identifies the end-to-end request of one user, across every hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Derives the id from a request name chosen by a client.
    pub fn from_name(name: &str) -> Self {
        RequestId(xxh3_128(name.as_bytes()))
    }

    /// Returns the part of the priority that is derived from the request id and so is
    /// the same for the whole request tree, so that every hop sheds the same requests
    /// first. Uniform over 0 to 127.
    pub fn user_priority(self) -> u8 {
        const USER_PRIORITY_BITS: u32 = 7;
        (xxh3_64(&self.0.to_le_bytes()) >> (u64::BITS - USER_PRIORITY_BITS)) as u8
    }
}

/// Identifies an operation that must run at most once, from a key chosen by the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(pub u128);

impl IdempotencyKey {
    /// Derives the key from a name chosen by a client; the same name gives a different
    /// key for each service.
    pub fn from_name(service: &ServiceName, name: &str) -> Self {
        IdempotencyKey(xxh3_128(format!("{service}\0{name}").as_bytes()))
    }
}

/// Importance of a call to the business. Larger is more important.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PriorityClass {
    /// Calls that may wait and are refused first, such as bulk catalogue pulls.
    Sheddable,
    /// Ordinary calls.
    Normal,
    /// Calls that are refused last: top-ups, billing, publishing.
    Critical,
}

impl PriorityClass {
    /// All classes, least important first.
    pub const ALL: [PriorityClass; 3] = [
        PriorityClass::Sheddable,
        PriorityClass::Normal,
        PriorityClass::Critical,
    ];

    /// The name of the class in tables and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            PriorityClass::Sheddable => "sheddable",
            PriorityClass::Normal => "normal",
            PriorityClass::Critical => "critical",
        }
    }
}

impl fmt::Display for PriorityClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for PriorityClass {
    type Err = UnknownPriorityClass;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        PriorityClass::ALL
            .into_iter()
            .find(|class| class.as_str() == text)
            .ok_or(UnknownPriorityClass)
    }
}

/// The text is not a valid priority class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a priority class is `critical`, `normal` or `sheddable`")]
pub struct UnknownPriorityClass;

/// Order in which calls are shed: by class, then by user priority. Calls with a larger
/// priority are shed later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority {
    /// Importance to the business.
    pub class: PriorityClass,
    /// User priority within the class, 0 to 127, the same across the request tree.
    pub user: u8,
}

/// Number of retries that a call and its nested calls may still make.
///
/// A node passes a part of its allowance on with each call it forwards and gets
/// back the unused retries reported in the answer, so the sum over the whole
/// request tree never exceeds what the entry node granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RetryAllowance(pub u8);

/// Metadata that every call carries across hops.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestContext {
    /// Id of the end-to-end request.
    pub request: RequestId,
    /// Time at which the caller stops waiting, on the local clock.
    pub deadline: Timestamp,
    /// Priority that determines the order of shedding.
    pub priority: Priority,
    /// Idempotency key; present on calls that must run at most once.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Retries that this call and its nested calls may make.
    pub allowance: RetryAllowance,
}
