//! What a server says of itself in its answers.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Requests a second: a finite number of 0 or more.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// A text that is no request rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a number of 0 or more")]
pub struct InvalidRate;

impl RequestRate {
    /// A rate of `per_second` requests a second.
    pub fn new(per_second: f64) -> Result<Self, InvalidRate> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self(per_second)).ok_or(InvalidRate)
    }

    /// Requests a second.
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

/// What a server said of itself in its last answer. It holds until an answer says otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerNotice {
    /// Requests that it takes from all nodes together; none if it names no limit.
    pub limit: Option<RequestRate>,
    /// Whether it leaves.
    pub is_leaving: bool,
}
