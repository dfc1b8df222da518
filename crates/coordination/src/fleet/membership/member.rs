//! One member of the fleet as this node knows it.

use lifthollow_protocol::control::{MemberRecord, MemberStatus};
use lifthollow_state::{Incarnation, Server, ServerState, TableVersion, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

/// Status of a member in the platform's list of machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listing {
    /// No list read so far contains the member.
    #[default]
    Never,
    /// The latest list contains the member, not as leaving.
    Listed,
    /// The latest list contains the member as leaving.
    Leaving,
    /// An earlier list contained the member, the latest does not.
    Dropped,
}

/// One member of the fleet as this node knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The record that nodes exchange about the member. Incarnation zero means that
    /// only the platform's list or the settings name the member and no node has
    /// announced it.
    pub record: MemberRecord,
    /// Status of the member in the platform's list of machines.
    pub listing: Listing,
    /// Time at which this node last received a message from the member.
    pub heard: Option<Timestamp>,
    /// The table version in force on the member in its last message.
    pub table: TableVersion,
    /// Time since which the status of the member is not `Alive`; set to the time of
    /// removal when the member is removed.
    pub not_alive_since: Option<Timestamp>,
}

impl Member {
    /// Creates a member of which only the record is known.
    pub fn new(record: MemberRecord) -> Self {
        Member {
            record,
            listing: Listing::Never,
            heard: None,
            table: TableVersion::default(),
            not_alive_since: None,
        }
    }

    /// Whether a node announced the member, so that it is known by more than the
    /// platform's list or the settings.
    pub fn is_announced(&self) -> bool {
        self.record.incarnation > Incarnation::default()
    }

    /// Whether the member has the status `Removed`.
    pub fn is_removed(&self) -> bool {
        self.record.status == MemberStatus::Removed
    }

    /// The server entry for the directory; `None` if the member must not be used.
    pub fn server(&self, zone_reachable: bool) -> Option<Server> {
        let state = match (self.record.status, self.listing) {
            (MemberStatus::Removed, _) => return None,
            (_, Listing::Dropped) if !self.is_announced() => return None,
            (MemberStatus::Leaving, _) | (_, Listing::Leaving) => ServerState::Leaving,
            (MemberStatus::Suspected, _) => ServerState::Suspected,
            (MemberStatus::Alive, _) if !zone_reachable => ServerState::Suspected,
            (MemberStatus::Alive, _) => ServerState::Serving,
        };
        Some(Server {
            node: self.record.node,
            side: self.record.side,
            zone: self.record.zone,
            state,
        })
    }
}

/// Digest of the fields that can differ between two nodes' records of one member:
/// node, incarnation and status. Zero for members that are not compared, which are
/// unannounced and removed ones.
pub fn record_digest(record: &MemberRecord) -> u64 {
    let compared = record.incarnation > Incarnation::default();
    if !compared || record.status == MemberStatus::Removed {
        return 0;
    }
    let mut bytes = [0; 17];
    bytes[..8].copy_from_slice(&record.node.as_u64().to_le_bytes());
    bytes[8..16].copy_from_slice(&record.incarnation.0.to_le_bytes());
    bytes[16] = record.status as u8;
    xxh3_64(&bytes)
}
