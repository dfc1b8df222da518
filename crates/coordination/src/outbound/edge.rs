//! One edge of the call graph: this node's calls to one service.

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_protocol::{AdmissionLevel, LoadReport, RefusalReason};
use lifthollow_state::{NodeId, Priority, Server, ServerState, ServiceName, Side, Timestamp, Zone};
use rand::{Rng, RngExt};

use super::AttemptId;
use super::outlier_detection::SideServers;
use super::server_choice::{Candidate, ChoiceContext, choose_server};
use super::server_state::{Outcome, ServerRecord};
use super::side_choice::{SideChoice, SideWeights};
use crate::View;
use crate::class_floor::ClassFloor;
use crate::latency::LatencyEstimate;
use crate::retry::RetryBudget;

/// A side takes over another's calls only below this utilization.
const SPILL_UTILIZATION: f64 = 0.8;
/// An attempt is not given up for another before this.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(50);
/// Nor before this many times the time that almost every answer takes.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// Utilization of a server that has no room.
const FULL: f64 = 1.0;

/// What a call asks of the choice of a server.
#[derive(Clone, Debug)]
pub struct Wanted<'a> {
    /// The call's place in the order of shedding.
    pub priority: Priority,
    /// Servers that were tried before.
    pub tried: &'a [NodeId],
    /// The side of the first attempt, if this is a retry.
    pub side: Option<Side>,
    /// Whether the call could be repeated if a server on trial fails it.
    pub may_try: bool,
    /// Whether the server must have room, as far as is known.
    pub needs_room: bool,
}

/// The server chosen for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// Its node.
    pub server: NodeId,
    /// The side that the weights gave the call to.
    pub side: Side,
    /// Whether the other side had to carry it.
    pub spilled: bool,
}

/// What this node has seen of one service.
#[derive(Debug)]
pub struct Edge {
    service: ServiceName,
    zone: Zone,
    side_choice: SideChoice,
    servers: BTreeMap<NodeId, ServerRecord>,
    /// Latency of good answers over all servers.
    pub latency: LatencyEstimate,
    /// Retries that the edge can pay for.
    pub budget: RetryBudget,
    /// Classes kept out after calls were refused without an attempt.
    pub class_floor: ClassFloor,
}

impl Edge {
    /// The edge from a node in `zone` to `service`.
    pub fn new(service: ServiceName, zone: Zone, random: &mut impl Rng) -> Self {
        Edge {
            service,
            zone,
            side_choice: SideChoice::with_phase(random.random_range(-0.5..0.5)),
            servers: BTreeMap::new(),
            latency: LatencyEstimate::default(),
            budget: RetryBudget::default(),
            class_floor: ClassFloor::default(),
        }
    }

    /// What was seen of a server.
    pub fn server_mut(&mut self, now: Timestamp, node: NodeId) -> &mut ServerRecord {
        self.servers
            .entry(node)
            .or_insert_with(|| ServerRecord::new(now))
    }

    /// An attempt ended, and its server may have told its load.
    pub fn learn(
        &mut self,
        now: Timestamp,
        server: NodeId,
        attempt: AttemptId,
        outcome: Outcome,
        load: Option<LoadReport>,
    ) {
        let record = self.server_mut(now, server);
        let elapsed = record.ended(now, attempt, outcome);
        if let Some(load) = load {
            record.reported(now, load);
        }
        if let (Some(elapsed), Outcome::Succeeded) = (elapsed, outcome) {
            self.latency.observe(now, elapsed);
        }
    }

    /// An answer's body is being passed on from a server.
    pub fn streams(&mut self, server: NodeId, attempt: AttemptId) {
        if let Some(record) = self.servers.get_mut(&server) {
            record.streams(attempt);
        }
    }

    /// The last byte of an answer has passed, or the attempt was given up.
    pub fn closed(&mut self, server: NodeId, attempt: AttemptId) {
        if let Some(record) = self.servers.get_mut(&server) {
            record.closed(attempt);
        }
    }

