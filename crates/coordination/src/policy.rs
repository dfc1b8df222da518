//! Choice of the outbound and inbound policies that a node runs.

use std::fmt;
use std::str::FromStr;

/// A pair of outbound and inbound policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The policies of the product.
    Lifthollow,
    /// Baseline: fixed limits and a fixed number of retries, as in an ordinary mesh.
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

    /// The name of the policy on command lines.
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

/// Error for a text that is not the name of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a policy is `lifthollow`, `static-limits` or `passthrough`")]
pub struct UnknownPolicy;
