//! Choice of the server for an attempt: first the side by the table's weights,
//! then a server of that side, or of the other side if the first one can't take
//! the call.

use std::time::Duration;

use lifthollow_protocol::RefusalReason;
use lifthollow_state::{NodeId, Side, Timestamp};
use rand::Rng;

use super::{Chosen, Edge, Wanted};
use crate::View;
use crate::outbound::server_choice::{Candidate, ChoiceContext, choose_server};

/// A side takes over calls of an overloaded side only up to this utilization, in
/// calls per call allowed in flight.
const SPILL_UTILIZATION: f64 = 0.8;
/// A server counts as responsive for at least this long after it began to owe an
/// answer.
const MIN_HEARD_WITHIN: Duration = Duration::from_millis(50);
/// Utilization at which a server has no spare capacity.
const FULL: f64 = 1.0;

/// Condition that a server must meet to be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trust {
    /// The server is in use or half-open and has not owed an answer for longer
    /// than the mean latency.
    HeardOf,
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
        wanted: &Wanted<'_>,
        random: &mut impl Rng,
    ) -> Result<Chosen, RefusalReason> {
        self.learn_servers(now, view);
        let next = wanted
            .side
            .or_else(|| self.side_choice.next(self.weights(view)));
        let side = next.ok_or(RefusalReason::NoServer)?;
        let levels: &[Trust] = if wanted.may_try {
            &[Trust::InUse]
        } else {
            &[Trust::HeardOf, Trust::InUse]
        };
        levels
            .iter()
            .find_map(|trust| self.choose_trusted(now, view, side, *trust, wanted, random))
            .or_else(|| self.choose_any(now, view, side, wanted, random))
            .ok_or_else(|| self.refusal(view, side))
    }

    /// Chooses an eligible server of the side, or of the other side if that one
    /// may take over.
    fn choose_trusted(
        &self,
        now: Timestamp,
        view: &View,
        side: Side,
        trust: Trust,
        wanted: &Wanted<'_>,
        random: &mut impl Rng,
    ) -> Option<Chosen> {
        let own = self.trusted(now, view, side, trust);
        if self.side_level(now, view, side).admits(wanted.priority)
            && let Some(server) = self.choose_among(now, view, side, &own, wanted, random)
        {
            let spilled = false;
            return Some(Chosen {
                server,
                side,
                spilled,
            });
        }
        let other = side.other();
        if !self.may_take_over(now, view, other, !own.iter().any(is_in_use), wanted) {
            return None;
        }
        let others = self.trusted(now, view, other, trust);
        let server = self.choose_among(now, view, other, &others, wanted, random)?;
        let spilled = true;
        Some(Chosen {
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
        other_is_lost: bool,
        wanted: &Wanted<'_>,
    ) -> bool {
        self.weights(view).of(side) > 0
            && self.side_level(now, view, side).admits(wanted.priority)
            && (other_is_lost || self.utilization(now, view, side) <= SPILL_UTILIZATION)
    }

    /// Chooses among all routable servers of the side, ejected ones included, if
    /// no server of either side is in use: an ejected server is better than none.
    fn choose_any(
        &self,
        now: Timestamp,
        view: &View,
        side: Side,
        wanted: &Wanted<'_>,
        random: &mut impl Rng,
    ) -> Option<Chosen> {
        let lost = Side::ALL
            .into_iter()
            .all(|side| !self.is_reachable(now, view, side));
        if !lost {
            return None;
        }
        let candidates = self.routable(now, view, side);
        let server = self.choose_among(now, view, side, &candidates, wanted, random)?;
        let spilled = false;
        Some(Chosen {
            server,
            side,
            spilled,
        })
    }

    fn refusal(&self, view: &View, side: Side) -> RefusalReason {
        if self.is_empty(view, side) {
            RefusalReason::NoServer
        } else {
            RefusalReason::Overloaded
        }
    }

    /// The servers of a side that are in use or half-open and meet `trust`.
    fn trusted(&self, now: Timestamp, view: &View, side: Side, trust: Trust) -> Vec<Candidate<'_>> {
        let usual = self.latency.mean().max(MIN_HEARD_WITHIN);
        self.routable(now, view, side)
            .into_iter()
            .filter(|candidate| match trust {
                Trust::HeardOf => candidate.record.silence(now) <= usual,
                Trust::InUse => true,
            })
            .filter(|candidate| {
                candidate.record.ejection.is_in_use() || candidate.record.ejection.is_on_trial()
            })
            .collect()
    }

    fn choose_among(
        &self,
        now: Timestamp,
        view: &View,
        side: Side,
        servers: &[Candidate<'_>],
        wanted: &Wanted<'_>,
        random: &mut impl Rng,
    ) -> Option<NodeId> {
        let limit = self.limit(view, side);
        let has_room = |candidate: &Candidate<'_>| candidate.record.utilization(now, limit) < FULL;
        let (on_trial, in_use): (Vec<Candidate<'_>>, Vec<Candidate<'_>>) = servers
            .iter()
            .filter(|candidate| !wanted.tried.contains(&candidate.node))
            .filter(|candidate| !wanted.needs_room || has_room(candidate))
            .partition(|candidate| candidate.record.ejection.is_on_trial());
        let context = ChoiceContext {
            now,
            zone: self.zone,
            limit,
            typical_latency: self.latency.mean(),
        };
        server_to_try(now, &on_trial, wanted.may_try)
            .or_else(|| choose_server(&in_use, context, random))
    }
}

fn is_in_use(candidate: &Candidate<'_>) -> bool {
    candidate.record.ejection.is_in_use()
}

/// A half-open server that this call may use: it has no call in progress, and
/// the call can be sent again or the server has waited too long for such a call.
fn server_to_try(now: Timestamp, on_trial: &[Candidate<'_>], may_try: bool) -> Option<NodeId> {
    on_trial
        .iter()
        .filter(|candidate| candidate.record.is_idle())
        .find(|candidate| may_try || candidate.record.ejection.trial_is_overdue(now))
        .map(|candidate| candidate.node)
}
