//! Which server of a service gets an attempt.
//!
//! Every node sees only its own requests and what servers' nodes say with their
//! answers. The least utilized server is taken; the own zone is preferred while
//! its servers are not much busier than others. Servers that stay silent or
//! can't be reached are set aside and tried again after a while.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{InstanceId, ServerInstance};
use rand::{Rng, RngExt};

use crate::latency::LatencyEstimate;
use crate::mesh::admission_queue::Occupancy;

/// How much busier a server of the own zone may be and still be preferred.
const OWN_ZONE_PREFERENCE: f64 = 0.30;
/// Above this utilization nothing is preferred but room.
const BUSY_UTILIZATION: f64 = 0.75;
/// Random part of the comparison, so that nodes that know the same don't all
/// choose the same server.
const JITTER: f64 = 0.05;
/// A load report loses half its weight in this time.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);
/// A server that just failed is set aside this long; doubled with each failure.
const FIRST_EJECTION: Duration = Duration::from_millis(250);
/// The longest time a server is set aside.
const MAX_EJECTION: Duration = Duration::from_secs(2);
/// Utilization added to a server that is still warming up.
const WARM_UP_PENALTY: f64 = 0.25;
/// Without samples an answer is expected within this time.
const ASSUMED_LATENCY: Duration = Duration::from_millis(200);
/// A server is not called silent before this time.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// What this node knows of one server.
#[derive(Clone, Debug)]
struct ServerRecord {
    instance: ServerInstance,
    warm_until: Timestamp,
    in_flight: u32,
    report: Occupancy,
    own_at_report: u32,
    reported: Timestamp,
    heard: Timestamp,
    failures: u32,
    ejected_until: Timestamp,
    latency: LatencyEstimate,
}

/// The servers of all services.
#[derive(Clone, Debug, Default)]
pub struct ServerPool {
    own_zone: String,
    records: HashMap<InstanceId, ServerRecord>,
    by_service: HashMap<String, Vec<InstanceId>>,
}

impl ServerPool {
    /// A pool as seen from `own_zone`, without servers.
    pub fn new(own_zone: &str) -> Self {
        ServerPool {
            own_zone: own_zone.to_owned(),
            ..ServerPool::default()
        }
    }

    /// Sets the servers that may get attempts.
    pub fn set_servers(
        &mut self,
        now: Timestamp,
        servers: impl IntoIterator<Item = ServerInstance>,
    ) {
        let mut present = HashSet::new();
        self.by_service.clear();
        for instance in servers {
            present.insert(instance.id.clone());
            if instance.is_ready() {
                self.by_service
                    .entry(instance.service.clone())
                    .or_default()
                    .push(instance.id.clone());
            }
            match self.records.get_mut(&instance.id) {
                Some(record) => record.instance = instance,
                None => {
                    let record = ServerRecord::new(now, instance);
                    self.records.insert(record.instance.id.clone(), record);
                }
            }
        }
        self.records
            .retain(|id, record| present.contains(id) || record.in_flight > 0);
    }

