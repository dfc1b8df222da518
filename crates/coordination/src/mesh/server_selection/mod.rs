//! Which server of a service gets an attempt.
//!
//! Every node sees only its own requests and what servers' nodes say with their
//! answers. The least utilized server is taken; those of the own zone come first
//! while they have spare room, since a run then takes no longer there. A server
//! that stays silent or can't be reached is set aside until its node has answered
//! a probe, so that no request is spent on finding out.

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
use crate::mesh::server_suitability::{Suitability, is_failing};
use crate::mesh::server_wanted::Wanted;

pub use service_levels::KnownLoad;

/// Random part of the comparison, so that nodes that know the same don't all
/// choose the same server.
const JITTER: f64 = 0.05;
/// A server in whose place another answered gets nothing for this time.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(1000);
/// From this share of lost answers on, a server is not sound.
const LOSSY_SHARE: f64 = 0.05;
/// Time until the first probe of a server that was set aside; doubled with each
/// probe that fails.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(150);
/// The longest time between probes.
const MAX_PROBE_DELAY: Duration = Duration::from_millis(600);
/// Without samples an answer is expected within this time.
const ASSUMED_LATENCY: Duration = Duration::from_millis(200);
/// A server is not called silent before this time.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// The server that an attempt should go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub server: ServerInstance,
    /// Whether another has room and answers what it is given.
    pub has_alternative: bool,
}

/// The servers of all services.
#[derive(Clone, Debug, Default)]
pub struct ServerPool {
    own_zone: String,
    records: HashMap<InstanceId, ServerRecord>,
    by_service: HashMap<String, Vec<InstanceId>>,
    /// Where the servers listen that were set last.
    addresses: HashSet<SocketAddrV4>,
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

    /// The server that should get the next attempt for `service`. A server that is set aside is
    /// taken only if no other is left.
    pub fn choose(
        &self,
        now: Timestamp,
        service: &str,
        wanted: Wanted<'_>,
        random: &mut impl Rng,
    ) -> Option<Choice> {
        let servers = self.by_service.get(service)?;
        let allowed = servers.iter().filter(|id| wanted.candidates.include(id));
        let usable = || {
            let records = allowed.clone().filter_map(|id| self.records.get(id));
            records.filter(|record| !record.is_withdrawn(now))
        };
        let best = usable()
            .map(|record| {
                let set_aside = record.eligibility(now) != Eligibility::Eligible;
                let is_failing = wanted.purpose.must_succeed() && is_failing(now, record);
                let jitter = random.random::<f64>() * JITTER;
                let suits = Suitability::of(now, record, &self.own_zone, wanted.may_repeat);
                let wait = record.time_until_next(now, wanted.may_repeat);
                let ranks = (set_aside, is_failing, !wait.is_zero(), !suits.is_preferred);
                (ranks, suits.cost + wait.as_secs_f64() + jitter, record)
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))?;
        let server = best.2.instance.clone();
        let has_alternative = usable()
            .filter(|record| record.instance.id != server.id)
            .any(|record| {
                let may_get_more = record.time_until_next(now, wanted.may_repeat).is_zero();
                may_get_more && is_sound(now, record)
            });
        Some(Choice {
            server,
            has_alternative,
        })
    }

    /// Whether any server of `service` takes new work, as far as is known.
    pub fn has_servers(&self, service: &str) -> bool {
        let mut servers = self.by_service.get(service).into_iter().flatten();
        servers.any(|id| {
            let record = self.records.get(id);
            record.is_some_and(|record| !record.is_leaving())
        })
    }

