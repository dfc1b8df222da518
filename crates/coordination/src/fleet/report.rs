//! Reports of the fleet state machine to operators.

use std::fmt;
use std::time::Duration;

use lifthollow_state::{Incarnation, NodeId, TableVersion, Zone};

/// An event that operators should see in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetReport {
    /// A table came into force.
    TableAccepted {
        /// The version of the table.
        version: TableVersion,
        /// The source of the table.
        source: TableSource,
    },
    /// Two different tables have the same number. The one with the larger digest is kept.
    ConflictingVersion {
        /// The version that is kept.
        kept: TableVersion,
        /// The version that is discarded.
        discarded: TableVersion,
    },
    /// The platform's service offers an older table than the one in force.
    StalePlatformTable {
        /// The version that the platform offers.
        offered: TableVersion,
        /// The version in force on this node.
        in_force: TableVersion,
    },
    /// The digest of the rows received from a peer did not match the announced version,
    /// so the rows were discarded.
    TableDigestMismatch {
        /// The peer that sent the rows.
        from: NodeId,
        /// The version that the peer announced.
        expected: TableVersion,
        /// The version of the table built from the rows.
        found: TableVersion,
    },
    /// No peer answered within the time limit, so the platform's table was accepted
    /// without the confirmation of peers.
    StartedWithoutPeers,
    /// A member does not answer this node, or another node reported that.
    MemberSuspected {
        /// The member that the report is about.
        node: NodeId,
        /// The incarnation of the member that the report is about.
        incarnation: Incarnation,
    },
    /// A member answers again.
    MemberAlive {
        /// The member that the report is about.
        node: NodeId,
        /// The incarnation of the member that the report is about.
        incarnation: Incarnation,
    },
    /// A member leaves the fleet.
    MemberLeaving {
        /// The member that the report is about.
        node: NodeId,
        /// The incarnation of the member that the report is about.
        incarnation: Incarnation,
    },
    /// A member was removed from the fleet.
    MemberRemoved {
        /// The member that the report is about.
        node: NodeId,
        /// The incarnation of the member that the report is about.
        incarnation: Incarnation,
    },
    /// No member of a zone answers this node.
    ZoneUnreachable {
        /// The zone that the report is about.
        zone: Zone,
    },
    /// A zone answers this node again.
    ZoneReachable {
        /// The zone that the report is about.
        zone: Zone,
    },
    /// This process was paused and has resumed.
    Paused {
        /// Time by which the process missed its scheduled tick.
        paused_for: Duration,
    },
}

/// The source of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableSource {
    /// The platform's configuration service.
    Platform,
    /// Another node.
    Peer(NodeId),
}

impl FleetReport {
    /// The stable name of the report in logs.
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

    /// Whether operators should act on the report.
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

/// Writes the name of the report, followed by its values.
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
