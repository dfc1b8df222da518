//! What nodes tell each other about a member of the fleet.

use minicbor::{Decode, Encode};

use lifthollow_state::{Incarnation, NodeId, ServiceName, Side, Zone};

use super::codec;

/// How a member stands, least severe first. At equal incarnations the more
/// severe status holds; only the member itself, by a larger incarnation,
/// returns to a milder one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(index_only)]
pub enum MemberStatus {
    /// It answers probes.
    #[n(0)]
    Alive,
    /// Several nodes got no answer from it.
    #[n(1)]
    Suspected,
    /// It stops as planned and takes no new work.
    #[n(2)]
    Leaving,
    /// It is gone and forgotten.
    #[n(3)]
    Removed,
}

impl MemberStatus {
    /// The word in logs and on the operators' port.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberStatus::Alive => "alive",
            MemberStatus::Suspected => "suspected",
            MemberStatus::Leaving => "leaving",
            MemberStatus::Removed => "removed",
        }
    }
}

/// One member as the node that sends the record knows it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberRecord {
    /// The member.
    #[cbor(n(0), with = "codec::node_id")]
    pub node: NodeId,
    /// The life of the member that the record is about.
    #[cbor(n(1), with = "codec::incarnation")]
    pub incarnation: Incarnation,
    /// How it stands.
    #[n(2)]
    pub status: MemberStatus,
    /// Its data centre.
    #[cbor(n(3), with = "codec::side")]
    pub side: Side,
    /// Its failure domain.
    #[cbor(n(4), with = "codec::zone")]
    pub zone: Zone,
    /// The services whose back ends stand beside it.
    #[cbor(n(5), with = "codec::services")]
    pub services: Vec<ServiceName>,
}

impl MemberRecord {
    /// Whether this record replaces `other` of the same member.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }
}
