//! How suitable a server is for an attempt, by its zone, its utilization and the answers that it
//! loses.

use lifthollow_state::Timestamp;

use crate::mesh::server_record::ServerRecord;

/// Cost of a server in another zone, as utilization, for when no server in the own zone has spare
/// slots. It is about the ratio of the time that a message between zones takes to that of a run.
const OTHER_ZONE_COST: f64 = 0.1;
/// Cost of losses (see [`LOSS_PENALTY`]) from which on a server is not preferred for
/// being in the own zone.
const MAX_PREFERRED_LOSS_COST: f64 = 0.30;
/// Number of slots that must be free at a preferred server, as a multiple of the square
/// root of all its slots. The number of requests varies by about that much, so that hardly
/// any request has to wait.
const SPARE_SLOTS: f64 = 1.0;
/// Cost, as utilization, of a server that loses all answers; a smaller share costs
/// proportionally less. Requests go to other servers as long as those have free slots.
const LOSS_PENALTY: f64 = 3.0;
/// Like [`LOSS_PENALTY`], for requests that can't be retried.
const LOSS_PENALTY_WITHOUT_RETRY: f64 = 10.0;
/// Cost, as utilization, of a server that is still warming up.
const WARM_UP_PENALTY: f64 = 0.25;
/// Share of losses or failures from which on a server gets nested calls that can't be
/// retried only if all other servers are as bad: of the calls that a run makes one
/// after the other, one would most likely fail, and all work done for the request would be
/// lost. It equals the share at which the server's own node refuses requests.
const FAILING_SHARE: f64 = 0.15;

/// Suitability of a server for an attempt.
pub(super) struct Suitability {
    /// Whether the server is in the own zone, has spare slots, is warmed up and loses few answers.
    pub(super) is_preferred: bool,
    /// The server's utilization plus penalties; servers with a lower cost are preferred.
    pub(super) cost: f64,
}

impl Suitability {
    /// Rates the server for an attempt sent from `own_zone`. `may_retry` states whether the
    /// request can be retried if its answer is lost.
    pub(super) fn of(
        now: Timestamp,
        record: &ServerRecord,
        own_zone: &str,
        may_retry: bool,
    ) -> Self {
        let penalty = if may_retry {
            LOSS_PENALTY
        } else {
            LOSS_PENALTY_WITHOUT_RETRY
        };
        let is_in_own_zone = record.instance.zone == own_zone;
        let is_warming_up = now < record.warm_up_ends;
        let utilization = record.utilization(now);
        let loss_cost = record.losses(now) * penalty;
        let has_spare_slots = utilization < max_utilization_with_spare_slots(record.limit());
        let mut cost = utilization + loss_cost;
        if is_warming_up {
            cost += WARM_UP_PENALTY;
        }
        if !is_in_own_zone {
            cost += OTHER_ZONE_COST;
        }
        Suitability {
            is_preferred: is_in_own_zone
                && has_spare_slots
                && !is_warming_up
                && loss_cost < MAX_PREFERRED_LOSS_COST,
            cost,
        }
    }
}

/// Whether the server fails so many requests that a run whose calls went there would most likely
/// fail.
pub(super) fn is_failing(now: Timestamp, record: &ServerRecord) -> bool {
    record.losses(now) >= FAILING_SHARE
}

/// The utilization below which a server with `limit` slots has enough spare slots.
fn max_utilization_with_spare_slots(limit: u32) -> f64 {
    1.0 - SPARE_SLOTS / f64::from(limit).sqrt()
}
