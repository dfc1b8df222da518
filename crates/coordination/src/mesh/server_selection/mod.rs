//! Selects the server of a service that gets an attempt.
//!
//! A node knows only its own requests and what servers' nodes report with their
//! answers. The least utilized server is chosen. Servers in the own zone are preferred
//! while they have spare slots, since runs take no longer there than at less utilized servers.
//! A server that is unresponsive or unreachable is suspect until its node has answered
//! a probe, so that no request is spent on finding out whether it works again.

mod service_levels;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use lifthollow_state::Timestamp;
use lifthollow_state::mesh::{InstanceId, RequestRate, ServerInstance, ServerNotice};
use rand::{Rng, RngExt};

use crate::latency::LatencyEstimate;
use crate::mesh::reported_load::ReportedLoad;
use crate::mesh::server_record::{Eligibility, ServerRecord};
use crate::mesh::server_requirements::ServerRequirements;
use crate::mesh::server_suitability::{Suitability, is_failing};

pub use service_levels::KnownLoad;

/// Maximum random amount that is added to the cost of a server, so that nodes with the same
/// information don't all choose the same server.
const MAX_COST_JITTER: f64 = 0.05;
/// Time for which a server gets no attempts after another server has answered at its address.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(1000);
/// Share of lost answers from which on a server is not healthy.
const UNHEALTHY_LOSS_SHARE: f64 = 0.05;
/// Delay before the first probe of a suspect server; it doubles with each probe that
/// fails.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay between probes of a suspect server.
const MAX_PROBE_DELAY: Duration = Duration::from_millis(600);
/// Assumed latency of an answer while no latencies have been measured.
const ASSUMED_LATENCY: Duration = Duration::from_millis(200);
/// Minimum time without an answer after which a server counts as unresponsive.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// The result of choosing a server for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The chosen server.
    pub server: ServerInstance,
    /// Whether another server has free slots and answers its requests.
    pub has_alternative: bool,
}

/// This node's records of the servers of all services.
#[derive(Clone, Debug, Default)]
pub struct ServerPool {
    /// The zone of this node.
    own_zone: String,
    records: HashMap<InstanceId, ServerRecord>,
    /// Servers that are ready, by the name of their service.
    by_service: HashMap<String, Vec<InstanceId>>,
    /// The listen addresses of the servers that were set last.
    addresses: HashSet<SocketAddrV4>,
}

impl ServerPool {
    /// Creates a pool without servers for a node in `own_zone`.
    pub fn new(own_zone: &str) -> Self {
        ServerPool {
            own_zone: own_zone.to_owned(),
            ..ServerPool::default()
        }
    }

    /// Replaces the list of servers that may be sent attempts.
    pub fn set_servers(
        &mut self,
        now: Timestamp,
        servers: impl IntoIterator<Item = ServerInstance>,
    ) {
        let mut present = HashSet::new();
        self.by_service.clear();
        self.addresses.clear();
        for instance in servers {
            self.addresses.insert(instance.address);
            present.insert(instance.id.clone());
            if instance.is_ready() {
                self.by_service
                    .entry(instance.service.clone())
                    .or_default()
                    .push(instance.id.clone());
            }
            match self.records.get_mut(&instance.id) {
                Some(record) if record.instance == instance => {}
                Some(record) => record.replace_instance(instance),
                None => {
                    let record = ServerRecord::new(now, instance);
                    self.records.insert(record.instance.id.clone(), record);
                }
            }
        }
        self.records.retain(|id, record| {
            present.contains(id) || record.in_flight > 0 || record.must_keep_notice(now)
        });
    }

    /// Whether a server listens at `address`.
    pub fn has_address(&self, address: SocketAddrV4) -> bool {
        self.addresses.contains(&address)
    }

