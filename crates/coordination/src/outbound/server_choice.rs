//! Choice of the server that gets an attempt, among those of one side.
//!
//! Two candidates are drawn at random and the one with the lower cost is chosen;
//! the cost is computed from latency, utilization and failures. Servers of the
//! caller's own zone are preferred while they have spare capacity.

use std::time::Duration;

use lifthollow_state::{NodeId, Timestamp, Zone};
use rand::{Rng, RngExt};

use super::server_state::ServerRecord;

/// A server of the caller's own zone is preferred below this utilization, in calls
/// per call allowed in flight.
const MAX_LOCAL_ZONE_UTILIZATION: f64 = 0.6;

/// A server that the attempt could be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server's node.
    pub node: NodeId,
    /// The server's failure domain.
    pub zone: Zone,
    /// Observations of this node about the server.
    pub record: &'a ServerRecord,
}

/// Inputs of the choice besides the candidates.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceContext {
    /// The current time.
    pub now: Timestamp,
    /// The failure domain of the calling node.
    pub zone: Zone,
    /// The table's limit of calls in flight on each server.
    pub limit: u32,
    /// Latency assumed for servers without a latency sample.
    pub typical_latency: Duration,
}

/// Chooses the server to use; none if there is no candidate.
pub fn choose_server(
    candidates: &[Candidate<'_>],
    context: ChoiceContext,
    random: &mut impl Rng,
) -> Option<NodeId> {
    let local: Vec<Candidate<'_>> = candidates
        .iter()
        .filter(|candidate| is_local_with_capacity(candidate, context))
        .copied()
        .collect();
    if local.is_empty() {
        better_of_two(candidates, context, random)
    } else {
        better_of_two(&local, context, random)
    }
}

fn is_local_with_capacity(candidate: &Candidate<'_>, context: ChoiceContext) -> bool {
    let record = candidate.record;
    candidate.zone == context.zone
        && !record.is_in_slow_start(context.now)
        && record.utilization(context.now, context.limit) < MAX_LOCAL_ZONE_UTILIZATION
}

fn better_of_two(
    candidates: &[Candidate<'_>],
    context: ChoiceContext,
    random: &mut impl Rng,
) -> Option<NodeId> {
    if candidates.len() < 2 {
        return candidates.first().map(|candidate| candidate.node);
    }
    let first = random.random_range(0..candidates.len());
    let offset = random.random_range(1..candidates.len());
    let second = (first + offset) % candidates.len();
    let (one, other) = (&candidates[first], &candidates[second]);
    if cost(other, context) < cost(one, context) {
        Some(other.node)
    } else {
        Some(one.node)
    }
}

fn cost(candidate: &Candidate<'_>, context: ChoiceContext) -> f64 {
    candidate
        .record
        .cost(context.now, context.limit, context.typical_latency)
}
