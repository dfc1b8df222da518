//! All members that a node knows, with digests that two nodes can compare.

use std::collections::{BTreeMap, BTreeSet};
use std::mem::size_of;

use lifthollow_protocol::control::{BucketDigests, MemberRecord, MemberStatus};
use lifthollow_state::{NodeId, ServiceName, Timestamp, Zone};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

use super::member::{Member, record_digest};

/// Buckets in which members are compared: about 14 members each at full size.
pub const BUCKETS: usize = 256;
const BUCKET_DIGEST_BYTES: usize = 3;

/// What a record that came in has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Merge {
    /// It was known already.
    Known,
    /// It is older than what is known.
    Older,
    /// It is of no use: a member that is gone and was not known here.
    Ignored,
    /// It was taken over from what was known before.
    Applied(Option<MemberRecord>),
}

/// Members by node, by zone and by bucket.
#[derive(Clone, Debug)]
pub struct MemberTable {
    /// In the order in which they became known, but for removals.
    members: Vec<Member>,
    /// Place of each member; never iterated, so its order is not seen.
    places: FxHashMap<NodeId, usize>,
    by_zone: BTreeMap<Zone, Vec<NodeId>>,
    by_bucket: Vec<Vec<NodeId>>,
    digests: Vec<u64>,
    digest: u64,
    names: BTreeSet<ServiceName>,
}

impl MemberTable {
    /// No members.
    pub fn new() -> Self {
        MemberTable {
            members: Vec::new(),
            places: FxHashMap::default(),
            by_zone: BTreeMap::new(),
            by_bucket: vec![Vec::new(); BUCKETS],
            digests: vec![0; BUCKETS],
            digest: 0,
            names: BTreeSet::new(),
        }
    }

    /// The member, if it is known.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.places.get(&node).map(|place| &self.members[*place])
    }

    /// The member for changes other than of its record.
    pub fn get_mut(&mut self, node: NodeId) -> Option<&mut Member> {
        let place = *self.places.get(&node)?;
        self.members.get_mut(place)
    }

    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// How many members are known.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Zones that have members.
    pub fn zones(&self) -> impl Iterator<Item = Zone> {
        self.by_zone.keys().copied()
    }

    /// Members of a zone, in the order in which they became known.
    pub fn in_zone(&self, zone: Zone) -> &[NodeId] {
        self.by_zone.get(&zone).map_or(&[], Vec::as_slice)
    }

    /// Members of a bucket that are compared between nodes.
    pub fn in_bucket(&self, bucket: usize) -> impl Iterator<Item = &Member> {
        let nodes = self.by_bucket[bucket].iter();
        let members = nodes.filter_map(|node| self.get(*node));
        members.filter(|member| record_digest(&member.record) != 0)
    }

    /// Digest of all members that are compared.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The digests to be sent to another node.
    pub fn bucket_digests(&self) -> BucketDigests {
        let short = |digest: &u64| digest.to_le_bytes().into_iter().take(BUCKET_DIGEST_BYTES);
        let bytes: Vec<u8> = self.digests.iter().flat_map(short).collect();
        BucketDigests(bytes.into())
    }

    /// Buckets whose digests differ from those another node sent.
    pub fn differing_buckets(&self, theirs: &BucketDigests) -> Vec<usize> {
        let ours = self.bucket_digests();
        let ours = ours.0.chunks_exact(BUCKET_DIGEST_BYTES);
        let theirs = theirs.0.chunks_exact(BUCKET_DIGEST_BYTES);
        let pairs = ours.zip(theirs).enumerate();
        pairs
            .filter(|(_, (ours, theirs))| ours != theirs)
            .map(|(bucket, _)| bucket)
            .collect()
    }

    /// Takes over a record if it is newer than what is known.
    pub fn merge(&mut self, now: Timestamp, record: MemberRecord) -> Merge {
        let Some(known) = self.get(record.node) else {
            if record.status == MemberStatus::Removed {
                return Merge::Ignored;
            }
            self.insert(now, record);
            return Merge::Applied(None);
        };
        if record.supersedes(&known.record) {
            return Merge::Applied(self.replace(now, record));
        }
        match known.record.supersedes(&record) {
            true => Merge::Older,
            false => Merge::Known,
        }
    }

    fn insert(&mut self, now: Timestamp, mut record: MemberRecord) {
        self.intern(&mut record.services);
        let node = record.node;
        self.by_zone.entry(record.zone).or_default().push(node);
        self.by_bucket[bucket_of(node)].push(node);
        self.count(&record, u64::wrapping_add);
        let mut member = Member::new(record);
        member.not_alive_since = not_alive_since(now, &member.record, None);
        self.places.insert(node, self.members.len());
        self.members.push(member);
    }

    fn replace(&mut self, now: Timestamp, mut record: MemberRecord) -> Option<MemberRecord> {
        self.intern(&mut record.services);
        let member = self.get_mut(record.node)?;
        member.not_alive_since = not_alive_since(now, &record, member.not_alive_since);
        let before = std::mem::replace(&mut member.record, record.clone());
        self.count(&before, u64::wrapping_sub);
        self.count(&record, u64::wrapping_add);
        if before.zone != record.zone {
            self.leave_zone(before.zone, before.node);
            self.by_zone
                .entry(record.zone)
                .or_default()
                .push(record.node);
        }
        Some(before)
    }

    /// Forgets a member altogether.
    pub fn forget(&mut self, node: NodeId) -> Option<Member> {
        let place = self.places.remove(&node)?;
        let member = self.members.swap_remove(place);
        if let Some(moved) = self.members.get(place) {
            self.places.insert(moved.record.node, place);
        }
        self.count(&member.record, u64::wrapping_sub);
        self.leave_zone(member.record.zone, node);
        self.by_bucket[bucket_of(node)].retain(|known| *known != node);
        Some(member)
    }

    fn leave_zone(&mut self, zone: Zone, node: NodeId) {
        if let Some(nodes) = self.by_zone.get_mut(&zone) {
            nodes.retain(|known| *known != node);
            if nodes.is_empty() {
                self.by_zone.remove(&zone);
            }
        }
    }

    fn count(&mut self, record: &MemberRecord, change: fn(u64, u64) -> u64) {
        let digest = record_digest(record);
        let bucket = &mut self.digests[bucket_of(record.node)];
        *bucket = change(*bucket, digest);
        self.digest = change(self.digest, digest);
    }

    /// Lets equal names share their memory.
    fn intern(&mut self, services: &mut [ServiceName]) {
        for service in services {
            match self.names.get(service) {
                Some(known) => *service = known.clone(),
                None => drop(self.names.insert(service.clone())),
            }
        }
    }

    /// Bytes of all members.
    pub fn state_bytes(&self) -> usize {
        const NAME_BYTES: usize = 64;
        let member = size_of::<Member>() + size_of::<ServiceName>();
        let places = 2 * size_of::<NodeId>() + 2 * size_of::<(NodeId, usize)>();
        let buckets = BUCKETS * (size_of::<Vec<NodeId>>() + size_of::<u64>());
        self.members.len() * (member + places) + buckets + self.names.len() * NAME_BYTES
    }
}

fn not_alive_since(
    now: Timestamp,
    record: &MemberRecord,
    before: Option<Timestamp>,
) -> Option<Timestamp> {
    match record.status {
        MemberStatus::Alive => None,
        MemberStatus::Suspected | MemberStatus::Leaving => before.or(Some(now)),
        MemberStatus::Removed => Some(now),
    }
}

fn bucket_of(node: NodeId) -> usize {
    xxh3_64(&node.as_u64().to_le_bytes()) as usize % BUCKETS
}
