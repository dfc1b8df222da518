//! Comparing all members with another node, for what single updates missed.

use std::time::Duration;

use lifthollow_protocol::control::{
    BucketDigests, DATAGRAM_HEADER_BYTES, FleetBody, MAX_DATAGRAM_BYTES, MemberRecord,
    encoded_length,
};
use lifthollow_state::{NodeId, Timestamp};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::member_table::{BUCKETS, MemberTable};
use crate::fleet::budget::Budget;
use crate::fleet::outbox::Outbox;

/// Contacts in a row that must show another digest before members are compared:
/// while news is spreading, digests differ for a while anyway.
const DIFFERING_CONTACTS: u32 = 6;
/// Between two comparisons, unless the last one brought much.
const INTERVAL: Duration = Duration::from_secs(5);
/// While much is missing.
const INTERVAL_WHILE_BEHIND: Duration = Duration::from_secs(1);
/// New records in one comparison that count as much.
const MUCH: usize = 20;
/// Datagrams that answer one comparison.
const DATAGRAMS_PER_ANSWER: u32 = 3;
/// Datagrams a second that a node sends in answers in the long run.
const DATAGRAMS_PER_SECOND: u32 = 6;
/// Datagrams that it may send at once after a quiet time.
const DATAGRAM_BURST: u32 = 12;
/// Room for the envelope, the header and the list of buckets.
const ENVELOPE_BYTES: usize = 128;
const MAX_RECORD_BYTES: usize = MAX_DATAGRAM_BYTES - DATAGRAM_HEADER_BYTES - ENVELOPE_BYTES;

/// When members are compared with whom, and how much is answered.
#[derive(Debug)]
pub struct Synchronization {
    next: Timestamp,
    differing_contacts: u32,
    applied_since_request: usize,
    budget: Budget,
}

impl Synchronization {
    /// The first comparison may begin at once.
    pub fn new() -> Self {
        Synchronization {
            next: Timestamp::ZERO,
            differing_contacts: DIFFERING_CONTACTS,
            applied_since_request: 0,
            budget: Budget::new(DATAGRAMS_PER_SECOND, DATAGRAM_BURST),
        }
    }

    /// Much may have happened unheard: the next contact that differs is enough.
    pub fn hurry(&mut self, now: Timestamp) {
        self.differing_contacts = DIFFERING_CONTACTS;
        self.next = self.next.min(now);
    }

    /// Another node shows its digest of all members: asks it for what differs,
    /// if the last contacts differed too.
    pub fn contact(
        &mut self,
        now: Timestamp,
        peer: NodeId,
        theirs: u64,
        members: &MemberTable,
        outbox: &mut Outbox,
    ) {
        if theirs == members.digest() {
            self.differing_contacts = 0;
            return;
        }
        self.differing_contacts += 1;
        if self.differing_contacts < DIFFERING_CONTACTS || now < self.next {
            return;
        }
        self.next = now + INTERVAL;
        self.applied_since_request = 0;
        let digests = members.bucket_digests();
        outbox.send(peer, FleetBody::MemberDigests { digests });
    }

    /// Records of an answer were new here: if they are many, more are missing.
    pub fn applied(&mut self, now: Timestamp, records: usize) {
        self.applied_since_request += records;
        if self.applied_since_request >= MUCH {
            self.next = self.next.min(now + INTERVAL_WHILE_BEHIND);
        }
    }

    /// Another node asks for what differs.
    pub fn answer(
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

/// Answers with the members of `buckets`, each within a datagram. Over-full
/// buckets are begun at a place that `first` decides.
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

/// As many records of an over-full bucket as fit; others follow in later
/// answers, which begin elsewhere.
fn truncated(mut records: Vec<MemberRecord>, first: usize) -> Vec<MemberRecord> {
    let middle = first % records.len().max(1);
    records.rotate_left(middle);
    let mut bytes = 0;
    let fits = |record: &MemberRecord| {
        bytes += encoded_length(record);
        bytes <= MAX_RECORD_BYTES
    };
    records.into_iter().take_while(fits).collect()
}

/// Members of the buckets that another node has listed in full and that it
/// lacks or knows an older record of, as many as fit into one datagram.
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
