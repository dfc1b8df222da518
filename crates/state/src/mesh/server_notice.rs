//! What a server reports about itself in its responses.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// A request rate in requests per second: a finite number of 0 or more.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// The text or number is not a valid request rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a number of 0 or more")]
pub struct InvalidRate;

impl RequestRate {
    /// Creates a rate of `per_second` requests per second.
    pub fn new(per_second: f64) -> Result<Self, InvalidRate> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self(per_second)).ok_or(InvalidRate)
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl FromStr for RequestRate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<Self, InvalidRate> {
        let per_second = text.trim().parse().map_err(|_| InvalidRate)?;
        RequestRate::new(per_second)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// What a server reported about itself in its last response. It applies until a later response
/// replaces it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerNotice {
    /// Maximum request rate that the server accepts from all nodes together; none if the server
    /// reports no limit.
    pub limit: Option<RequestRate>,
    /// Whether the server is shutting down.
    pub is_leaving: bool,
}
