//! Messages by which a node claims an idempotency key at the key's replicas before
//! it runs a call, and records how the run ended.

use std::time::Duration;

use lifthollow_state::{IdempotencyKey, Incarnation, NodeId};
use minicbor::{Decode, Encode};

use crate::roster::{Roster, RosterVersion};

/// Identifies one attempt of one process to become the holder of a key. An id is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ClaimId {
    /// The node that wants to run the call.
    #[cbor(n(0), with = "crate::control::codec::node_id")]
    pub node: NodeId,
    /// Incarnation of the node that wants to run the call.
    #[cbor(n(1), with = "crate::control::codec::incarnation")]
    pub incarnation: Incarnation,
    /// Sequence number of the claim within the process.
    #[n(2)]
    pub sequence: u64,
}

/// A header of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RecordedHeader {
    /// Name of the header in lower case.
    #[n(0)]
    pub name: String,
    /// Value of the header, unchanged.
    #[cbor(n(1), with = "minicbor::bytes")]
    pub value: Vec<u8>,
}

/// A back end's answer, recorded so that a repeat of the call receives the same answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct RecordedAnswer {
    /// HTTP status of the answer.
    #[n(0)]
    pub status: u16,
    /// Headers that describe the body.
    #[n(1)]
    pub headers: Vec<RecordedHeader>,
    /// The complete body of the answer.
    #[cbor(n(2), with = "minicbor::bytes")]
    pub body: Vec<u8>,
}

impl RecordedAnswer {
    /// Maximum size of headers and body together that is recorded, in bytes, so that
    /// a message fits into one datagram.
    pub const MAX_BYTES: usize = 1_000;

    /// Returns the size of headers and body together, in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        headers + self.body.len()
    }
}

/// Outcome of the run under a claim.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RecordedOutcome {
    /// The back end answered, and the answer is recorded.
    #[n(0)]
    Completed(#[n(0)] RecordedAnswer),
    /// The back end answered with more than [`RecordedAnswer::MAX_BYTES`], so the answer is not
    /// recorded.
    #[n(1)]
    AnswerTooLarge,
    /// The answer was lost after the run may have started.
    #[n(2)]
    AnswerLost,
}

impl RecordedOutcome {
    /// Returns the size of the recorded answer in bytes; 0 if no answer is recorded.
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
    /// The idempotency key to be claimed.
    #[cbor(n(0), with = "crate::control::codec::idempotency_key")]
    pub key: IdempotencyKey,
    /// The claim that requests the key.
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
    /// The requested idempotency key.
    #[cbor(n(0), with = "crate::control::codec::idempotency_key")]
    pub key: IdempotencyKey,
    /// The claim that requested the key.
    #[n(1)]
    pub claim: ClaimId,
    /// Version of the replica's roster.
    #[n(2)]
    pub roster: RosterVersion,
    /// The replica's decision on the claim.
    #[n(3)]
    pub verdict: Verdict,
}

/// A replica's decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Verdict {
    /// The claim holds the key at this replica.
    #[n(0)]
    Granted,
    /// Another claim holds the key at this replica.
    #[n(1)]
    Held {
        /// The claim that holds the key.
        #[n(0)]
        by: ClaimId,
    },
    /// A run under the key has ended with this outcome.
    #[n(2)]
    Finished(#[n(0)] RecordedOutcome),
    /// The key is already recorded with a different request body.
    #[n(3)]
    KeyReused,
    /// The replica may have lost records of claims and must not vote yet.
    #[n(4)]
    Abstained {
        /// Time until the replica will vote again.
        #[cbor(n(0), with = "crate::control::codec::milliseconds")]
        votes_in: Duration,
    },
    /// The replica's roster differs from that of the request.
    #[n(5)]
    OtherRoster,
    /// The replica has no capacity for another record.
    #[n(6)]
    Full,
}

/// Releases a key: the run under the claim has not started and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClaimRelease {
    /// The idempotency key to be released.
    #[cbor(n(0), with = "crate::control::codec::idempotency_key")]
    pub key: IdempotencyKey,
    /// The claim that releases the key.
    #[n(1)]
    pub claim: ClaimId,
}

/// Records how the run under a claim ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClaimFinish {
    /// The idempotency key under which the call ran.
    #[cbor(n(0), with = "crate::control::codec::idempotency_key")]
    pub key: IdempotencyKey,
    /// The claim under which the call ran.
    #[n(1)]
    pub claim: ClaimId,
    /// Digest of method, path and body of the call.
    #[n(2)]
    pub body_digest: u64,
    /// Outcome of the run.
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

/// Asks a member of the roster for the claims that the requesting replica may have
/// lost when its process was replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RejoinRequest {
    /// Incarnation of the requesting process.
    #[cbor(n(0), with = "crate::control::codec::incarnation")]
    pub incarnation: Incarnation,
    /// Version of the requesting replica's roster.
    #[n(1)]
    pub roster: RosterVersion,
    /// Smallest key to be returned; smaller keys are skipped.
    #[cbor(n(2), with = "crate::control::codec::idempotency_key")]
    pub from_key: IdempotencyKey,
    /// Whether every claim that counted a vote of an earlier process has either
    /// reached a majority or can't reach one any more. Until then only records that
    /// were handed over are requested.
    #[n(3)]
    pub settled: bool,
}

