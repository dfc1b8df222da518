//! Kinds of faults and their names on the command line.

use std::str::FromStr;

use serde::Serialize;

/// Kind of a fault that the experiment can cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A node is killed without warning and replaced at its address.
    KilledNode,
    /// A node's process is suspended and resumed several seconds later.
    FrozenNode,
    /// The configuration service is down while a node is replaced.
    PlatformDown,
    /// The configuration service serves an older table to some nodes while a node is replaced.
    PlatformStale,
    /// Two operators publish different tables under one number.
    TwoOperators,
    /// A node receives SIGTERM while calls and streams are in progress.
    PlannedStop,
    /// A server is marked as leaving in the list of machines.
    LeavingServer,
}

impl FaultKind {
    /// All kinds of faults.
    pub const ALL: [FaultKind; 7] = [
        FaultKind::KilledNode,
        FaultKind::FrozenNode,
        FaultKind::PlatformDown,
        FaultKind::PlatformStale,
        FaultKind::TwoOperators,
        FaultKind::PlannedStop,
        FaultKind::LeavingServer,
    ];

    /// Returns the fault's name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            FaultKind::KilledNode => "killed-node",
            FaultKind::FrozenNode => "frozen-node",
            FaultKind::PlatformDown => "platform-down",
            FaultKind::PlatformStale => "platform-stale",
            FaultKind::TwoOperators => "two-operators",
            FaultKind::PlannedStop => "planned-stop",
            FaultKind::LeavingServer => "leaving-server",
        }
    }
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = FaultKind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text);
        found.ok_or_else(|| {
            let names = FaultKind::ALL.map(FaultKind::as_str).join(", ");
            format!("a fault is one of {names}")
        })
    }
}
