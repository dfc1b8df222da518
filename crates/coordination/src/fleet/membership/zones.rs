//! Whether the zones answer this node, by its own experience.
//!
//! When a whole zone falls silent, the cause may be the zone, the network
//! between, or this node. None of these says anything about single members, so
//! no member is suspected then: the zone counts as unreachable from here, and
//! nothing is told to others.

use std::collections::BTreeMap;

use lifthollow_state::{Timestamp, Zone};

/// What a probe without an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Others in the zone answer: it is the member.
    Member,
    /// Nobody in the zone answers since the probe began.
    Zone,
}

/// When each zone last answered, and which do not.
#[derive(Debug, Default)]
pub struct ZoneReachability {
    answered: BTreeMap<Zone, Timestamp>,
    unreachable: BTreeMap<Zone, Timestamp>,
}

impl ZoneReachability {
    /// Whether the zone answers, as far as is known.
    pub fn is_reachable(&self, zone: Zone) -> bool {
        !self.unreachable.contains_key(&zone)
    }

    /// Since when the zone does not answer.
    pub fn unreachable_since(&self, zone: Zone) -> Option<Timestamp> {
        self.unreachable.get(&zone).copied()
    }

    /// The zones that do not answer.
    pub fn unreachable(&self) -> impl Iterator<Item = Zone> {
        self.unreachable.keys().copied()
    }

    /// Somebody in the zone answered a probe of this node. True if the zone was
    /// unreachable.
    pub fn answered(&mut self, zone: Zone, now: Timestamp) -> bool {
        self.answered.insert(zone, now);
        self.unreachable.remove(&zone).is_some()
    }

    /// What it means that a probe begun at `started` got no answer.
    pub fn judge(&self, zone: Zone, started: Timestamp) -> Silence {
        match self.answered.get(&zone) {
            Some(answered) if *answered >= started => Silence::Member,
            _ => Silence::Zone,
        }
    }

    /// Nobody in the zone answers. True if that is new.
    pub fn mark_unreachable(&mut self, zone: Zone, now: Timestamp) -> bool {
        if self.unreachable.contains_key(&zone) {
            return false;
        }
        self.unreachable.insert(zone, now);
        true
    }
}