    /// Whether a server loses so many answers that one which is late is worth
    /// asking for elsewhere.
    pub fn loses_answers(&self, now: Timestamp, id: &InstanceId) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.losses(now) >= LOSSY_SHARE)
    }

    /// An attempt was sent.
    pub fn sent(&mut self, now: Timestamp, id: &InstanceId) {
        if let Some(record) = self.records.get_mut(id) {
            record.in_flight += 1;
            if let Some(pace) = &mut record.send_pace {
                pace.sent(now);
            }
        }
    }

    /// An attempt is over, however it ended.
    pub fn ended(&mut self, id: &InstanceId) {
        if let Some(record) = self.records.get_mut(id) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// The server's node answered. `latency` is that of a run, and whether it was
    /// a nested call's.
    pub fn heard(
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
            pace.served();
        }
        if let Some(load) = load {
            record.record_load_report(now, load);
        }
        if let Some((latency, is_nested)) = latency {
            record.latencies[usize::from(is_nested)].observe(now, latency);
        }
    }

    /// The server's node told its load without an answer of the server.
    pub fn reported(&mut self, now: Timestamp, id: &InstanceId, load: ReportedLoad) {
        if let Some(record) = self.records.get_mut(id) {
            record.record_load_report(now, load);
        }
    }

    /// The server says this of itself.
    pub fn noticed(&mut self, now: Timestamp, id: &InstanceId, notice: ServerNotice) {
        if let Some(record) = self.records.get_mut(id) {
            record.record_notice(now, notice);
        }
    }

    /// The server's node turned an attempt away: the server gets as many as it takes.
    pub fn rate_limited(&mut self, now: Timestamp, id: &InstanceId) {
        let record = self.records.get_mut(id);
        if let Some(pace) = record.and_then(|record| record.send_pace.as_mut()) {
            pace.turned_away(now);
        }
    }

    /// The limit that the server names, if it does.
    pub fn limit_of(&self, id: &InstanceId) -> Option<RequestRate> {
        let pace = self.records.get(id)?.send_pace.as_ref()?;
        Some(pace.limit())
    }

    /// An answer of the server was lost or spoilt.
    pub fn lost(&mut self, now: Timestamp, id: &InstanceId) {
        if let Some(record) = self.records.get_mut(id) {
            record.losses.observe(now, true);
        }
    }

    /// The server or its node could not be reached, or stayed silent. True if it
    /// was in good standing: it is to be probed from now on.
    pub fn set_aside(&mut self, now: Timestamp, id: &InstanceId) -> bool {
        match self.records.get_mut(id) {
            Some(record) if record.eligibility(now) == Eligibility::Eligible => {
                record.set_eligibility(Eligibility::Suspect { failed_probes: 0 });
                true
            }
            _ => false,
        }
    }

    /// The server's node says that it leaves. It gets nothing until it announces
    /// something else.
    pub fn withdraw(&mut self, id: &InstanceId) {
        self.set_withdrawn(id, None);
    }

    /// Another server answered in its place. It gets nothing for a while: it may
    /// have been one that was about to end.
    pub fn misdirected(&mut self, now: Timestamp, id: &InstanceId) {
        self.set_withdrawn(id, Some(now + MISDIRECTED_PAUSE));
    }

    fn set_withdrawn(&mut self, id: &InstanceId, until: Option<Timestamp>) {
        if let Some(record) = self.records.get_mut(id) {
            record.set_eligibility(Eligibility::Withdrawn { until });
        }
    }

    /// When the server should be probed next; none if it need not be.
    pub fn probe_delay(&self, now: Timestamp, id: &InstanceId) -> Option<Duration> {
        let record = self.records.get(id)?;
        let Eligibility::Suspect { failed_probes } = record.eligibility(now) else {
            return None;
        };
        let doublings = failed_probes.min(8);
        let delay = FIRST_PROBE_DELAY.saturating_mul(1 << doublings);
        Some(delay.min(MAX_PROBE_DELAY))
    }

    /// A probe of the server's node has ended.
    pub fn probed(&mut self, now: Timestamp, id: &InstanceId, answered: bool) {
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

    /// Whether a server that was sent an attempt at `sent` has been silent for
    /// so long that it should be tried elsewhere: it has answered nothing since,
    /// although that is longer than an answer takes.
    pub fn is_silent(
        &self,
        now: Timestamp,
        id: &InstanceId,
        sent: Timestamp,
        is_nested: bool,
    ) -> bool {
        let Some(record) = self.records.get(id) else {
            return true;
        };
        record.answered_at < sent && now.saturating_since(sent) >= self.silence(id, is_nested)
    }

    /// How long a server may stay silent before a request or a nested call is
    /// tried elsewhere.
    pub fn silence(&self, id: &InstanceId, is_nested: bool) -> Duration {
        let latency = self
            .records
            .get(id)
            .map(|record| record.latencies[usize::from(is_nested)]);
        let known = latency.filter(LatencyEstimate::is_known);
        let expected = known.map_or(ASSUMED_LATENCY, |latency| latency.high());
        (expected * 2).max(MIN_SILENCE)
    }
}

/// Whether a server has room and answers what it is given.
fn is_sound(now: Timestamp, record: &ServerRecord) -> bool {
    record.eligibility(now) == Eligibility::Eligible
        && record.losses(now) < LOSSY_SHARE
        && record.utilization(now) < 1.0
}
