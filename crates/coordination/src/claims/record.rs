//! What a replica remembers of keys, bounded in time and in bytes.

use std::collections::{BTreeMap, VecDeque};

use lifthollow_protocol::{ClaimId, RecordedOutcome};
use lifthollow_state::{IdempotencyKey, Timestamp};

/// Upper bound of the memory that the records of one replica take, in bytes.
pub const MAX_RECORD_BYTES: usize = 12 * 1024 * 1024;

/// Memory of one record without its recorded answer, in bytes: the entry of the
/// map at its usual fill of two thirds, and the entry of the expiry queue.
pub const RECORD_OVERHEAD_BYTES: usize =
    (size_of::<IdempotencyKey>() + size_of::<Record>()) * 3 / 2 + size_of::<Expiry>();

/// Where a key stands at a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// The holder may be running the call.
    Claimed,
    /// Learned from another replica after this one was replaced. Whether the
    /// holder is the only one is not known, so nobody is granted the key.
    Recovered,
    /// The holder gave the key back without running the call.
    Released,
    /// A run ended.
    Finished(RecordedOutcome),
}

/// One key at a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The claim that holds or held the key.
    pub holder: ClaimId,
    /// Digest of method, path and body of the call.
    pub body_digest: u64,
    /// Where the key stands.
    pub state: RecordState,
    /// When the record is forgotten.
    pub expires_at: Timestamp,
}

impl Record {
    /// How the run ended, if it did.
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

/// The store has reached [`MAX_RECORD_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the store of claims is full")]
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

    /// All records with keys from `from_key` on, in order of keys.
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

    /// Forgets records whose time has come. All records are kept equally long,
    /// so the expiries are in order of time.
    pub fn expire(&mut self, now: Timestamp) {
        while self.expiries.front().is_some_and(|expiry| expiry.at <= now) {
            if let Some(expiry) = self.expiries.pop_front() {
                self.forget_expired(now, expiry.key);
            }
        }
    }

    /// Count of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Estimate of the memory used.
    pub fn bytes(&self) -> usize {
        self.records.len() * RECORD_OVERHEAD_BYTES + self.answer_bytes
    }

    fn forget_expired(&mut self, now: Timestamp, key: IdempotencyKey) {
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
