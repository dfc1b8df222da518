//! One edge of the call graph: this node's calls to one service and what they
//! revealed about its servers.

mod choice;

use std::collections::BTreeMap;
use std::time::Duration;

use lifthollow_protocol::{AdmissionLevel, LoadReport};
use lifthollow_state::{NodeId, Priority, Server, ServerState, ServiceName, Side, Timestamp, Zone};
use rand::{Rng, RngExt};

use super::AttemptId;
use super::edge_report::{EdgeReport, SideCounts, SideReport};
use super::outlier_detection::SideServers;
use super::server_choice::Candidate;
use super::server_state::{Outcome, ServerRecord};
use super::side_choice::{SideChoice, SideWeights};
use crate::View;
use crate::class_floor::ClassFloor;
use crate::latency::LatencyEstimate;
use crate::retry::RetryBudget;

/// An attempt runs at least this long before another server is tried instead.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(50);
/// An attempt also runs at least this many times the latency that almost every
/// answer stays under before another server is tried instead.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;

/// Requirements of a call on the server chosen for it.
#[derive(Clone, Debug)]
pub struct ServerRequirements<'a> {
    /// The call's priority, which decides the order in which load is shed.
    pub priority: Priority,
    /// Servers that earlier attempts of the call were sent to.
    pub tried: &'a [NodeId],
    /// The side assigned to the call's first attempt, if this is a retry.
    pub side: Option<Side>,
    /// Whether a half-open server may be chosen: the call can be sent again if
    /// that server fails it.
    pub may_use_half_open: bool,
    /// Whether the server must have spare capacity as estimated by this node.
    pub needs_capacity: bool,
}

/// The server chosen for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChosenServer {
    /// The node that the attempt is sent to.
    pub server: NodeId,
    /// The side that the table's weights assigned the call to.
    pub side: Side,
    /// Whether the server belongs to the other side, because the assigned side
    /// could not take the call.
    pub spilled: bool,
}

/// Observations of this node about one service and its servers.
#[derive(Debug)]
pub struct Edge {
    service: ServiceName,
    zone: Zone,
    side_choice: SideChoice,
    servers: BTreeMap<NodeId, ServerRecord>,
    /// Latency of successful answers over all servers of the service.
    pub latency: LatencyEstimate,
    /// Budget that limits retries to a share of the edge's first attempts.
    pub budget: RetryBudget,
    counts: BTreeMap<Side, SideCounts>,
    /// Priority classes refused after calls were refused without an attempt.
    pub class_floor: ClassFloor,
}

impl Edge {
    /// Creates the edge from a node in `zone` to `service`.
    pub fn new(service: ServiceName, zone: Zone, random: &mut impl Rng) -> Self {
        Edge {
            service,
            zone,
            side_choice: SideChoice::with_phase(random.random_range(-0.5..0.5)),
            servers: BTreeMap::new(),
            latency: LatencyEstimate::default(),
            budget: RetryBudget::default(),
            counts: BTreeMap::new(),
            class_floor: ClassFloor::default(),
        }
    }

    /// The record of a server, created if the server is new.
    pub fn server_mut(&mut self, now: Timestamp, node: NodeId) -> &mut ServerRecord {
        self.servers
            .entry(node)
            .or_insert_with(|| ServerRecord::new(now))
    }

