//! The records of a replica about keys, limited in lifetime and memory.

use std::collections::{BTreeMap, VecDeque};

use lifthollow_protocol::{ClaimId, RecordedOutcome};
use lifthollow_state::{IdempotencyKey, Timestamp};

/// Maximum memory used by the records of one replica, in bytes.
pub const MAX_RECORD_BYTES: usize = 12 * 1024 * 1024;

/// Memory used by one record without its recorded answer, in bytes: the entry of the
/// map, whose nodes are usually two thirds full, and the entry of the expiry queue.
pub const RECORD_OVERHEAD_BYTES: usize =
    (size_of::<IdempotencyKey>() + size_of::<Record>()) * 3 / 2 + size_of::<Expiry>();

/// State of a key at a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// The holder may be running the call.
    Claimed,
    /// The record was read from another replica after this one was replaced. Another
    /// claim may hold the key too, so no claim is granted the key.
    Recovered,
    /// The holder released the key without running the call.
    Released,
    /// The run under the holder's claim has ended with this outcome.
    Finished(RecordedOutcome),
}

/// The record of one key at a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The claim that holds or held the key.
    pub holder: ClaimId,
    /// Digest of method, path and body of the call.
    pub body_digest: u64,
    /// The state of the key.
    pub state: RecordState,
    /// When the record expires.
    pub expires_at: Timestamp,
}

impl Record {
    /// The outcome of the run, if it has ended.
    pub fn outcome(&self) -> Option<&RecordedOutcome> {
        match &self.state {
            RecordState::Finished(outcome) => Some(outcome),
            _ => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Expiry {
    at: Timestamp,
    key: IdempotencyKey,
}

/// Error: another record would exceed [`MAX_RECORD_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the claim records have reached their memory limit")]
pub struct StoreFull;

/// The records of one replica.
#[derive(Debug, Default)]
pub struct RecordStore {
    records: BTreeMap<IdempotencyKey, Record>,
    expiries: VecDeque<Expiry>,
    answer_bytes: usize,
}

impl RecordStore {
    /// The record of a key.
    pub fn get(&self, key: IdempotencyKey) -> Option<&Record> {
        self.records.get(&key)
    }

    /// All records whose keys are `from_key` or greater, in order of keys.
    pub fn from(
        &self,
        from_key: IdempotencyKey,
    ) -> impl Iterator<Item = (IdempotencyKey, &Record)> {
        self.records
            .range(from_key..)
            .map(|(key, record)| (*key, record))
    }

    /// Adds or replaces the record of a key. A record that has not expired is
    /// never dropped to make room.
    pub fn put(&mut self, key: IdempotencyKey, record: Record) -> Result<(), StoreFull> {
        let replaced = self.records.get(&key).map_or(0, record_bytes);
        if self.bytes() - replaced + record_bytes(&record) > MAX_RECORD_BYTES {
            return Err(StoreFull);
        }
        self.expiries.push_back(Expiry {
            at: record.expires_at,
            key,
        });
        self.answer_bytes += answer_bytes(&record);
        if let Some(replaced) = self.records.insert(key, record) {
            self.answer_bytes -= answer_bytes(&replaced);
        }
        Ok(())
    }

    /// Deletes expired records. All records are kept equally long, so the queue of
    /// expiries is in order of time.
    pub fn expire(&mut self, now: Timestamp) {
        while self.expiries.front().is_some_and(|expiry| expiry.at <= now) {
            if let Some(expiry) = self.expiries.pop_front() {
                self.delete_if_expired(now, expiry.key);
            }
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Estimated memory used by the records, in bytes.
    pub fn bytes(&self) -> usize {
        self.records.len() * RECORD_OVERHEAD_BYTES + self.answer_bytes
    }

    fn delete_if_expired(&mut self, now: Timestamp, key: IdempotencyKey) {
        let is_expired = |record: &Record| record.expires_at <= now;
        if !self.records.get(&key).is_some_and(is_expired) {
            return;
        }
        if let Some(record) = self.records.remove(&key) {
            self.answer_bytes -= answer_bytes(&record);
        }
    }
}

fn answer_bytes(record: &Record) -> usize {
    record.outcome().map_or(0, RecordedOutcome::size)
}

fn record_bytes(record: &Record) -> usize {
    RECORD_OVERHEAD_BYTES + answer_bytes(record)
}
