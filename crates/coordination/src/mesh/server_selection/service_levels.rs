//! The lowest admission level of a service, as its servers' nodes have reported it.

use std::time::Duration;

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Timestamp;

use super::ServerPool;
use crate::mesh::server_record::{Eligibility, ServerRecord};
use crate::mesh::server_suitability::is_failing;
use crate::mesh::server_wanted::Purpose;

/// An admission level is believed this long, and halved again and again after.
const LEVEL_VALIDITY: Duration = Duration::from_millis(250);
/// How long it then takes to be halved.
const LEVEL_HALF_LIFE: Duration = Duration::from_millis(300);
/// What this node knows of a service's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownLoad {
    /// The lowest level that some server lets through.
    pub level: AdmissionLevel,
    /// The age of the newest report.
    pub age: Duration,
    /// Servers that take new work.
    pub servers: usize,
    /// Those of them that are set aside.
    pub set_aside: usize,
}

impl ServerPool {
    /// The lowest level that some server of `service` lets through, of those
    /// that reported a moment ago. Without such, what was reported last counts,
    /// less and less. For calls that must succeed, servers that fail much don't
    /// count while there are others: that they have room is no help.
    pub fn admission_level(
        &self,
        now: Timestamp,
        service: &str,
        purpose: Purpose,
    ) -> AdmissionLevel {
        let ids = self.by_service.get(service).into_iter().flatten();
        let mut records: Vec<&ServerRecord> = ids
            .filter_map(|id| self.records.get(id))
            .filter(|record| record.eligibility(now) == Eligibility::Eligible)
            .collect();
        // One that gets as many requests as it takes tells nothing of the room that others have.
        let may_get_more = |record: &&ServerRecord| record.time_until_next(now, true).is_zero();
        if records.iter().any(may_get_more) {
            records.retain(may_get_more);
        }
        if purpose.must_succeed() && records.iter().any(|record| !is_failing(now, record)) {
            records.retain(|record| !is_failing(now, record));
        }
        let levels: Vec<(AdmissionLevel, Duration)> = records
            .into_iter()
            .map(|record| record.levels[usize::from(purpose.is_nested())])
            .map(|(level, reported)| (level, now.saturating_since(reported)))
            .collect();
        let is_fresh = |(_, age): &&(AdmissionLevel, Duration)| *age <= LEVEL_VALIDITY;
        if let Some(lowest) = levels
            .iter()
            .filter(is_fresh)
            .map(|(level, _)| *level)
            .min()
        {
            return lowest;
        }
        let last = levels.iter().min_by_key(|(_, age)| *age);
        last.map_or(AdmissionLevel::OPEN, |(level, age)| faded(*level, *age))
    }

    /// What is known of a service's load, for logs.
    pub fn known_load(&self, now: Timestamp, service: &str, purpose: Purpose) -> KnownLoad {
        let ids = self.by_service.get(service).into_iter().flatten();
        let records: Vec<&ServerRecord> = ids.filter_map(|id| self.records.get(id)).collect();
        let reports = records
            .iter()
            .map(|record| record.levels[usize::from(purpose.is_nested())].1);
        let last = reports.max().unwrap_or_default();
        let is_set_aside =
            |record: &&&ServerRecord| record.eligibility(now) != Eligibility::Eligible;
        KnownLoad {
            level: self.admission_level(now, service, purpose),
            age: now.saturating_since(last),
            servers: records.len(),
            set_aside: records.iter().filter(is_set_aside).count(),
        }
    }
}

/// What is left of a level that was reported `age` ago.
fn faded(level: AdmissionLevel, age: Duration) -> AdmissionLevel {
    let stale = age.saturating_sub(LEVEL_VALIDITY).as_secs_f64();
    let kept = 0.5_f64.powf(stale / LEVEL_HALF_LIFE.as_secs_f64());
    AdmissionLevel((f64::from(level.0) * kept) as u16)
}
