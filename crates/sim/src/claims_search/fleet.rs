//! The small fleet of the search: its nodes and its successive rosters.

use std::time::Duration;

use lifthollow_coordination::claims::ClaimSettings;
use lifthollow_protocol::{Roster, RosterMember};
use lifthollow_state::{IdempotencyKey, Incarnation, NodeId, ServiceName, Side, Zone};

use super::history::{NODES, ROSTER_SIZE};

/// Two runs of one key must start at least this far apart.
pub const LIFETIME: Duration = Duration::from_secs(20);
/// Start window of a claim.
pub const START_WINDOW: Duration = Duration::from_secs(1);

/// How long handed over records are kept.
const HANDOVER_VALIDITY: Duration = Duration::from_secs(5);

const FIRST_NODE: u64 = 0x0A00_0001_1F90;
const NODE_STRIDE: u64 = 1 << 16;

/// The identity of a node.
pub fn node_id(index: u8) -> NodeId {
    NodeId::from_u64(FIRST_NODE + u64::from(index) * NODE_STRIDE)
}

/// The index of a node.
pub fn node_index(node: NodeId) -> usize {
    ((node.as_u64() - FIRST_NODE) / NODE_STRIDE) as usize
}

/// The key with a number.
pub fn key(number: u8) -> IdempotencyKey {
    IdempotencyKey::from_name(&ServiceName::new("top-up"), &number.to_string())
}

/// Each node has a zone of its own; even ones are on the old side.
fn member(index: u8) -> RosterMember {
    let side = if index.is_multiple_of(2) {
        Side::Old
    } else {
        Side::New
    };
    RosterMember {
        node: node_id(index),
        side,
        zone: Zone(u16::from(index)),
    }
}

/// The members after `changes` changes, each of which replaces one member.
fn members(changes: u32) -> Vec<RosterMember> {
    let first = (changes % u32::from(NODES)) as u8;
    let mut members: Vec<RosterMember> = (0..ROSTER_SIZE)
        .map(|offset| member((first + offset) % NODES))
        .collect();
    members.sort();
    members
}

/// The roster of an epoch. Even epochs are changes in progress.
pub fn roster(epoch: u32) -> Roster {
    let changes = epoch / 2;
    let is_change = epoch.is_multiple_of(2);
    Roster {
        epoch,
        members: members(changes),
        previous: if is_change {
            members(changes - 1)
        } else {
            Vec::new()
        },
    }
}

/// The epoch of the first roster.
pub const FIRST_EPOCH: u32 = 1;

/// Settings of one process.
pub fn settings(index: u8, incarnation: Incarnation, epoch: u32, bootstrap: bool) -> ClaimSettings {
    ClaimSettings {
        node: node_id(index),
        incarnation,
        roster: roster(epoch),
        lifetime: LIFETIME,
        start_window: START_WINDOW,
        handover_validity: HANDOVER_VALIDITY,
        bootstrap,
        seed: incarnation.0 ^ u64::from(index),
    }
}
