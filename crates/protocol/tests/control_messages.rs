//! Tests that control messages are unchanged by encoding and decoding, and that damaged datagrams
//! give an error.

use lifthollow_protocol::control::{
    BucketDigests, CONTROL_VERSION, FleetBody, FleetHeader, FleetMessage, MAX_DATAGRAM_BYTES,
    MemberRecord, MemberStatus, ProbeSequence, RowKey, TablePage, TableRequest,
};
use lifthollow_protocol::{ControlError, ControlMessage};
use lifthollow_state::{
    Incarnation, NodeId, PriorityClass, ServiceName, Side, TableRow, TableVersion, Zone,
};
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;

fn version(number: u64) -> TableVersion {
    TableVersion {
        number,
        digest: u64::MAX - number,
    }
}

fn row(service: &str) -> TableRow {
    TableRow {
        service: ServiceName::new(service),
        side: Side::New,
        weight: 70,
        max_in_flight: 12,
        max_queue: 24,
        max_connections: 110,
        class: PriorityClass::Critical,
        repeatable: true,
        deadline: Duration::from_millis(2_500),
    }
}

fn record(status: MemberStatus) -> MemberRecord {
    MemberRecord {
        node: NodeId::from_u64(0x7f00_0001_1f90),
        incarnation: Incarnation(1_764_660_000_000_000),
        status,
        side: Side::Old,
        zone: Zone(16),
        services: vec![ServiceName::new("feeds")],
    }
}

fn page() -> TablePage {
    let after = RowKey::of(&row("ads"));
    let mut page = TablePage::empty(Some(version(3)), version(5), Some(after));
    page.push_row(&row("billing"));
    page.removed.push(RowKey::of(&row("catalogue")));
    page
}

fn bodies() -> Vec<FleetBody> {
    let sequence = ProbeSequence(7);
    let updates = vec![record(MemberStatus::Alive), record(MemberStatus::Leaving)];
    let request = TableRequest {
        have: version(1),
        want: version(2),
        after: None,
    };
    vec![
        FleetBody::Ping {
            sequence,
            updates: updates.clone(),
        },
        FleetBody::Ack {
            sequence,
            updates: Vec::new(),
        },
        FleetBody::IndirectPing {
            sequence,
            target: NodeId::from_u64(9),
        },
        FleetBody::IndirectAck { sequence },
        FleetBody::Updates {
            updates: updates.clone(),
        },
        FleetBody::MemberDigests {
            digests: BucketDigests(vec![1, 2, 3].into()),
        },
        FleetBody::MemberBuckets {
            complete: vec![4, 255],
            members: updates,
        },
        FleetBody::TableRequest(request),
        FleetBody::TablePage(page()),
    ]
}

fn messages() -> Vec<ControlMessage> {
    let header = FleetHeader {
        incarnation: Incarnation(12),
        table: version(4),
        members: u64::MAX,
    };
    let message = |body| ControlMessage::Fleet(FleetMessage { header, body });
    bodies().into_iter().map(message).collect()
}

#[test]
fn every_message_round_trips() {
    for message in messages() {
        let datagram = message.encode().expect("small messages fit");
        assert_eq!(ControlMessage::decode(&datagram), Ok(message));
    }
}

#[test]
fn a_page_returns_its_rows_and_its_last_key() {
    let page = page();
    assert_eq!(page.rows().collect::<Vec<_>>(), vec![row("billing")]);
    assert_eq!(page.last_key(), Some(RowKey::of(&row("catalogue"))));
}

#[test]
fn truncated_datagrams_are_errors() {
    for message in messages() {
        let datagram = message.encode().expect("small messages fit");
        for length in 0..datagram.len() {
            let result = ControlMessage::decode(&datagram[..length]);
            assert!(result.is_err(), "{length} bytes of {message:?}");
        }
    }
}

#[test]
fn error_contains_the_unsupported_version() {
    let mut datagram = messages()[0].encode().expect("small messages fit");
    datagram[1] = CONTROL_VERSION + 1;
    let expected = ControlError::Version {
        version: CONTROL_VERSION + 1,
    };
    assert_eq!(ControlMessage::decode(&datagram), Err(expected));
}

#[test]
fn bytes_after_the_message_are_an_error() {
    let mut datagram = messages()[0].encode().expect("small messages fit");
    datagram.push(0);
    let expected = ControlError::Trailing { excess: 1 };
    assert_eq!(ControlMessage::decode(&datagram), Err(expected));
}

#[test]
fn messages_above_the_datagram_limit_are_not_encoded() {
    let message = ControlMessage::Fleet(FleetMessage {
        header: FleetHeader::default(),
        body: FleetBody::Updates {
            updates: vec![record(MemberStatus::Alive); 100],
        },
    });
    let result = message.encode();
    assert!(
        matches!(result, Err(ControlError::TooLarge { length }) if length > MAX_DATAGRAM_BYTES)
    );
}

#[test]
fn random_bytes_are_rejected_without_a_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let mut versioned = vec![0x82, CONTROL_VERSION];
        versioned.extend(&bytes);
        ControlMessage::decode(&bytes).is_err() && ControlMessage::decode(&versioned).is_err()
    }
    const SIZE: usize = 256;
    const SEED: u64 = 5;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
