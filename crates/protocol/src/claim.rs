//! Messages by which a node claims an idempotency key at its replicas before it
//! runs a call, and records how the run ended.

use std::time::Duration;

use lifthollow_state::{IdempotencyKey, Incarnation, NodeId};
use minicbor::{Decode, Encode};

use crate::roster::{Roster, RosterVersion};

/// One attempt of one process to become the holder of a key. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ClaimId {
    /// The node that wants to run the call.
    #[cbor(n(0), with = "crate::control::codec::node_id")]
    pub node: NodeId,
    /// The life of that node.
    #[cbor(n(1), with = "crate::control::codec::incarnation")]
    pub incarnation: Incarnation,
    /// Counts the claims of that process.
    #[n(2)]
    pub sequence: u64,
}

/// A header of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RecordedHeader {
    /// Its name, in lower case.
    #[n(0)]
    pub name: String,
    /// Its value.
    #[cbor(n(1), with = "minicbor::bytes")]
    pub value: Vec<u8>,
}

/// A back end's answer, kept so that a repeat of the call can be given it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct RecordedAnswer {
    /// HTTP status.
    #[n(0)]
    pub status: u16,
    /// Headers that describe the body.
    #[n(1)]
    pub headers: Vec<RecordedHeader>,
    /// The complete body.
    #[cbor(n(2), with = "minicbor::bytes")]
    pub body: Vec<u8>,
}

impl RecordedAnswer {
    /// Largest size of headers and body together that is recorded, in bytes, so
    /// that a message fits into one datagram.
    pub const MAX_BYTES: usize = 1_000;

    /// Bytes of headers and body.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        headers + self.body.len()
    }
}

/// How the run under a claim ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RecordedOutcome {
    /// The back end answered.
    #[n(0)]
    Completed(#[n(0)] RecordedAnswer),
    /// The back end answered with more than [`RecordedAnswer::MAX_BYTES`].
    #[n(1)]
    AnswerTooLarge,
    /// The answer was lost after the run may have started.
    #[n(2)]
    AnswerLost,
}

impl RecordedOutcome {
    /// Bytes of the recorded answer.
    pub fn size(&self) -> usize {
        match self {
            RecordedOutcome::Completed(answer) => answer.size(),
            RecordedOutcome::AnswerTooLarge | RecordedOutcome::AnswerLost => 0,
        }
    }
}

/// Asks a replica to grant a key to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClaimRequest {
    /// The key.
    #[cbor(n(0), with = "crate::control::codec::idempotency_key")]
    pub key: IdempotencyKey,
    /// Who wants it.
    #[n(1)]
    pub claim: ClaimId,
    /// Digest of method, path and body of the call.
    #[n(2)]
    pub body_digest: u64,
    /// The roster by which the replica was chosen.
    #[n(3)]
    pub roster: RosterVersion,
}

/// A replica's answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClaimVote {
    /// The key.
    #[cbor(n(0), with = "crate::control::codec::idempotency_key")]
    pub key: IdempotencyKey,
    /// The claim that asked.
    #[n(1)]
    pub claim: ClaimId,
    /// The replica's roster.
    #[n(2)]
    pub roster: RosterVersion,
    /// The answer.
    #[n(3)]
    pub verdict: Verdict,
}

/// What a replica says to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Verdict {
    /// The claim holds the key at this replica.
    #[n(0)]
    Granted,
    /// Another claim holds the key at this replica.
    #[n(1)]
    Held {
        /// The holder.
        #[n(0)]
        by: ClaimId,
    },
    /// A run of the key has ended.
    #[n(2)]
    Finished(#[n(0)] RecordedOutcome),
    /// The key is known with another body.
    #[n(3)]
    KeyReused,
    /// The replica may have forgotten claims and must not vote yet.
    #[n(4)]
    Abstained {
        /// When it will vote again.
        #[cbor(n(0), with = "crate::control::codec::milliseconds")]
        votes_in: Duration,
    },
    /// The replica has another roster.
    #[n(5)]
    OtherRoster,
    /// The replica has no room for another record.
    #[n(6)]
    Full,
}

/// Gives a key back: the run under the claim has not started and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClaimRelease {
    /// The key.
    #[cbor(n(0), with = "crate::control::codec::idempotency_key")]
    pub key: IdempotencyKey,
    /// The claim given up.
    #[n(1)]
    pub claim: ClaimId,
}

/// Records how the run under a claim ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClaimFinish {
    /// The key.
    #[cbor(n(0), with = "crate::control::codec::idempotency_key")]
    pub key: IdempotencyKey,
    /// The claim under which it ran.
    #[n(1)]
    pub claim: ClaimId,
    /// Digest of method, path and body of the call.
    #[n(2)]
    pub body_digest: u64,
    /// How it ended.
    #[n(3)]
    pub outcome: RecordedOutcome,
}

/// Confirms a [`ClaimRelease`] or a [`ClaimFinish`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClaimStored {
    /// The claim that was released or finished.
    #[n(0)]
    pub claim: ClaimId,
}

