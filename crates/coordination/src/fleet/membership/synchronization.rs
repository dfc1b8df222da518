//! Compares all members with another node by digests, to repair what single updates
//! missed.

use std::time::Duration;

use lifthollow_protocol::control::{
    BucketDigests, DATAGRAM_HEADER_BYTES, FleetBody, MAX_DATAGRAM_BYTES, MemberRecord,
    encoded_length,
};
use lifthollow_state::{NodeId, Timestamp};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::member_table::{BUCKETS, MemberTable};
use crate::fleet::outbox::Outbox;
use crate::fleet::token_bucket::TokenBucket;

/// Number of consecutive messages with a different digest before members are
/// compared: while updates are spreading, digests differ for a while anyway.
const DIFFERING_DIGESTS_REQUIRED: u32 = 6;
/// Time between two comparisons, unless the last one brought many new records.
const INTERVAL: Duration = Duration::from_secs(5);
/// Time between two comparisons while many records are missing.
const INTERVAL_WHILE_BEHIND: Duration = Duration::from_secs(1);
/// Number of new records in one comparison from which on further records are assumed
/// to be missing.
const BEHIND_THRESHOLD: usize = 20;
/// Maximum number of datagrams that answer one comparison.
const DATAGRAMS_PER_ANSWER: u32 = 3;
/// Long-term limit on the datagrams per second that a node sends in answers.
const DATAGRAMS_PER_SECOND: u32 = 6;
/// Maximum number of datagrams that a node may send at once in answers after an idle
/// time.
const DATAGRAM_BURST: u32 = 12;
/// Bytes reserved in a datagram for the envelope, the header and the list of buckets.
const ENVELOPE_BYTES: usize = 128;
const MAX_RECORD_BYTES: usize = MAX_DATAGRAM_BYTES - DATAGRAM_HEADER_BYTES - ENVELOPE_BYTES;

/// Schedule of the comparisons that this node starts, and budget of the answers that
/// it sends.
#[derive(Debug)]
pub struct Synchronization {
    next: Timestamp,
    differing_digests: u32,
    applied_since_request: usize,
    budget: TokenBucket,
}

impl Synchronization {
    /// Starts in a state in which the first comparison may begin immediately.
    pub fn new() -> Self {
        Synchronization {
            next: Timestamp::ZERO,
            differing_digests: DIFFERING_DIGESTS_REQUIRED,
            applied_since_request: 0,
            budget: TokenBucket::new(DATAGRAMS_PER_SECOND, DATAGRAM_BURST),
        }
    }

    /// Allows a comparison with the next node whose digest differs, because many
    /// updates may have been missed.
    pub fn expedite(&mut self, now: Timestamp) {
        self.differing_digests = DIFFERING_DIGESTS_REQUIRED;
        self.next = self.next.min(now);
    }

    /// Handles the digest `theirs` of all members in a message from `peer`: requests
    /// the differing members if enough consecutive digests differed.
    pub fn handle_digest(
        &mut self,
        now: Timestamp,
        peer: NodeId,
        theirs: u64,
        members: &MemberTable,
        outbox: &mut Outbox,
    ) {
        if theirs == members.digest() {
            self.differing_digests = 0;
            return;
        }
        self.differing_digests += 1;
        if self.differing_digests < DIFFERING_DIGESTS_REQUIRED || now < self.next {
            return;
        }
        self.next = now + INTERVAL;
        self.applied_since_request = 0;
        let digests = members.bucket_digests();
        outbox.send(peer, FleetBody::MemberDigests { digests });
    }

    /// Counts the `records` of an answer that were new here. If they are many, more
    /// are missing and the next comparison comes sooner.
    pub fn count_applied(&mut self, now: Timestamp, records: usize) {
        self.applied_since_request += records;
        if self.applied_since_request >= BEHIND_THRESHOLD {
            self.next = self.next.min(now + INTERVAL_WHILE_BEHIND);
        }
    }

    /// Answers a request of `peer` with the members of the buckets that differ.
    pub fn answer_request(
        &mut self,
        now: Timestamp,
        peer: NodeId,
        digests: &BucketDigests,
        members: &MemberTable,
        random: &mut ChaCha8Rng,
        outbox: &mut Outbox,
    ) {
        let mut buckets = members.differing_buckets(digests);
        if buckets.is_empty() {
            return;
        }
        let first = random.random_range(0..buckets.len());
        buckets.rotate_left(first);
        let granted = self.budget.take(now, DATAGRAMS_PER_ANSWER);
        for answer in answers(&buckets, first, members).take(granted as usize) {
            outbox.send(peer, answer);
        }
    }
}

/// Builds answers with the members of `buckets`, each within a datagram. A bucket
/// that exceeds a datagram starts at a member that depends on `first`.
fn answers<'a>(
    buckets: &'a [usize],
    first: usize,
    members: &'a MemberTable,
) -> impl Iterator<Item = FleetBody> + 'a {
    let mut remaining = buckets.iter().copied().peekable();
    std::iter::from_fn(move || {
        remaining.peek()?;
        let mut complete = Vec::new();
        let mut records: Vec<MemberRecord> = Vec::new();
        let mut bytes = 0;
        while let Some(bucket) = remaining.peek().copied() {
            let found: Vec<MemberRecord> = members
                .in_bucket(bucket)
                .map(|member| member.record.clone())
                .collect();
            let added = encoded_length(&found);
            if bytes + added > MAX_RECORD_BYTES && !complete.is_empty() {
                break;
            }
            remaining.next();
            if bytes + added > MAX_RECORD_BYTES {
                records = truncated(found, first);
                break;
            }
            bytes += added;
            complete.push(bucket as u16);
            records.extend(found);
        }
        Some(FleetBody::MemberBuckets {
            complete,
            members: records,
        })
    })
}

/// As many records of a bucket that exceeds a datagram as fit into one. The others
/// follow in later answers, which start at another record.
fn truncated(mut records: Vec<MemberRecord>, first: usize) -> Vec<MemberRecord> {
    let start = first % records.len().max(1);
    records.rotate_left(start);
    let mut bytes = 0;
    let fits = |record: &MemberRecord| {
        bytes += encoded_length(record);
        bytes <= MAX_RECORD_BYTES
    };
    records.into_iter().take_while(fits).collect()
}

/// Records that another node lacks or knows an older version of, as many as fit into
/// one datagram. Only the buckets that it sent completely are compared.
pub fn unknown_to_peer(
    complete: &[u16],
    theirs: &[MemberRecord],
    members: &MemberTable,
) -> Vec<MemberRecord> {
    let mut bytes = 0;
    let mut fits = |record: &MemberRecord| {
        bytes += encoded_length(record);
        bytes <= MAX_RECORD_BYTES
    };
    let newer_than_theirs = |ours: &MemberRecord| {
        let known = theirs.iter().find(|record| record.node == ours.node);
        known.is_none_or(|record| ours.supersedes(record))
    };
    complete
        .iter()
        .map(|bucket| usize::from(*bucket))
        .filter(|bucket| *bucket < BUCKETS)
        .flat_map(|bucket| members.in_bucket(bucket))
        .filter(|member| newer_than_theirs(&member.record))
        .map(|member| member.record.clone())
        .take_while(|record| fits(record))
        .collect()
}
