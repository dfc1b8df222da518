//! The roster: which nodes are replicas of idempotency keys.

use lifthollow_state::{NodeId, Side, Zone};
use minicbor::{Decode, Encode};

/// One node that stores claims on idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RosterMember {
    /// Address of the member. A process that replaces another at the same address is
    /// the same member.
    #[cbor(n(0), with = "crate::control::codec::node_id")]
    pub node: NodeId,
    /// The member's data centre.
    #[cbor(n(1), with = "crate::control::codec::side")]
    pub side: Side,
    /// The member's failure domain.
    #[cbor(n(2), with = "crate::control::codec::zone")]
    pub zone: Zone,
}

/// All nodes that store claims on idempotency keys, with an epoch that operators
/// raise with every change.
///
/// While `previous` is not empty the change from it to `members` is in progress
/// and a claim needs a majority of both.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Roster {
    /// Number of this version of the roster, raised by one with every change.
    #[n(0)]
    pub epoch: u32,
    /// The current members, ordered by node.
    #[n(1)]
    pub members: Vec<RosterMember>,
    /// The members before a change that is in progress, ordered by node.
    #[n(2)]
    pub previous: Vec<RosterMember>,
}

/// Identifies a roster in messages; two different rosters of one epoch differ in `digest`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RosterVersion {
    /// The roster's epoch.
    #[n(0)]
    pub epoch: u32,
    /// Digest of the roster's members.
    #[n(1)]
    pub digest: u64,
}
