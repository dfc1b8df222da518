//! Which set of decisions a node runs.

use std::fmt;
use std::str::FromStr;

/// A complete set of outbound and inbound decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The product.
    Lifthollow,
    /// Baseline: fixed limits and a fixed count of retries, as an ordinary mesh has.
    StaticLimits,
    /// Baseline: round robin, three retries at each hop, unbounded queues.
    Passthrough,
}

impl PolicyKind {
    /// All policies, the product first.
    pub const ALL: [PolicyKind; 3] = [
        PolicyKind::Lifthollow,
        PolicyKind::StaticLimits,
        PolicyKind::Passthrough,
    ];

    /// The name on command lines.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyKind::Lifthollow => "lifthollow",
            PolicyKind::StaticLimits => "static-limits",
            PolicyKind::Passthrough => "passthrough",
        }
    }
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for PolicyKind {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        PolicyKind::ALL
            .into_iter()
            .find(|policy| policy.as_str() == text)
            .ok_or(UnknownPolicy)
    }
}

/// The text names no policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a policy is `lifthollow`, `static-limits` or `passthrough`")]
pub struct UnknownPolicy;