    /// How long an attempt of a call that has `remaining` time is waited for
    /// before another server is considered.
    pub fn attempt_timeout(&self, remaining: Duration) -> Duration {
        if !self.latency.is_known() {
            return remaining / 2;
        }
        let usual = self.latency.high() * ATTEMPT_TIMEOUT_FACTOR;
        usual.max(MIN_ATTEMPT_TIMEOUT)
    }

    /// The process was paused.
    pub fn resumed(&mut self, now: Timestamp) {
        for server in self.servers.values_mut() {
            server.resumed(now);
        }
    }

    /// The lowest priority that the service admits: everything while a side is
    /// open, as it can take over; otherwise the mean of both sides.
    pub fn level(&self, now: Timestamp, view: &View) -> AdmissionLevel {
        let weights = self.weights(view);
        let levels: Vec<AdmissionLevel> = Side::ALL
            .into_iter()
            .filter(|side| weights.of(*side) > 0)
            .map(|side| self.side_level(now, view, side))
            .collect();
        if levels.contains(&AdmissionLevel::OPEN) {
            return AdmissionLevel::OPEN;
        }
        let sum: u16 = levels.iter().map(|level| level.0).sum();
        AdmissionLevel(sum / levels.len().max(1) as u16)
    }

    /// The mean of what a side's servers said lately. Their calls are spread by
    /// load, so that one of them alone says little.
    fn side_level(&self, now: Timestamp, view: &View, side: Side) -> AdmissionLevel {
        let levels: Vec<u64> = self
            .routable(now, view, side)
            .iter()
            .filter(|candidate| candidate.record.ejection.is_in_use())
            .filter_map(|candidate| candidate.record.level(now))
            .map(|level| u64::from(level.0))
            .collect();
        let mean = levels.iter().sum::<u64>() / levels.len().max(1) as u64;
        AdmissionLevel(mean as u16)
    }

    /// Chooses a server: the side by the table's weights, then the server.
    pub fn choose(
        &mut self,
        now: Timestamp,
        view: &View,
        wanted: &Wanted<'_>,
        random: &mut impl Rng,
    ) -> Result<Chosen, RefusalReason> {
        self.learn_servers(now, view);
        let weights = self.weights(view);
        let next = wanted.side.or_else(|| self.side_choice.next(weights));
        let side = next.ok_or(RefusalReason::NoServer)?;
        if self.side_level(now, view, side).admits(wanted.priority)
            && let Some(server) = self.choose_on(now, view, side, wanted, random)
        {
            let spilled = false;
            return Ok(Chosen {
                server,
                side,
                spilled,
            });
        }
        self.spill(now, view, side, weights, wanted, random)
    }

    /// The other side carries the call if its weight and its load allow it.
    fn spill(
        &self,
        now: Timestamp,
        view: &View,
        side: Side,
        weights: SideWeights,
        wanted: &Wanted<'_>,
        random: &mut impl Rng,
    ) -> Result<Chosen, RefusalReason> {
        let other = side.other();
        let reason = if self.is_empty(view, side) {
            RefusalReason::NoServer
        } else {
            RefusalReason::Overloaded
        };
        if weights.of(other) == 0
            || !self.side_level(now, view, other).admits(wanted.priority)
            || self.utilization(now, view, other) > SPILL_UTILIZATION
        {
            return Err(reason);
        }
        let server = self.choose_on(now, view, other, wanted, random);
        server.ok_or(reason).map(|server| Chosen {
            server,
            side,
            spilled: true,
        })
    }

    fn choose_on(
        &self,
        now: Timestamp,
        view: &View,
        side: Side,
        wanted: &Wanted<'_>,
        random: &mut impl Rng,
    ) -> Option<NodeId> {
        let limit = self.limit(view, side);
        let candidates: Vec<Candidate<'_>> = self
            .routable(now, view, side)
            .into_iter()
            .filter(|candidate| !wanted.tried.contains(&candidate.node))
            .filter(|candidate| {
                !wanted.needs_room || candidate.record.utilization(now, limit) < FULL
            })
            .collect();
        if let Some(node) = server_to_try(now, &candidates, wanted.may_try) {
            return Some(node);
        }
        let in_use: Vec<Candidate<'_>> = candidates
            .iter()
            .filter(|candidate| candidate.record.ejection.is_in_use())
            .copied()
            .collect();
        let context = ChoiceContext {
            now,
            zone: self.zone,
            limit,
            typical_latency: self.latency.mean(),
        };
        if in_use.is_empty() && wanted.tried.is_empty() {
            return choose_server(&candidates, context, random);
        }
        choose_server(&in_use, context, random)
    }

