//! What the fleet part tells operators.

use std::fmt;
use std::time::Duration;

use lifthollow_state::{Incarnation, NodeId, TableVersion, Zone};

/// Something operators should see in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetReport {
    /// A table came into force.
    TableAccepted {
        /// Its version.
        version: TableVersion,
        /// Where it came from.
        source: TableSource,
    },
    /// Two tables carry one number. The one with the larger digest is kept.
    ConflictingVersion {
        /// The version kept.
        kept: TableVersion,
        /// The version discarded.
        discarded: TableVersion,
    },
    /// The platform's service offers an older table than the one in force.
    StalePlatformTable {
        /// The version offered.
        offered: TableVersion,
        /// The version in force.
        in_force: TableVersion,
    },
    /// Rows received from a peer did not amount to the version they were sent
    /// for; they were discarded.
    TableDigestMismatch {
        /// The peer.
        from: NodeId,
        /// The version announced.
        expected: TableVersion,
        /// The version that resulted.
        found: TableVersion,
    },
    /// No peer answered within the bound, so the platform's table was accepted
    /// without asking.
    StartedWithoutPeers,
    /// A member does not answer, or another node says so.
    MemberSuspected {
        /// The member.
        node: NodeId,
        /// The life that is meant.
        incarnation: Incarnation,
    },
    /// A member answers again.
    MemberAlive {
        /// The member.
        node: NodeId,
        /// The life that is meant.
        incarnation: Incarnation,
    },
    /// A member stops as planned.
    MemberLeaving {
        /// The member.
        node: NodeId,
        /// The life that is meant.
        incarnation: Incarnation,
    },
    /// A member was forgotten.
    MemberRemoved {
        /// The member.
        node: NodeId,
        /// The life that is meant.
        incarnation: Incarnation,
    },
    /// Nobody in a zone answers this node.
    ZoneUnreachable {
        /// The zone.
        zone: Zone,
    },
    /// A zone answers this node again.
    ZoneReachable {
        /// The zone.
        zone: Zone,
    },
    /// This process was paused.
    Paused {
        /// How long.
        paused_for: Duration,
    },
}

/// Where a table came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableSource {
    /// The platform's configuration service.
    Platform,
    /// Another node.
    Peer(NodeId),
}

impl FleetReport {
    /// The stable word in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            FleetReport::TableAccepted { .. } => "table_accepted",
            FleetReport::ConflictingVersion { .. } => "conflicting_version",
            FleetReport::StalePlatformTable { .. } => "stale_platform_table",
            FleetReport::TableDigestMismatch { .. } => "table_digest_mismatch",
            FleetReport::StartedWithoutPeers => "started_without_peers",
            FleetReport::MemberSuspected { .. } => "member_suspected",
            FleetReport::MemberAlive { .. } => "member_alive",
            FleetReport::MemberLeaving { .. } => "member_leaving",
            FleetReport::MemberRemoved { .. } => "member_removed",
            FleetReport::ZoneUnreachable { .. } => "zone_unreachable",
            FleetReport::ZoneReachable { .. } => "zone_reachable",
            FleetReport::Paused { .. } => "paused",
        }
    }

    /// Whether operators should act on it.
    pub fn is_warning(&self) -> bool {
        matches!(
            self,
            FleetReport::ConflictingVersion { .. }
                | FleetReport::StalePlatformTable { .. }
                | FleetReport::TableDigestMismatch { .. }
                | FleetReport::StartedWithoutPeers
                | FleetReport::ZoneUnreachable { .. }
                | FleetReport::Paused { .. }
        )
    }
}

/// The word, then the values.
impl fmt::Display for FleetReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.as_str())?;
        match self {
            FleetReport::TableAccepted { version, source } => {
                write!(formatter, ": version {} from {source}", version.number)
            }
            FleetReport::ConflictingVersion { kept, discarded } => write!(
                formatter,
                ": number {} has digests {:016x} (kept) and {:016x}",
                kept.number, kept.digest, discarded.digest
            ),
            FleetReport::StalePlatformTable { offered, in_force } => write!(
                formatter,
                ": offered {}, in force {}",
                offered.number, in_force.number
            ),
            FleetReport::TableDigestMismatch { from, expected, .. } => {
                write!(formatter, ": version {} from {from}", expected.number)
            }
            FleetReport::MemberSuspected { node, incarnation }
            | FleetReport::MemberAlive { node, incarnation }
            | FleetReport::MemberLeaving { node, incarnation }
            | FleetReport::MemberRemoved { node, incarnation } => {
                write!(formatter, ": {node} incarnation {}", incarnation.0)
            }
            FleetReport::ZoneUnreachable { zone } | FleetReport::ZoneReachable { zone } => {
                write!(formatter, ": zone {}", zone.0)
            }
            FleetReport::Paused { paused_for } => write!(formatter, ": {paused_for:?}"),
            FleetReport::StartedWithoutPeers => Ok(()),
        }
    }
}

impl fmt::Display for TableSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableSource::Platform => formatter.write_str("platform"),
            TableSource::Peer(node) => node.fmt(formatter),
        }
    }
}