/// A claim that one replica transfers to another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KnownClaim {
    /// The claimed idempotency key.
    #[cbor(n(0), with = "crate::control::codec::idempotency_key")]
    pub key: IdempotencyKey,
    /// The claim that holds the key.
    #[n(1)]
    pub claim: ClaimId,
    /// Digest of method, path and body of the call.
    #[n(2)]
    pub body_digest: u64,
    /// Outcome of the run; none if the run is not known to have ended.
    #[n(3)]
    pub outcome: Option<RecordedOutcome>,
}

/// One page of the claims requested with a [`RejoinRequest`], in order of keys.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RejoinPage {
    /// Incarnation of the process that sent the request.
    #[cbor(n(0), with = "crate::control::codec::incarnation")]
    pub incarnation: Incarnation,
    /// Version of the answering replica's roster.
    #[n(1)]
    pub roster: RosterVersion,
    /// The `from_key` of the answered [`RejoinRequest`].
    #[cbor(n(2), with = "crate::control::codec::idempotency_key")]
    pub from_key: IdempotencyKey,
    /// Claims on the keys of which both replicas store records.
    #[n(3)]
    pub claims: Vec<KnownClaim>,
    /// Key at which the next page begins; none if this page is the last.
    #[n(4)]
    pub next: Option<NextPage>,
    /// The `settled` flag of the answered [`RejoinRequest`].
    #[n(5)]
    pub settled: bool,
    /// Whether the claims are all of those that the stopped process handed over.
    #[n(6)]
    pub handed_over: bool,
}

/// A stopping replica asks to hand its records over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HandoverBegin {
    /// Incarnation of the stopping process.
    #[cbor(n(0), with = "crate::control::codec::incarnation")]
    pub incarnation: Incarnation,
    /// Version of the stopping replica's roster; only a process with the same roster may take the
    /// records over.
    #[n(1)]
    pub roster: RosterVersion,
}

/// The receiver of a [`HandoverBegin`] is ready to store the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HandoverReady {
    /// Incarnation of the stopping process.
    #[cbor(n(0), with = "crate::control::codec::incarnation")]
    pub incarnation: Incarnation,
}

/// One page of the records of a stopping replica.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HandoverPage {
    /// Incarnation of the stopping process.
    #[cbor(n(0), with = "crate::control::codec::incarnation")]
    pub incarnation: Incarnation,
    /// Key at which the page begins.
    #[cbor(n(1), with = "crate::control::codec::idempotency_key")]
    pub from_key: IdempotencyKey,
    /// The records, in order of keys.
    #[n(2)]
    pub claims: Vec<KnownClaim>,
    /// Key at which the next page begins; none if this page is the last.
    #[n(3)]
    pub next: Option<NextPage>,
}

/// Confirms a [`HandoverPage`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HandoverStored {
    /// Incarnation of the stopping process.
    #[cbor(n(0), with = "crate::control::codec::incarnation")]
    pub incarnation: Incarnation,
    /// Key at which the confirmed page begins.
    #[cbor(n(1), with = "crate::control::codec::idempotency_key")]
    pub from_key: IdempotencyKey,
    /// Key at which the next page begins; none if the confirmed page is the last.
    #[n(2)]
    pub next: Option<NextPage>,
}

/// Key at which the next [`RejoinPage`] or [`HandoverPage`] begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(transparent)]
pub struct NextPage(
    #[cbor(n(0), with = "crate::control::codec::idempotency_key")] pub IdempotencyKey,
);

/// All messages about claims that nodes exchange.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ClaimMessage {
    /// Sent to a replica to claim a key.
    #[n(0)]
    Request(#[n(0)] ClaimRequest),
    /// Sent by a replica to answer a claim.
    #[n(1)]
    Vote(#[n(0)] ClaimVote),
    /// Sent to a replica to release a key.
    #[n(2)]
    Release(#[n(0)] ClaimRelease),
    /// Sent to a replica to record the outcome of a run.
    #[n(3)]
    Finish(#[n(0)] ClaimFinish),
    /// Sent by a replica to confirm a release or an outcome.
    #[n(4)]
    Stored(#[n(0)] ClaimStored),
    /// Sent to a node whose roster is older.
    #[n(5)]
    Roster(#[n(0)] Roster),
    /// Sent by a restarted replica to recover its records.
    #[n(6)]
    RejoinRequest(#[n(0)] RejoinRequest),
    /// Sent to a restarted replica with a page of records.
    #[n(7)]
    RejoinPage(#[n(0)] RejoinPage),
    /// Sent by a stopping replica to offer its records.
    #[n(8)]
    HandoverBegin(#[n(0)] HandoverBegin),
    /// Sent to a stopping replica to accept its records.
    #[n(9)]
    HandoverReady(#[n(0)] HandoverReady),
    /// Sent by a stopping replica with a page of records.
    #[n(10)]
    HandoverPage(#[n(0)] HandoverPage),
    /// Sent to a stopping replica to confirm a page.
    #[n(11)]
    HandoverStored(#[n(0)] HandoverStored),
}