    /// Leaves out servers that fail while others do better.
    pub fn eject_outliers(&mut self, now: Timestamp, view: &View) {
        for server in self.servers.values_mut() {
            server.ejection.refresh(now);
        }
        for side in Side::ALL {
            let outliers = SideServers {
                servers: self
                    .routable(now, view, side)
                    .iter()
                    .map(|candidate| (candidate.node, candidate.record))
                    .collect(),
                usual_latency: self.latency.high(),
            }
            .outliers(now);
            for node in outliers {
                self.server_mut(now, node).ejection.eject(now);
            }
        }
    }

    /// Forgets servers that are no longer listed.
    pub fn forget_unlisted(&mut self, view: &View) {
        let listed = view.directory.servers(&self.service);
        self.servers.retain(|node, server| {
            !server.is_idle() || listed.iter().any(|server| server.node == *node)
        });
    }

    fn learn_servers(&mut self, now: Timestamp, view: &View) {
        for server in view.directory.servers(&self.service) {
            self.server_mut(now, server.node);
        }
    }

    /// Servers that may get new work: those serving, or if there are none,
    /// those suspected.
    fn routable(&self, now: Timestamp, view: &View, side: Side) -> Vec<Candidate<'_>> {
        let of_state = |state: ServerState| -> Vec<Candidate<'_>> {
            view.directory
                .servers(&self.service)
                .iter()
                .filter(|server| server.side == side && server.state == state)
                .filter_map(|server| self.candidate(server))
                .filter(|candidate| !candidate.record.is_leaving(now))
                .collect()
        };
        let serving = of_state(ServerState::Serving);
        if serving.is_empty() {
            of_state(ServerState::Suspected)
        } else {
            serving
        }
    }

    fn candidate(&self, server: &Server) -> Option<Candidate<'_>> {
        let record = self.servers.get(&server.node)?;
        Some(Candidate {
            node: server.node,
            zone: server.zone,
            record,
        })
    }

    /// The table's weights; a side without servers has none.
    fn weights(&self, view: &View) -> SideWeights {
        let weight = |side| {
            let row = view.table.row(&self.service, side);
            let usable = !self.is_empty(view, side);
            row.filter(|_| usable).map_or(0, |row| row.weight)
        };
        SideWeights {
            old: weight(Side::Old),
            new: weight(Side::New),
        }
    }

    fn is_empty(&self, view: &View, side: Side) -> bool {
        !view
            .directory
            .servers(&self.service)
            .iter()
            .any(|server| server.side == side && server.state != ServerState::Leaving)
    }

    fn utilization(&self, now: Timestamp, view: &View, side: Side) -> f64 {
        let limit = self.limit(view, side);
        let servers = self.routable(now, view, side);
        let total: f64 = servers
            .iter()
            .map(|candidate| candidate.record.utilization(now, limit))
            .sum();
        total / servers.len().max(1) as f64
    }

    fn limit(&self, view: &View, side: Side) -> u32 {
        view.table
            .row(&self.service, side)
            .map_or(1, |row| row.max_in_flight)
    }
}

/// A server on trial that this call may try.
fn server_to_try(now: Timestamp, candidates: &[Candidate<'_>], may_try: bool) -> Option<NodeId> {
    candidates
        .iter()
        .filter(|candidate| candidate.record.ejection.is_on_trial() && candidate.record.is_idle())
        .find(|candidate| may_try || candidate.record.ejection.trial_is_overdue(now))
        .map(|candidate| candidate.node)
}
