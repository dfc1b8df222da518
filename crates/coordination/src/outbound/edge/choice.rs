//! Choice of the server for an attempt: first the side by the table's weights,
//! then a server of that side, or of the other side if the first one can't take
//! the call.

use std::time::Duration;

use lifthollow_protocol::RefusalReason;
use lifthollow_state::{NodeId, Side, Timestamp};
use rand::Rng;

use super::{ChosenServer, Edge, ServerRequirements};
use crate::View;
use crate::outbound::server_choice::{Candidate, ChoiceContext, choose_server};

/// A side takes over calls of an overloaded side only up to this utilization, in
/// calls per call allowed in flight.
const SPILL_UTILIZATION: f64 = 0.8;
/// A server with an outstanding attempt counts as responsive for at least this long
/// without sending an answer.
const MIN_RESPONSIVE_TIME: Duration = Duration::from_millis(50);
/// Utilization at which a server has no spare capacity.
const FULL_UTILIZATION: f64 = 1.0;

/// Condition that a server must meet to be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Eligibility {
    /// The server is in use or half-open and has not left an attempt unanswered for
    /// longer than the mean latency.
    Responsive,
    /// The server is in use or half-open.
    InUse,
}

impl Edge {
    /// Chooses a server for an attempt.
    ///
    /// For a call that could not be sent again, a responsive server of either
    /// side is looked for before one that may have stopped answering.
    pub fn choose(
        &mut self,
        now: Timestamp,
        view: &View,
        requirements: &ServerRequirements<'_>,
        random: &mut impl Rng,
    ) -> Result<ChosenServer, RefusalReason> {
        self.add_listed_servers(now, view);
        let next = requirements
            .side
            .or_else(|| self.side_choice.next(self.weights(view)));
        let side = next.ok_or(RefusalReason::NoServer)?;
        let levels: &[Eligibility] = if requirements.may_use_half_open {
            &[Eligibility::InUse]
        } else {
            &[Eligibility::Responsive, Eligibility::InUse]
        };
        levels
            .iter()
            .find_map(|level| self.choose_eligible(now, view, side, *level, requirements, random))
            .or_else(|| self.choose_any_routable(now, view, side, requirements, random))
            .ok_or_else(|| self.refusal_reason(view, side))
    }

    /// Chooses an eligible server of the side, or of the other side if that one
    /// may take over.
    fn choose_eligible(
        &self,
        now: Timestamp,
        view: &View,
        side: Side,
        eligibility: Eligibility,
        requirements: &ServerRequirements<'_>,
        random: &mut impl Rng,
    ) -> Option<ChosenServer> {
        let own = self.eligible(now, view, side, eligibility);
        if self
            .side_level(now, view, side)
            .admits(requirements.priority)
            && let Some(server) = self.choose_among(now, view, side, &own, requirements, random)
        {
            let spilled = false;
            return Some(ChosenServer {
                server,
                side,
                spilled,
            });
        }
        let other = side.other();
        if !self.may_take_over(now, view, other, !own.iter().any(is_in_use), requirements) {
            return None;
        }
        let others = self.eligible(now, view, other, eligibility);
        let server = self.choose_among(now, view, other, &others, requirements, random)?;
        let spilled = true;
        Some(ChosenServer {
            server,
            side,
            spilled,
        })
    }

    /// Whether a side may take over a call that the weights assigned to the other
    /// side. It takes over for a side that can't be reached whatever its own
    /// utilization.
    fn may_take_over(
        &self,
        now: Timestamp,
        view: &View,
        side: Side,
        other_is_unreachable: bool,
        requirements: &ServerRequirements<'_>,
    ) -> bool {
        self.weights(view).of(side) > 0
            && self
                .side_level(now, view, side)
                .admits(requirements.priority)
            && (other_is_unreachable || self.utilization(now, view, side) <= SPILL_UTILIZATION)
    }

    /// Chooses among all routable servers of the side, ejected ones included, if
    /// no server of either side is in use: an ejected server is better than none.
    fn choose_any_routable(
        &self,
        now: Timestamp,
        view: &View,
        side: Side,
        requirements: &ServerRequirements<'_>,
        random: &mut impl Rng,
    ) -> Option<ChosenServer> {
        let all_unreachable = Side::ALL
            .into_iter()
            .all(|side| !self.is_reachable(now, view, side));
        if !all_unreachable {
            return None;
        }
        let candidates = self.routable(now, view, side);
        let server = self.choose_among(now, view, side, &candidates, requirements, random)?;
        let spilled = false;
        Some(ChosenServer {
            server,
            side,
            spilled,
        })
    }

    fn refusal_reason(&self, view: &View, side: Side) -> RefusalReason {
        if self.is_empty(view, side) {
            RefusalReason::NoServer
        } else {
            RefusalReason::Overloaded
        }
    }

    /// The servers of a side that are in use or half-open and meet `eligibility`.
    fn eligible(
        &self,
        now: Timestamp,
        view: &View,
        side: Side,
        eligibility: Eligibility,
    ) -> Vec<Candidate<'_>> {
        let usual = self.latency.mean().max(MIN_RESPONSIVE_TIME);
        self.routable(now, view, side)
            .into_iter()
            .filter(|candidate| match eligibility {
                Eligibility::Responsive => candidate.record.time_without_answer(now) <= usual,
                Eligibility::InUse => true,
            })
            .filter(|candidate| {
                candidate.record.ejection.is_in_use() || candidate.record.ejection.is_half_open()
            })
            .collect()
    }

    fn choose_among(
        &self,
        now: Timestamp,
        view: &View,
        side: Side,
        servers: &[Candidate<'_>],
        requirements: &ServerRequirements<'_>,
        random: &mut impl Rng,
    ) -> Option<NodeId> {
        let limit = self.limit(view, side);
        let has_capacity =
            |candidate: &Candidate<'_>| candidate.record.utilization(now, limit) < FULL_UTILIZATION;
        let (half_open, in_use): (Vec<Candidate<'_>>, Vec<Candidate<'_>>) = servers
            .iter()
            .filter(|candidate| !requirements.tried.contains(&candidate.node))
            .filter(|candidate| !requirements.needs_capacity || has_capacity(candidate))
            .partition(|candidate| candidate.record.ejection.is_half_open());
        let context = ChoiceContext {
            now,
            zone: self.zone,
            limit,
            typical_latency: self.latency.mean(),
        };
        choose_half_open_server(now, &half_open, requirements.may_use_half_open)
            .or_else(|| choose_server(&in_use, context, random))
    }
}

fn is_in_use(candidate: &Candidate<'_>) -> bool {
    candidate.record.ejection.is_in_use()
}

/// A half-open server that this call may use: it has no call in progress, and
/// the call can be sent again or the server has waited too long for such a call.
fn choose_half_open_server(
    now: Timestamp,
    half_open: &[Candidate<'_>],
    may_use_half_open: bool,
) -> Option<NodeId> {
    half_open
        .iter()
        .filter(|candidate| candidate.record.is_idle())
        .find(|candidate| may_use_half_open || candidate.record.ejection.trial_is_overdue(now))
        .map(|candidate| candidate.node)
}