    /// Chooses the server for the next attempt at `service`. A suspect server is chosen only if no
    /// other is left.
    pub fn choose(
        &self,
        now: Timestamp,
        service: &str,
        requirements: ServerRequirements<'_>,
        random: &mut impl Rng,
    ) -> Option<Choice> {
        let servers = self.by_service.get(service)?;
        let allowed = servers
            .iter()
            .filter(|id| requirements.candidates.include(id));
        let usable = || {
            let records = allowed.clone().filter_map(|id| self.records.get(id));
            records.filter(|record| !record.is_withdrawn(now))
        };
        let best = usable()
            .map(|record| {
                let is_suspect = record.eligibility(now) != Eligibility::Eligible;
                let is_failing = requirements.purpose.must_succeed() && is_failing(now, record);
                let jitter = random.random::<f64>() * MAX_COST_JITTER;
                let suitability =
                    Suitability::of(now, record, &self.own_zone, requirements.may_retry);
                let wait = record.time_until_next(now, requirements.may_retry);
                let penalties = (
                    is_suspect,
                    is_failing,
                    !wait.is_zero(),
                    !suitability.is_preferred,
                );
                (
                    penalties,
                    suitability.cost + wait.as_secs_f64() + jitter,
                    record,
                )
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))?;
        let server = best.2.instance.clone();
        let has_alternative = usable()
            .filter(|record| record.instance.id != server.id)
            .any(|record| {
                let may_get_more = record
                    .time_until_next(now, requirements.may_retry)
                    .is_zero();
                may_get_more && is_healthy(now, record)
            });
        Some(Choice {
            server,
            has_alternative,
        })
    }

    /// Whether any server of `service` is ready and has not announced that it is leaving.
    pub fn has_servers(&self, service: &str) -> bool {
        let mut servers = self.by_service.get(service).into_iter().flatten();
        servers.any(|id| {
            let record = self.records.get(id);
            record.is_some_and(|record| !record.is_leaving())
        })
    }

