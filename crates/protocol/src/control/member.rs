//! Membership records that nodes exchange.

use minicbor::{Decode, Encode};

use lifthollow_state::{Incarnation, NodeId, ServiceName, Side, Zone};

use super::codec;

/// Status of a member, least severe first. At equal incarnations the more severe
/// status takes precedence; only the member itself can return to a less severe
/// status, by raising its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(index_only)]
pub enum MemberStatus {
    /// The member answers probes.
    #[n(0)]
    Alive,
    /// Several nodes got no answer from the member.
    #[n(1)]
    Suspected,
    /// The member is shutting down as planned and accepts no new calls.
    #[n(2)]
    Leaving,
    /// The member is gone and its record is no longer used.
    #[n(3)]
    Removed,
}

impl MemberStatus {
    /// Returns the status name in logs and on the operators' port.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberStatus::Alive => "alive",
            MemberStatus::Suspected => "suspected",
            MemberStatus::Leaving => "leaving",
            MemberStatus::Removed => "removed",
        }
    }
}

/// One member as known to the node that sends the record.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberRecord {
    /// Address of the member.
    #[cbor(n(0), with = "codec::node_id")]
    pub node: NodeId,
    /// Incarnation of the member that the record describes.
    #[cbor(n(1), with = "codec::incarnation")]
    pub incarnation: Incarnation,
    /// Status of the member.
    #[n(2)]
    pub status: MemberStatus,
    /// The member's data centre.
    #[cbor(n(3), with = "codec::side")]
    pub side: Side,
    /// The member's failure domain.
    #[cbor(n(4), with = "codec::zone")]
    pub zone: Zone,
    /// The services whose back ends run on the member's machine.
    #[cbor(n(5), with = "codec::services")]
    pub services: Vec<ServiceName>,
}

impl MemberRecord {
    /// Returns whether this record replaces `other`, a record of the same member.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }
}
