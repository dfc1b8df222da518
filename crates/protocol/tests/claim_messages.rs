//! Tests that claim messages are unchanged by encoding and decoding, fit into a datagram and give
//! an error when damaged.

use lifthollow_protocol::{
    ClaimFinish, ClaimId, ClaimMessage, ClaimRequest, ClaimVote, ControlMessage, KnownClaim,
    NextPage, RecordedAnswer, RecordedHeader, RecordedOutcome, RejoinPage, RosterVersion, Verdict,
};
use lifthollow_state::{IdempotencyKey, Incarnation, NodeId};
use quickcheck::{Gen, QuickCheck};

const CBOR_BYTES_OF_16: u8 = 0x50;
const CBOR_BYTES_OF_15: u8 = 0x4F;

fn claim_id(number: u64) -> ClaimId {
    ClaimId {
        node: NodeId::from_u64(number >> 16),
        incarnation: Incarnation(number),
        sequence: number,
    }
}

fn largest_answer() -> RecordedAnswer {
    let header = RecordedHeader {
        name: "content-type".to_owned(),
        value: b"application/json".to_vec(),
    };
    RecordedAnswer {
        status: 200,
        headers: vec![header],
        body: vec![b'x'; RecordedAnswer::MAX_BYTES - 28],
    }
}

fn finish(number: u64) -> ClaimMessage {
    ClaimMessage::Finish(ClaimFinish {
        key: IdempotencyKey(u128::MAX - u128::from(number)),
        claim: claim_id(number),
        body_digest: number,
        outcome: RecordedOutcome::Completed(largest_answer()),
    })
}

fn page(number: u64) -> ClaimMessage {
    let known = KnownClaim {
        key: IdempotencyKey(u128::MAX),
        claim: claim_id(number),
        body_digest: number,
        outcome: Some(RecordedOutcome::Completed(largest_answer())),
    };
    ClaimMessage::RejoinPage(RejoinPage {
        incarnation: Incarnation(number),
        roster: RosterVersion {
            epoch: u32::MAX,
            digest: number,
        },
        from_key: IdempotencyKey(u128::MAX),
        claims: vec![known],
        next: Some(NextPage(IdempotencyKey(u128::MAX))),
        settled: true,
        handed_over: true,
    })
}

fn request(number: u64) -> ClaimMessage {
    ClaimMessage::Request(ClaimRequest {
        key: IdempotencyKey(u128::from(number)),
        claim: claim_id(number),
        body_digest: number,
        roster: RosterVersion {
            epoch: number as u32,
            digest: number,
        },
    })
}

fn vote(number: u64) -> ClaimMessage {
    ClaimMessage::Vote(ClaimVote {
        key: IdempotencyKey(u128::from(number)),
        claim: claim_id(number),
        roster: RosterVersion::default(),
        verdict: Verdict::Held {
            by: claim_id(!number),
        },
    })
}

fn round_trips(message: ClaimMessage) -> bool {
    let message = ControlMessage::Claim(message);
    let bytes = message.encode().unwrap();
    let truncated = &bytes[..bytes.len() - 1];
    let is_same = ControlMessage::decode(&bytes) == Ok(message);
    is_same && ControlMessage::decode(truncated).is_err()
}

fn all_round_trip(number: u64) -> bool {
    [finish, page, request, vote]
        .iter()
        .all(|message| round_trips(message(number)))
}

#[test]
fn messages_round_trip_and_truncated_ones_are_errors() {
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(100, 1))
        .quickcheck(all_round_trip as fn(u64) -> bool);
}

#[test]
fn the_largest_messages_fit_into_a_datagram() {
    assert!(round_trips(finish(u64::MAX)));
    assert!(round_trips(page(u64::MAX)));
}

#[test]
fn a_key_of_another_length_is_an_error() {
    let mut bytes = ControlMessage::Claim(request(1)).encode().unwrap();
    let key_at = bytes
        .iter()
        .position(|byte| *byte == CBOR_BYTES_OF_16)
        .unwrap();
    bytes[key_at] = CBOR_BYTES_OF_15;
    bytes.remove(key_at + 1);
    assert!(ControlMessage::decode(&bytes).is_err());
}
