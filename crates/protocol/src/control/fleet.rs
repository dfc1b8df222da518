//! Messages of membership and of the table.

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

use lifthollow_state::{Incarnation, NodeId, TableVersion};

use super::{MemberRecord, TablePage, TableRequest, codec};

/// Ties the answer to a probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct ProbeSequence(#[n(0)] pub u32);

/// What the sender has, in every message, so that each contact shows who is behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct FleetHeader {
    /// The sender's life.
    #[cbor(n(0), with = "codec::incarnation")]
    pub incarnation: Incarnation,
    /// The version in force at the sender.
    #[cbor(n(1), with = "codec::version")]
    pub table: TableVersion,
    /// Digest of all members that the sender knows.
    #[n(2)]
    pub members: u64,
}

/// Digests of the members in each bucket, three bytes each.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(transparent)]
pub struct BucketDigests(#[n(0)] pub ByteVec);

/// One message of membership or of the table.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FleetMessage {
    /// What the sender has.
    #[n(0)]
    pub header: FleetHeader,
    /// What it says.
    #[n(1)]
    pub body: FleetBody,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum FleetBody {
    /// Asks for an [`FleetBody::Ack`].
    #[n(0)]
    Ping {
        /// Returned in the answer.
        #[n(0)]
        sequence: ProbeSequence,
        /// News of members.
        #[n(1)]
        updates: Vec<MemberRecord>,
    },
    /// Answers a ping.
    #[n(1)]
    Ack {
        /// The sequence of the ping.
        #[n(0)]
        sequence: ProbeSequence,
        /// News of members.
        #[n(1)]
        updates: Vec<MemberRecord>,
    },
    /// Asks the receiver to probe another node on the sender's behalf.
    #[n(2)]
    IndirectPing {
        /// Returned in the answer.
        #[n(0)]
        sequence: ProbeSequence,
        /// The node to be probed.
        #[cbor(n(1), with = "codec::node_id")]
        target: NodeId,
    },
    /// The node probed on the receiver's behalf has answered.
    #[n(3)]
    IndirectAck {
        /// The sequence of the indirect ping.
        #[n(0)]
        sequence: ProbeSequence,
    },
    /// News of members that cannot wait for the next probe.
    #[n(4)]
    Updates {
        /// The news.
        #[n(0)]
        updates: Vec<MemberRecord>,
    },
    /// Asks for the members of every bucket whose digest differs.
    #[n(5)]
    MemberDigests {
        /// What the sender has.
        #[n(0)]
        digests: BucketDigests,
    },
    /// Members of buckets that differ.
    #[n(6)]
    MemberBuckets {
        /// Buckets of which `members` holds all that the sender knows.
        #[n(0)]
        complete: Vec<u16>,
        /// The members.
        #[n(1)]
        members: Vec<MemberRecord>,
    },
    /// Asks for rows of the table.
    #[n(7)]
    TableRequest(#[n(0)] TableRequest),
    /// Rows of the table.
    #[n(8)]
    TablePage(#[n(0)] TablePage),
}