    /// How many servers of `service` may get attempts.
    pub fn count(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// The server that should get the next attempt for `service`, none of
    /// `excluded`. A server that is set aside is taken only if no other is left.
    pub fn choose(
        &self,
        now: Timestamp,
        service: &str,
        excluded: &[InstanceId],
        random: &mut impl Rng,
    ) -> Option<ServerInstance> {
        let candidates = self.by_service.get(service)?;
        let allowed = candidates.iter().filter(|id| !excluded.contains(id));
        let best = allowed
            .filter_map(|id| self.records.get(id))
            .map(|record| {
                let set_aside = record.is_set_aside(now);
                let jitter = random.random::<f64>() * JITTER;
                (set_aside, self.cost(now, record) + jitter, record)
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))?;
        Some(best.2.instance.clone())
    }

    /// An attempt was sent.
    pub fn sent(&mut self, id: &InstanceId) {
        if let Some(record) = self.records.get_mut(id) {
            record.in_flight += 1;
        }
    }

    /// An attempt is over, however it ended.
    pub fn ended(&mut self, id: &InstanceId) {
        if let Some(record) = self.records.get_mut(id) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// The server's node answered; `latency` is that of a run.
    pub fn heard(
        &mut self,
        now: Timestamp,
        id: &InstanceId,
        load: Option<Occupancy>,
        latency: Option<Duration>,
    ) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.heard = now;
        record.failures = 0;
        record.ejected_until = now;
        if let Some(load) = load {
            record.note_report(now, load);
        }
        if let Some(latency) = latency {
            record.latency.observe(now, latency);
        }
    }

    /// The server's node told its load without an answer of the server.
    pub fn reported(&mut self, now: Timestamp, id: &InstanceId, load: Occupancy) {
        if let Some(record) = self.records.get_mut(id) {
            record.note_report(now, load);
        }
    }

    /// The server or its node could not be reached, or an answer was lost.
    /// Says for how long the server is set aside.
    pub fn failed(&mut self, now: Timestamp, id: &InstanceId) -> Duration {
        let Some(record) = self.records.get_mut(id) else {
            return Duration::ZERO;
        };
        let doublings = record.failures.min(8);
        let ejection = FIRST_EJECTION
            .saturating_mul(1 << doublings)
            .min(MAX_EJECTION);
        record.failures += 1;
        record.ejected_until = now + ejection;
        ejection
    }

    /// Whether a server that was sent an attempt at `sent` has been silent for
    /// so long that it should be tried elsewhere: it has answered nothing since,
    /// although that is longer than an answer takes.
    pub fn is_silent(&self, now: Timestamp, id: &InstanceId, sent: Timestamp) -> bool {
        let Some(record) = self.records.get(id) else {
            return true;
        };
        record.heard < sent && now.saturating_since(sent) >= self.silence(id)
    }

    /// How long a server may stay silent before it is tried elsewhere.
    pub fn silence(&self, id: &InstanceId) -> Duration {
        let expected = match self.records.get(id) {
            Some(record) if record.latency.is_known() => record.latency.high(),
            _ => ASSUMED_LATENCY,
        };
        (expected * 2).max(MIN_SILENCE)
    }

    /// The estimated utilization of the least utilized server of `service`; none
    /// without servers.
    pub fn lowest_utilization(&self, now: Timestamp, service: &str) -> Option<f64> {
        let ids = self.by_service.get(service)?;
        let records = ids.iter().filter_map(|id| self.records.get(id));
        records
            .map(|record| record.utilization(now))
            .min_by(f64::total_cmp)
    }

    fn cost(&self, now: Timestamp, record: &ServerRecord) -> f64 {
        let mut cost = record.utilization(now);
        if now < record.warm_until {
            cost += WARM_UP_PENALTY;
        }
        let is_near = record.instance.zone == self.own_zone;
        if is_near && cost < BUSY_UTILIZATION {
            cost -= OWN_ZONE_PREFERENCE;
        }
        cost
    }
}

impl ServerRecord {
    fn new(now: Timestamp, instance: ServerInstance) -> Self {
        ServerRecord {
            warm_until: now + instance.warm_up,
            instance,
            in_flight: 0,
            report: Occupancy::default(),
            own_at_report: 0,
            reported: Timestamp::ZERO,
            heard: Timestamp::ZERO,
            failures: 0,
            ejected_until: Timestamp::ZERO,
            latency: LatencyEstimate::default(),
        }
    }

    fn note_report(&mut self, now: Timestamp, load: Occupancy) {
        self.report = load;
        self.reported = now;
        self.own_at_report = self.in_flight;
    }

    fn is_set_aside(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Own requests, which are known, and those of others as last reported.
    fn utilization(&self, now: Timestamp) -> f64 {
        let limit = self.report.limit.max(self.instance.slots).max(1);
        let reported = self.report.running + self.report.waiting;
        let others = reported.saturating_sub(self.own_at_report);
        let age = now.saturating_since(self.reported).as_secs_f64();
        let half_lives = age / REPORT_HALF_LIFE.as_secs_f64();
        let others = f64::from(others) * 0.5_f64.powf(half_lives);
        (f64::from(self.in_flight) + others) / f64::from(limit)
    }
}
