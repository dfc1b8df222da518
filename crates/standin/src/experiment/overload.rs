//! Kinds of overload that the benchmark causes.

use std::str::FromStr;

use serde::Serialize;

use super::mesh::Mesh;

/// What overloads the mesh.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OverloadKind {
    /// Clients ask for much more.
    Surge,
    /// The deepest service becomes slow.
    SlowService,
}

/// By how much demand grows in a surge; with the normal load of 0.6 this is twice the capacity.
const SURGE_FACTOR: f64 = 2.0 / 0.6;
/// By how much the slow service is slower.
const SLOW_FACTOR: f64 = 6.0;

impl OverloadKind {
    /// All kinds.
    pub const ALL: [OverloadKind; 2] = [OverloadKind::Surge, OverloadKind::SlowService];

    /// Its name.
    pub fn as_str(self) -> &'static str {
        match self {
            OverloadKind::Surge => "surge",
            OverloadKind::SlowService => "slow-service",
        }
    }

    /// By how much demand grows.
    pub fn load_factor(self) -> f64 {
        match self {
            OverloadKind::Surge => SURGE_FACTOR,
            OverloadKind::SlowService => 1.0,
        }
    }

    /// By how much the slowed service is slower.
    pub fn slow_factor(self) -> f64 {
        match self {
            OverloadKind::Surge => 1.0,
            OverloadKind::SlowService => SLOW_FACTOR,
        }
    }

    /// The service that becomes slow: one that calls no other.
    pub fn slowed_service(self, mesh: &Mesh) -> Option<&'static str> {
        match self {
            OverloadKind::Surge => None,
            OverloadKind::SlowService => mesh
                .services
                .iter()
                .find(|service| service.nested.is_empty())
                .map(|service| service.name),
        }
    }
}

impl FromStr for OverloadKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        OverloadKind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| "an overload is `surge` or `slow-service`".to_owned())
    }
}
