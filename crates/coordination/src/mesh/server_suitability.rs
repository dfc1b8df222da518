//! How well a server suits an attempt: its zone, its room, what it loses.

use lifthollow_state::Timestamp;

use crate::mesh::server_record::ServerRecord;

/// What another zone counts, in utilization, when the own zone has no spare room:
/// about the time that a message between zones takes, against that of a run.
const OTHER_ZONE_COST: f64 = 0.1;
/// From this cost of losses on (see [`LOSS_PENALTY`]) a server is not preferred for
/// standing in the own zone.
const OWN_ZONE_WORTH: f64 = 0.30;
/// Slots that must be free at a preferred server, as a multiple of the square root
/// of all: arrivals vary by about that much, so that hardly any has to wait.
const SPARE_SLOTS: f64 = 1.0;
/// Utilization that a server is charged with if it loses all answers: requests go
/// to others as long as they have room.
const LOSS_PENALTY: f64 = 3.0;
/// The same for requests that can't be asked for again.
const LOSS_PENALTY_ONCE: f64 = 10.0;
/// Utilization added to a server that is still warming up.
const WARM_UP_PENALTY: f64 = 0.25;
/// From this share of losses or refusals on, a server gets nested calls that can't
/// be repeated only if all others are as bad: of the calls that a run makes one
/// after the other, one would most likely fail, and with it all work done for the
/// request. The same share at which the server's own node turns requests away.
const FAILING_SHARE: f64 = 0.15;

/// How well a server suits an attempt.
pub(super) struct Suitability {
    /// Whether it stands in the own zone and has spare room.
    pub(super) is_near_and_free: bool,
    /// Its utilization, and what else speaks against it.
    pub(super) cost: f64,
}

impl Suitability {
    /// For an attempt of a caller in `own_zone`; `may_repeat` says whether it can be
    /// asked for again if the answer is lost.
    pub(super) fn of(
        now: Timestamp,
        record: &ServerRecord,
        own_zone: &str,
        may_repeat: bool,
    ) -> Self {
        let penalty = if may_repeat {
            LOSS_PENALTY
        } else {
            LOSS_PENALTY_ONCE
        };
        let is_near = record.instance.zone == own_zone;
        let is_warming_up = now < record.warm_until;
        let utilization = record.utilization(now);
        let losses = record.losses(now) * penalty;
        let is_free = utilization < spare_room_below(record.limit());
        let mut cost = utilization + losses;
        if is_warming_up {
            cost += WARM_UP_PENALTY;
        }
        if !is_near {
            cost += OTHER_ZONE_COST;
        }
        Suitability {
            is_near_and_free: is_near && is_free && !is_warming_up && losses < OWN_ZONE_WORTH,
            cost,
        }
    }
}

/// Whether a run whose calls went to the server would most likely fail.
pub(super) fn is_failing(now: Timestamp, record: &ServerRecord) -> bool {
    record.losses(now) >= FAILING_SHARE
}

/// The utilization below which a server with `limit` slots has spare room.
fn spare_room_below(limit: u32) -> f64 {
    1.0 - SPARE_SLOTS / f64::from(limit).sqrt()
}
