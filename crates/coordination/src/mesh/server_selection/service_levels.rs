//! The lowest admission level of a service, derived from the reports of its servers' nodes.

use std::time::Duration;

use lifthollow_protocol::AdmissionLevel;
use lifthollow_state::Timestamp;

use super::ServerPool;
use crate::mesh::server_record::{Eligibility, ServerRecord};
use crate::mesh::server_requirements::Purpose;
use crate::mesh::server_suitability::is_failing;

/// Time for which a reported admission level is valid. After that, it decays exponentially.
const LEVEL_VALIDITY: Duration = Duration::from_millis(250);
/// Time in which an admission level that is no longer valid halves.
const LEVEL_HALF_LIFE: Duration = Duration::from_millis(300);

/// This node's knowledge of a service's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownLoad {
    /// The lowest admission level that any server of the service admits.
    pub level: AdmissionLevel,
    /// The age of the newest load report of the service's servers.
    pub age: Duration,
    /// Number of servers of the service that are ready.
    pub servers: usize,
    /// Number of these servers that are suspect or withdrawn.
    pub ineligible: usize,
}

impl ServerPool {
    /// The lowest level that any server of `service` with a recent report admits. If there is no
    /// recent report, the last one counts, decaying with its age. For calls that must succeed,
    /// servers that fail a large share of requests don't count while there are others, since
    /// their free slots are of no use.
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
        // The level of a server at its rate limit says nothing about the free slots of others.
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
        last.map_or(AdmissionLevel::OPEN, |(level, age)| decayed(*level, *age))
    }

    /// This node's knowledge of a service's load, for logs.
    pub fn known_load(&self, now: Timestamp, service: &str, purpose: Purpose) -> KnownLoad {
        let ids = self.by_service.get(service).into_iter().flatten();
        let records: Vec<&ServerRecord> = ids.filter_map(|id| self.records.get(id)).collect();
        let reports = records
            .iter()
            .map(|record| record.levels[usize::from(purpose.is_nested())].1);
        let last = reports.max().unwrap_or_default();
        let is_ineligible =
            |record: &&&ServerRecord| record.eligibility(now) != Eligibility::Eligible;
        KnownLoad {
            level: self.admission_level(now, service, purpose),
            age: now.saturating_since(last),
            servers: records.len(),
            ineligible: records.iter().filter(is_ineligible).count(),
        }
    }
}

/// The level that was reported `age` ago, after its decay.
fn decayed(level: AdmissionLevel, age: Duration) -> AdmissionLevel {
    let stale = age.saturating_sub(LEVEL_VALIDITY).as_secs_f64();
    let remaining = 0.5_f64.powf(stale / LEVEL_HALF_LIFE.as_secs_f64());
    AdmissionLevel((f64::from(level.0) * remaining) as u16)
}
