//! Tracks which zones are reachable from this node, judged by the answers to its own
//! probes.
//!
//! When no member of a zone answers, the cause may be the zone, the network between,
//! or this node. None of these says anything about single members, so no member is
//! suspected then: this node treats the zone as unreachable and does not inform
//! other nodes.

use std::collections::BTreeMap;

use lifthollow_state::{Timestamp, Zone};

/// The conclusion from a probe without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeVerdict {
    /// Another member of the zone answered since the probe began, so the probed
    /// member itself failed to answer.
    MemberUnresponsive,
    /// No member of the zone has answered since the probe began.
    ZoneUnresponsive,
}

/// When each zone last answered, and since when unreachable zones do not.
#[derive(Debug, Default)]
pub struct ZoneReachability {
    last_answered: BTreeMap<Zone, Timestamp>,
    unreachable: BTreeMap<Zone, Timestamp>,
}

impl ZoneReachability {
    /// Whether the zone is not marked as unreachable.
    pub fn is_reachable(&self, zone: Zone) -> bool {
        !self.unreachable.contains_key(&zone)
    }

    /// Since when the zone is unreachable; `None` if it is reachable.
    pub fn unreachable_since(&self, zone: Zone) -> Option<Timestamp> {
        self.unreachable.get(&zone).copied()
    }

    /// All unreachable zones.
    pub fn unreachable(&self) -> impl Iterator<Item = Zone> {
        self.unreachable.keys().copied()
    }

    /// Records that a member of the zone answered a probe of this node. Returns
    /// whether the zone was unreachable before.
    pub fn record_answer(&mut self, zone: Zone, now: Timestamp) -> bool {
        self.last_answered.insert(zone, now);
        self.unreachable.remove(&zone).is_some()
    }

    /// Classifies a probe that began at `started` and got no answer.
    pub fn classify_failure(&self, zone: Zone, started: Timestamp) -> ProbeVerdict {
        match self.last_answered.get(&zone) {
            Some(answered) if *answered >= started => ProbeVerdict::MemberUnresponsive,
            _ => ProbeVerdict::ZoneUnresponsive,
        }
    }

    /// Marks the zone as unreachable. Returns whether it was reachable before.
    pub fn mark_unreachable(&mut self, zone: Zone, now: Timestamp) -> bool {
        if self.unreachable.contains_key(&zone) {
            return false;
        }
        self.unreachable.insert(zone, now);
        true
    }
}