    /// Whether a server loses so many answers that a late attempt there should be hedged at
    /// another server.
    pub fn loses_answers(&self, now: Timestamp, id: &InstanceId) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.losses(now) >= UNHEALTHY_LOSS_SHARE)
    }

    /// Records that an attempt was sent to a server.
    pub fn record_attempt_sent(&mut self, now: Timestamp, id: &InstanceId) {
        if let Some(record) = self.records.get_mut(id) {
            record.in_flight += 1;
            if let Some(pace) = &mut record.send_pace {
                pace.record_attempt(now);
            }
        }
    }

    /// Records that an attempt at a server ended, with any outcome.
    pub fn record_attempt_ended(&mut self, id: &InstanceId) {
        if let Some(record) = self.records.get_mut(id) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// Records an answer of a server's node. `latency` is the latency of the run if there was one,
    /// and whether it was a nested call.
    pub fn record_answer(
        &mut self,
        now: Timestamp,
        id: &InstanceId,
        load: Option<ReportedLoad>,
        latency: Option<(Duration, bool)>,
    ) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.answered_at = now;
        record.losses.observe(now, false);
        record.clear_suspicion(now);
        if let Some(pace) = &mut record.send_pace {
            pace.record_success();
        }
        if let Some(load) = load {
            record.record_load_report(now, load);
        }
        if let Some((latency, is_nested)) = latency {
            record.latencies[usize::from(is_nested)].observe(now, latency);
        }
    }

    /// Records a load that a server's node reported without an answer of the server.
    pub fn record_load_report(&mut self, now: Timestamp, id: &InstanceId, load: ReportedLoad) {
        if let Some(record) = self.records.get_mut(id) {
            record.record_load_report(now, load);
        }
    }

    /// Records a notice that a server sent in an answer.
    pub fn record_notice(&mut self, now: Timestamp, id: &InstanceId, notice: ServerNotice) {
        if let Some(record) = self.records.get_mut(id) {
            record.record_notice(now, notice);
        }
    }

    /// Records that a server's node refused an attempt because the server is at its rate limit.
    pub fn rate_limited(&mut self, now: Timestamp, id: &InstanceId) {
        let record = self.records.get_mut(id);
        if let Some(pace) = record.and_then(|record| record.send_pace.as_mut()) {
            pace.record_rejection(now);
        }
    }

    /// The rate limit that a server announces, if any.
    pub fn limit_of(&self, id: &InstanceId) -> Option<RequestRate> {
        let pace = self.records.get(id)?.send_pace.as_ref()?;
        Some(pace.limit())
    }

    /// Records that an answer of a server was lost or corrupted.
    pub fn record_lost_answer(&mut self, now: Timestamp, id: &InstanceId) {
        if let Some(record) = self.records.get_mut(id) {
            record.losses.observe(now, true);
        }
    }

    /// Marks a server as suspect because it or its node was unreachable or unresponsive. Returns
    /// true if it was eligible before: then the caller must start probing it.
    pub fn mark_suspect(&mut self, now: Timestamp, id: &InstanceId) -> bool {
        match self.records.get_mut(id) {
            Some(record) if record.eligibility(now) == Eligibility::Eligible => {
                record.set_eligibility(Eligibility::Suspect { failed_probes: 0 });
                true
            }
            _ => false,
        }
    }

    /// Withdraws a server whose node says that it is leaving. It gets no attempts until its
    /// entry changes.
    pub fn withdraw(&mut self, id: &InstanceId) {
        self.set_withdrawn(id, None);
    }

    /// Records that another server answered at a server's address. The server gets no attempts for
    /// `MISDIRECTED_PAUSE`; the one that answered may have been about to end.
    pub fn record_misdirected(&mut self, now: Timestamp, id: &InstanceId) {
        self.set_withdrawn(id, Some(now + MISDIRECTED_PAUSE));
    }

    /// Withdraws a server until the given time, or until its entry changes if there is none.
    fn set_withdrawn(&mut self, id: &InstanceId, until: Option<Timestamp>) {
        if let Some(record) = self.records.get_mut(id) {
            record.set_eligibility(Eligibility::Withdrawn { until });
        }
    }

    /// The delay before the next probe of a server; `None` if it is not suspect.
    pub fn probe_delay(&self, now: Timestamp, id: &InstanceId) -> Option<Duration> {
        let record = self.records.get(id)?;
        let Eligibility::Suspect { failed_probes } = record.eligibility(now) else {
            return None;
        };
        let doublings = failed_probes.min(8);
        let delay = FIRST_PROBE_DELAY.saturating_mul(1 << doublings);
        Some(delay.min(MAX_PROBE_DELAY))
    }

    /// Records the result of a probe of a server's node.
    pub fn record_probe(&mut self, now: Timestamp, id: &InstanceId, answered: bool) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        if answered {
            record.clear_suspicion(now);
        } else if let Eligibility::Suspect { failed_probes } = record.eligibility(now) {
            let failed_probes = failed_probes + 1;
            record.set_eligibility(Eligibility::Suspect { failed_probes });
        }
    }

    /// Whether a server that was sent an attempt at `sent` is unresponsive, so that another server
    /// should be tried: it has answered nothing since then, although that is longer than an
    /// answer takes.
    pub fn is_unresponsive(
        &self,
        now: Timestamp,
        id: &InstanceId,
        sent: Timestamp,
        is_nested: bool,
    ) -> bool {
        let Some(record) = self.records.get(id) else {
            return true;
        };
        record.answered_at < sent
            && now.saturating_since(sent) >= self.response_timeout(id, is_nested)
    }

    /// Time without an answer of a server after which a request or a nested call is tried at
    /// another server.
    pub fn response_timeout(&self, id: &InstanceId, is_nested: bool) -> Duration {
        let latency = self
            .records
            .get(id)
            .map(|record| record.latencies[usize::from(is_nested)]);
        let known = latency.filter(LatencyEstimate::has_samples);
        let expected = known.map_or(ASSUMED_LATENCY, |latency| latency.upper_bound());
        (expected * 2).max(MIN_SILENCE)
    }
}

/// Whether a server is eligible, has free slots and answers its requests.
fn is_healthy(now: Timestamp, record: &ServerRecord) -> bool {
    record.eligibility(now) == Eligibility::Eligible
        && record.losses(now) < UNHEALTHY_LOSS_SHARE
        && record.utilization(now) < 1.0
}
