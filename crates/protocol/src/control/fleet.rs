//! Messages for membership and for distributing the table.

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

use lifthollow_state::{Incarnation, NodeId, TableVersion};

use super::{MemberRecord, TablePage, TableRequest, codec};

/// Sequence number that matches an acknowledgement to its probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct ProbeSequence(#[n(0)] pub u32);

/// Summary of the sender's state, included in every message so that the receiver learns whether
/// either node is out of date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct FleetHeader {
    /// Incarnation of the sender.
    #[cbor(n(0), with = "codec::incarnation")]
    pub incarnation: Incarnation,
    /// Version of the table in force at the sender.
    #[cbor(n(1), with = "codec::version")]
    pub table: TableVersion,
    /// Digest of all members that the sender knows.
    #[n(2)]
    pub members: u64,
}

/// Digests of the members in each bucket, three bytes per bucket.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(transparent)]
pub struct BucketDigests(#[n(0)] pub ByteVec);

/// One message about membership or the table.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FleetMessage {
    /// Summary of the sender's state.
    #[n(0)]
    pub header: FleetHeader,
    /// Content of the message.
    #[n(1)]
    pub body: FleetBody,
}

/// Content of a [`FleetMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum FleetBody {
    /// Probes the receiver, which answers with a [`FleetBody::Ack`].
    #[n(0)]
    Ping {
        /// Sequence number that the acknowledgement repeats.
        #[n(0)]
        sequence: ProbeSequence,
        /// Records of members that have changed.
        #[n(1)]
        updates: Vec<MemberRecord>,
    },
    /// Answers a [`FleetBody::Ping`].
    #[n(1)]
    Ack {
        /// Sequence number of the ping.
        #[n(0)]
        sequence: ProbeSequence,
        /// Records of members that have changed.
        #[n(1)]
        updates: Vec<MemberRecord>,
    },
    /// Asks the receiver to probe another node on the sender's behalf.
    #[n(2)]
    IndirectPing {
        /// Sequence number that the acknowledgement repeats.
        #[n(0)]
        sequence: ProbeSequence,
        /// The node to be probed.
        #[cbor(n(1), with = "codec::node_id")]
        target: NodeId,
    },
    /// Reports that the node probed on the receiver's behalf has answered.
    #[n(3)]
    IndirectAck {
        /// Sequence number of the indirect ping.
        #[n(0)]
        sequence: ProbeSequence,
    },
    /// Sends changed member records that cannot wait for the next probe.
    #[n(4)]
    Updates {
        /// Records of members that have changed.
        #[n(0)]
        updates: Vec<MemberRecord>,
    },
    /// Asks for the members of every bucket whose digest differs.
    #[n(5)]
    MemberDigests {
        /// Digests of the sender's member records.
        #[n(0)]
        digests: BucketDigests,
    },
    /// Answers [`FleetBody::MemberDigests`] with the members of buckets that differ.
    #[n(6)]
    MemberBuckets {
        /// Indexes of the buckets of which `members` contains all members known to the sender.
        #[n(0)]
        complete: Vec<u16>,
        /// Records of the members in the differing buckets.
        #[n(1)]
        members: Vec<MemberRecord>,
    },
    /// Requests rows of the table.
    #[n(7)]
    TableRequest(#[n(0)] TableRequest),
    /// Sends rows of the table.
    #[n(8)]
    TablePage(#[n(0)] TablePage),
}
