//! One member of the fleet as this node knows it.

use lifthollow_protocol::control::{MemberRecord, MemberStatus};
use lifthollow_state::{Incarnation, Server, ServerState, TableVersion, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

/// What the platform's list says of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listing {
    /// No list that was read had it.
    #[default]
    Never,
    /// The latest list has it.
    Live,
    /// The latest list has it as leaving.
    Leaving,
    /// An earlier list had it, the latest has not.
    Dropped,
}

/// One member of the fleet as this node knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What nodes tell each other. Incarnation zero: only the platform's list or
    /// the settings name it, it was never heard of.
    pub record: MemberRecord,
    /// What the platform's list says.
    pub listing: Listing,
    /// When it last answered or wrote to this node.
    pub heard: Option<Timestamp>,
    /// The version in force there when it was last heard.
    pub table: TableVersion,
    /// Since when its status is not `Alive`.
    pub not_alive_since: Option<Timestamp>,
}

impl Member {
    /// A member of which only its record is known.
    pub fn new(record: MemberRecord) -> Self {
        Member {
            record,
            listing: Listing::Never,
            heard: None,
            table: TableVersion::default(),
            not_alive_since: None,
        }
    }

    /// Whether it is known by more than the platform's list or the settings.
    pub fn is_announced(&self) -> bool {
        self.record.incarnation > Incarnation::default()
    }

    /// Whether it is gone.
    pub fn is_removed(&self) -> bool {
        self.record.status == MemberStatus::Removed
    }

    /// The server that decisions see; none if it must not be used at all.
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

/// Digest of what can differ between two nodes' records of one member; zero for
/// members that are not compared.
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
