//! What a call carries about itself and about the whole request it belongs to.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::{ServiceName, Timestamp};

/// The whole request of one listener or shopkeeper, across every hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl RequestId {
    /// The identity for a name chosen by a client.
    pub fn from_name(name: &str) -> Self {
        RequestId(xxh3_128(name.as_bytes()))
    }

    /// The part of the priority that is the same for the whole request tree, so
    /// that every hop sheds the same requests first. Uniform over 0 to 127.
    pub fn user_priority(self) -> u8 {
        const USER_PRIORITY_BITS: u32 = 7;
        (xxh3_64(&self.0.to_le_bytes()) >> (u64::BITS - USER_PRIORITY_BITS)) as u8
    }
}

/// A client's name for one operation that must run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(pub u128);

impl IdempotencyKey {
    /// The key for a name chosen by a client, apart for each service.
    pub fn from_name(service: &ServiceName, name: &str) -> Self {
        IdempotencyKey(xxh3_128(format!("{service}\0{name}").as_bytes()))
    }
}

/// How important a call is to the business. Larger is more important.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PriorityClass {
    /// Work that may wait or be refused first, such as bulk catalogue pulls.
    Sheddable,
    /// Ordinary work.
    Normal,
    /// Work refused last: top-ups, billing, publishing.
    Critical,
}

impl PriorityClass {
    /// All classes, least important first.
    pub const ALL: [PriorityClass; 3] = [
        PriorityClass::Sheddable,
        PriorityClass::Normal,
        PriorityClass::Critical,
    ];

    /// The word written in tables and headers.
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

/// The text names no priority class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a priority class is `critical`, `normal` or `sheddable`")]
pub struct UnknownPriorityClass;

/// Order in which calls are shed: by class, then by user. Larger is shed later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority {
    /// Importance to the business.
    pub class: PriorityClass,
    /// Place inside the class, 0 to 127, the same across the request tree.
    pub user: u8,
}

/// How many retries a call and everything below it may still make.
///
/// A node lends a part of its allowance with each call it forwards and takes
/// back what the answer says was not spent, so the sum over the whole request
/// tree never exceeds what the entry node granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RetryAllowance(pub u8);

/// What every call carries across hops.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestContext {
    /// The whole request.
    pub request: RequestId,
    /// When the caller stops waiting, on the local clock.
    pub deadline: Timestamp,
    /// Order of shedding.
    pub priority: Priority,
    /// Present on calls that must run at most once.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Retries lent to this call and everything below it.
    pub allowance: RetryAllowance,
}
