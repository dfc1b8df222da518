//! Tests that the records of a replica are limited in lifetime and memory.

use std::time::Duration;

use lifthollow_coordination::claims::record::{
    MAX_RECORD_BYTES, Record, RecordState, RecordStore, StoreFull,
};
use lifthollow_protocol::{ClaimId, RecordedAnswer, RecordedOutcome};
use lifthollow_state::{IdempotencyKey, Incarnation, NodeId, Timestamp};

fn record(expires_at: Timestamp, body_bytes: usize) -> Record {
    let answer = RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![0; body_bytes],
    };
    Record {
        holder: ClaimId {
            node: NodeId::from_u64(1),
            incarnation: Incarnation(1),
            sequence: 1,
        },
        body_digest: 0,
        state: RecordState::Finished(RecordedOutcome::Completed(answer)),
        expires_at,
    }
}

#[test]
fn expired_records_are_deleted_and_their_bytes_no_longer_counted() {
    let mut store = RecordStore::default();
    for number in 0..100_u64 {
        let expires_at = Timestamp::ZERO + Duration::from_secs(number);
        let key = IdempotencyKey(u128::from(number));
        store.put(key, record(expires_at, 100)).unwrap();
    }
    let full = store.bytes();
    store.expire(Timestamp::ZERO + Duration::from_secs(49));
    assert_eq!(store.len(), 50);
    assert_eq!(store.bytes(), full / 2);
    store.expire(Timestamp::ZERO + Duration::from_secs(99));
    assert!(store.is_empty());
    assert_eq!(store.bytes(), 0);
}

#[test]
fn a_replaced_record_is_kept_until_its_replacement_expires() {
    let mut store = RecordStore::default();
    let key = IdempotencyKey(1);
    let at = |seconds| Timestamp::ZERO + Duration::from_secs(seconds);
    store.put(key, record(at(10), 5)).unwrap();
    store.put(key, record(at(20), 7)).unwrap();
    store.expire(at(10));
    assert!(store.get(key).is_some());
    store.expire(at(20));
    assert!(store.get(key).is_none());
    assert_eq!(store.bytes(), 0);
}

#[test]
fn a_full_store_rejects_new_keys_and_keeps_existing_ones() {
    let mut store = RecordStore::default();
    let expires_at = Timestamp::ZERO + Duration::from_secs(1);
    let mut number = 0;
    while store
        .put(IdempotencyKey(number), record(expires_at, 1_000))
        .is_ok()
    {
        number += 1;
    }
    assert!(store.bytes() <= MAX_RECORD_BYTES);
    let rejected = store.put(IdempotencyKey(number), record(expires_at, 1_000));
    assert_eq!(rejected, Err(StoreFull));
    assert_eq!(store.len() as u128, number);
    assert!(store.get(IdempotencyKey(0)).is_some());
}
