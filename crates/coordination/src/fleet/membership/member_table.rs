//! The table of all known members, with digests that two nodes can compare.

use std::collections::{BTreeMap, BTreeSet};
use std::mem::size_of;

use lifthollow_protocol::control::{BucketDigests, MemberRecord, MemberStatus};
use lifthollow_state::{NodeId, ServiceName, Timestamp, Zone};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

use super::member::{Member, record_digest};

/// Number of buckets in which members are compared: about 14 members each in a fleet
/// of full size.
pub const BUCKETS: usize = 256;
const BUCKET_DIGEST_BYTES: usize = 3;

/// Result of merging a received record into the member table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Merge {
    /// The table already contains the same record.
    Known,
    /// The received record is older than the known one.
    Older,
    /// The record says that a member is removed which was not known here.
    Ignored,
    /// The record was stored; holds the record that it replaced, if any.
    Applied(Option<MemberRecord>),
}

/// Members indexed by node, by zone and by bucket.
#[derive(Clone, Debug)]
pub struct MemberTable {
    /// All members in the order in which they became known, except that a removal
    /// moves the last one into the gap.
    members: Vec<Member>,
    /// Index of each member in `members`. The map is never iterated, so its
    /// unspecified order has no effect.
    indexes: FxHashMap<NodeId, usize>,
    by_zone: BTreeMap<Zone, Vec<NodeId>>,
    by_bucket: Vec<Vec<NodeId>>,
    digests: Vec<u64>,
    digest: u64,
    service_names: BTreeSet<ServiceName>,
}

impl MemberTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        MemberTable {
            members: Vec::new(),
            indexes: FxHashMap::default(),
            by_zone: BTreeMap::new(),
            by_bucket: vec![Vec::new(); BUCKETS],
            digests: vec![0; BUCKETS],
            digest: 0,
            service_names: BTreeSet::new(),
        }
    }

    /// The member with this node id, if it is known.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.indexes.get(&node).map(|index| &self.members[*index])
    }

    /// The member with this node id, for changes to fields other than its record,
    /// which the digests cover.
    pub fn get_mut(&mut self, node: NodeId) -> Option<&mut Member> {
        let index = *self.indexes.get(&node)?;
        self.members.get_mut(index)
    }

    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// Number of known members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Zones that have members.
    pub fn zones(&self) -> impl Iterator<Item = Zone> {
        self.by_zone.keys().copied()
    }

    /// Nodes of the members of a zone, in the order in which they were added to it.
    pub fn in_zone(&self, zone: Zone) -> &[NodeId] {
        self.by_zone.get(&zone).map_or(&[], Vec::as_slice)
    }

    /// Members of a bucket that nodes compare with each other.
    pub fn in_bucket(&self, bucket: usize) -> impl Iterator<Item = &Member> {
        let nodes = self.by_bucket[bucket].iter();
        let members = nodes.filter_map(|node| self.get(*node));
        members.filter(|member| record_digest(&member.record) != 0)
    }

    /// Digest of all members that nodes compare with each other.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The shortened digests of all buckets, to be sent to another node.
    pub fn bucket_digests(&self) -> BucketDigests {
        let short = |digest: &u64| digest.to_le_bytes().into_iter().take(BUCKET_DIGEST_BYTES);
        let bytes: Vec<u8> = self.digests.iter().flat_map(short).collect();
        BucketDigests(bytes.into())
    }

    /// Indexes of the buckets whose digests differ from those that another node sent.
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

    /// Stores a record if it is newer than the known one.
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
        self.update_digests(&record, u64::wrapping_add);
        let mut member = Member::new(record);
        member.not_alive_since = not_alive_since(now, &member.record, None);
        self.indexes.insert(node, self.members.len());
        self.members.push(member);
    }

    fn replace(&mut self, now: Timestamp, mut record: MemberRecord) -> Option<MemberRecord> {
        self.intern(&mut record.services);
        let member = self.get_mut(record.node)?;
        member.not_alive_since = not_alive_since(now, &record, member.not_alive_since);
        let before = std::mem::replace(&mut member.record, record.clone());
        self.update_digests(&before, u64::wrapping_sub);
        self.update_digests(&record, u64::wrapping_add);
        if before.zone != record.zone {
            self.remove_from_zone(before.zone, before.node);
            self.by_zone
                .entry(record.zone)
                .or_default()
                .push(record.node);
        }
        Some(before)
    }

    /// Deletes a member from the table and returns it.
    pub fn delete(&mut self, node: NodeId) -> Option<Member> {
        let index = self.indexes.remove(&node)?;
        let member = self.members.swap_remove(index);
        if let Some(moved) = self.members.get(index) {
            self.indexes.insert(moved.record.node, index);
        }
        self.update_digests(&member.record, u64::wrapping_sub);
        self.remove_from_zone(member.record.zone, node);
        self.by_bucket[bucket_of(node)].retain(|known| *known != node);
        Some(member)
    }

    fn remove_from_zone(&mut self, zone: Zone, node: NodeId) {
        if let Some(nodes) = self.by_zone.get_mut(&zone) {
            nodes.retain(|known| *known != node);
            if nodes.is_empty() {
                self.by_zone.remove(&zone);
            }
        }
    }

    fn update_digests(&mut self, record: &MemberRecord, change: fn(u64, u64) -> u64) {
        let digest = record_digest(record);
        let bucket = &mut self.digests[bucket_of(record.node)];
        *bucket = change(*bucket, digest);
        self.digest = change(self.digest, digest);
    }

    /// Replaces service names by equal ones that are stored already, so that equal
    /// names share their memory.
    fn intern(&mut self, services: &mut [ServiceName]) {
        for service in services {
            match self.service_names.get(service) {
                Some(known) => *service = known.clone(),
                None => drop(self.service_names.insert(service.clone())),
            }
        }
    }

    /// Estimated memory used by the table, in bytes.
    pub fn state_bytes(&self) -> usize {
        const NAME_BYTES: usize = 64;
        let member = size_of::<Member>() + size_of::<ServiceName>();
        let indexes = 2 * size_of::<NodeId>() + 2 * size_of::<(NodeId, usize)>();
        let buckets = BUCKETS * (size_of::<Vec<NodeId>>() + size_of::<u64>());
        self.members.len() * (member + indexes) + buckets + self.service_names.len() * NAME_BYTES
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