    /// Records the outcome of an attempt and the server's load, if it was
    /// reported.
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        server: NodeId,
        attempt: AttemptId,
        outcome: Outcome,
        load: Option<LoadReport>,
    ) {
        let record = self.server_mut(now, server);
        let elapsed = record.record_end(now, attempt, outcome);
        if let Some(load) = load {
            record.record_report(now, load);
        }
        if let (Some(elapsed), Outcome::Succeeded) = (elapsed, outcome) {
            self.latency.observe(now, elapsed);
        }
    }

    /// Records that the body of a server's answer is being passed on.
    pub fn record_stream_started(&mut self, server: NodeId, attempt: AttemptId) {
        if let Some(record) = self.servers.get_mut(&server) {
            record.record_stream_started(attempt);
        }
    }

    /// Records that the last byte of an answer has been passed on, or that the
    /// attempt was abandoned.
    pub fn record_stream_closed(&mut self, server: NodeId, attempt: AttemptId) {
        if let Some(record) = self.servers.get_mut(&server) {
            record.record_stream_closed(attempt);
        }
    }

    /// Time that an attempt may take before another server is considered, for a
    /// call with `remaining` time until its deadline.
    pub fn attempt_timeout(&self, remaining: Duration) -> Duration {
        if !self.latency.has_samples() {
            return remaining / 2;
        }
        let usual = self.latency.upper_bound() * ATTEMPT_TIMEOUT_FACTOR;
        usual.max(MIN_ATTEMPT_TIMEOUT)
    }

    /// Resets time-based records after the process was paused.
    pub fn handle_resume(&mut self, now: Timestamp) {
        for server in self.servers.values_mut() {
            server.handle_resume(now);
        }
    }

    /// The lowest priority that the service admits. While one side admits every
    /// priority the service does too, because that side can take over; otherwise
    /// it is the mean of both sides. Sides that can't be reached do not count.
    pub fn level(&self, now: Timestamp, view: &View) -> AdmissionLevel {
        let weights = self.weights(view);
        let levels: Vec<AdmissionLevel> = Side::ALL
            .into_iter()
            .filter(|side| weights.of(*side) > 0 && self.is_reachable(now, view, *side))
            .map(|side| self.side_level(now, view, side))
            .collect();
        if levels.contains(&AdmissionLevel::OPEN) {
            return AdmissionLevel::OPEN;
        }
        let sum: u16 = levels.iter().map(|level| level.0).sum();
        AdmissionLevel(sum / levels.len().max(1) as u16)
    }

    /// The mean of the admission levels that a side's servers reported recently.
    /// Calls are spread over the servers by load, so the level of a single server
    /// says little.
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

    /// Ejects servers that fail while others do better.
    pub fn eject_outliers(&mut self, now: Timestamp, view: &View) {
        for server in self.servers.values_mut() {
            server.ejection.expire_ejection(now);
        }
        for side in Side::ALL {
            for node in self.outliers(now, view, side) {
                self.server_mut(now, node).ejection.eject(now);
            }
        }
    }

    fn outliers(&self, now: Timestamp, view: &View, side: Side) -> Vec<NodeId> {
        let records = |side| -> Vec<(NodeId, &ServerRecord)> {
            self.routable(now, view, side)
                .iter()
                .map(|candidate| (candidate.node, candidate.record))
                .collect()
        };
        let other = side.other();
        let other_may_take_over = self.weights(view).of(other) > 0;
        let servers = SideServers {
            servers: records(side),
            other_side: if other_may_take_over {
                records(other)
            } else {
                Vec::new()
            },
            high_latency: self.latency.upper_bound(),
        };
        servers.outliers(now)
    }

    /// Removes the records of servers that are no longer in the directory, once
    /// they have no call in progress.
    pub fn forget_unlisted(&mut self, view: &View) {
        let listed = view.directory.servers(&self.service);
        self.servers.retain(|node, server| {
            !server.is_idle() || listed.iter().any(|server| server.node == *node)
        });
    }

    fn add_listed_servers(&mut self, now: Timestamp, view: &View) {
        for server in view.directory.servers(&self.service) {
            self.server_mut(now, server.node);
        }
    }

    /// Servers of a side that may get new calls: those in state `Serving`, or if
    /// there are none, those in state `Suspected`.
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

    /// Counts an attempt that is being sent to the chosen server.
    pub fn count_attempt(&mut self, chosen: ChosenServer, is_retry: bool) {
        let counts = self.counts.entry(chosen.side).or_default();
        if is_retry {
            counts.retries += 1;
        } else {
            counts.assigned += 1;
            counts.spilled += u64::from(chosen.spilled);
        }
    }

    /// The report on this edge that operators see.
    pub fn report(&self, now: Timestamp, view: &View) -> EdgeReport {
        let sides = Side::ALL
            .into_iter()
            .filter(|side| view.table.row(&self.service, *side).is_some())
            .map(|side| self.side_report(now, view, side));
        EdgeReport {
            service: self.service.clone(),
            sides: sides.collect(),
        }
    }

    fn side_report(&self, now: Timestamp, view: &View, side: Side) -> SideReport {
        let servers = self.routable(now, view, side);
        let in_use = servers
            .iter()
            .filter(|candidate| candidate.record.ejection.is_in_use())
            .count();
        SideReport {
            side,
            counts: self.counts.get(&side).copied().unwrap_or_default(),
            servers_in_use: in_use,
            servers_ejected: servers.len() - in_use,
            level: self.side_level(now, view, side),
        }
    }

    /// Whether a side has a server in normal use.
    fn is_reachable(&self, now: Timestamp, view: &View, side: Side) -> bool {
        let servers = self.routable(now, view, side);
        servers
            .iter()
            .any(|candidate| candidate.record.ejection.is_in_use())
    }

    /// The table's weights; a side without servers has weight 0.
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