/// Asks a member of the roster for the claims that the asking replica may have
/// forgotten when its process was replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RejoinRequest {
    /// The life of the asking process.
    #[cbor(n(0), with = "crate::control::codec::incarnation")]
    pub incarnation: Incarnation,
    /// The asking replica's roster.
    #[n(1)]
    pub roster: RosterVersion,
    /// Only keys from here on are wanted.
    #[cbor(n(2), with = "crate::control::codec::idempotency_key")]
    pub from_key: IdempotencyKey,
    /// Whether every claim that counted a vote of an earlier process has its
    /// majority or no chance of one. Before that only records that were handed
    /// over are wanted.
    #[n(3)]
    pub settled: bool,
}

/// A claim that a replica tells a rejoining one about.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KnownClaim {
    /// The key.
    #[cbor(n(0), with = "crate::control::codec::idempotency_key")]
    pub key: IdempotencyKey,
    /// The holder.
    #[n(1)]
    pub claim: ClaimId,
    /// Digest of method, path and body of the call.
    #[n(2)]
    pub body_digest: u64,
    /// How the run ended, if it is known to have.
    #[n(3)]
    pub outcome: Option<RecordedOutcome>,
}

/// A part of the claims asked for with a [`RejoinRequest`], in order of keys.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RejoinPage {
    /// The life of the process that asked.
    #[cbor(n(0), with = "crate::control::codec::incarnation")]
    pub incarnation: Incarnation,
    /// The answering replica's roster.
    #[n(1)]
    pub roster: RosterVersion,
    /// The `from_key` asked for.
    #[cbor(n(2), with = "crate::control::codec::idempotency_key")]
    pub from_key: IdempotencyKey,
    /// Claims on keys that both replicas store.
    #[n(3)]
    pub claims: Vec<KnownClaim>,
    /// Where the next page begins; none if this one is the last.
    #[n(4)]
    pub next: Option<NextPage>,
    /// The request's `settled`.
    #[n(5)]
    pub settled: bool,
    /// The claims are all of those that the stopped process handed over.
    #[n(6)]
    pub handed_over: bool,
}

/// A replica that stops wants to hand its records over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HandoverBegin {
    /// The life of the stopping process.
    #[cbor(n(0), with = "crate::control::codec::incarnation")]
    pub incarnation: Incarnation,
    /// Its roster; only a process with the same may take the records over.
    #[n(1)]
    pub roster: RosterVersion,
}

/// The receiver of a [`HandoverBegin`] keeps what comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HandoverReady {
    /// The life of the stopping process.
    #[cbor(n(0), with = "crate::control::codec::incarnation")]
    pub incarnation: Incarnation,
}

/// A part of the records of a stopping replica.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HandoverPage {
    /// The life of the stopping process.
    #[cbor(n(0), with = "crate::control::codec::incarnation")]
    pub incarnation: Incarnation,
    /// Where the page begins.
    #[cbor(n(1), with = "crate::control::codec::idempotency_key")]
    pub from_key: IdempotencyKey,
    /// The records, in order of keys.
    #[n(2)]
    pub claims: Vec<KnownClaim>,
    /// Where the next page begins; none if this one is the last.
    #[n(3)]
    pub next: Option<NextPage>,
}

/// Confirms a [`HandoverPage`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HandoverStored {
    /// The life of the stopping process.
    #[cbor(n(0), with = "crate::control::codec::incarnation")]
    pub incarnation: Incarnation,
    /// Where the page begins.
    #[cbor(n(1), with = "crate::control::codec::idempotency_key")]
    pub from_key: IdempotencyKey,
    /// Where the next page begins.
    #[n(2)]
    pub next: Option<NextPage>,
}

/// Where the next [`RejoinPage`] begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(transparent)]
pub struct NextPage(
    #[cbor(n(0), with = "crate::control::codec::idempotency_key")] pub IdempotencyKey,
);

/// Everything nodes say to each other about claims.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ClaimMessage {
    /// To a replica.
    #[n(0)]
    Request(#[n(0)] ClaimRequest),
    /// From a replica.
    #[n(1)]
    Vote(#[n(0)] ClaimVote),
    /// To a replica.
    #[n(2)]
    Release(#[n(0)] ClaimRelease),
    /// To a replica.
    #[n(3)]
    Finish(#[n(0)] ClaimFinish),
    /// From a replica.
    #[n(4)]
    Stored(#[n(0)] ClaimStored),
    /// To a node whose roster is older.
    #[n(5)]
    Roster(#[n(0)] Roster),
    /// From a replaced replica.
    #[n(6)]
    RejoinRequest(#[n(0)] RejoinRequest),
    /// To a replaced replica.
    #[n(7)]
    RejoinPage(#[n(0)] RejoinPage),
    /// From a stopping replica.
    #[n(8)]
    HandoverBegin(#[n(0)] HandoverBegin),
    /// To a stopping replica.
    #[n(9)]
    HandoverReady(#[n(0)] HandoverReady),
    /// From a stopping replica.
    #[n(10)]
    HandoverPage(#[n(0)] HandoverPage),
    /// To a stopping replica.
    #[n(11)]
    HandoverStored(#[n(0)] HandoverStored),
}
