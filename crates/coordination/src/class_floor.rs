//! No less important call is admitted just after a more important one was
//! refused for overload.

use std::time::Duration;

use lifthollow_protocol::RefusalReason;
use lifthollow_state::{PriorityClass, Timestamp};

/// How long a refusal of a class keeps less important classes out.
const HOLD: Duration = Duration::from_millis(100);

/// The least important class admitted, after recent refusals.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassFloor {
    /// Until when classes below normal are kept out.
    normal_until: Timestamp,
    /// Until when classes below critical are kept out.
    critical_until: Timestamp,
}

impl ClassFloor {
    /// A call was refused.
    pub fn refused(&mut self, now: Timestamp, class: PriorityClass, reason: RefusalReason) {
        if !is_overload(reason) {
            return;
        }
        match class {
            PriorityClass::Sheddable => {}
            PriorityClass::Normal => self.normal_until = now + HOLD,
            PriorityClass::Critical => self.critical_until = now + HOLD,
        }
    }

    /// Whether a call of `class` may be admitted.
    pub fn admits(&self, now: Timestamp, class: PriorityClass) -> bool {
        match class {
            PriorityClass::Sheddable => now >= self.normal_until && now >= self.critical_until,
            PriorityClass::Normal => now >= self.critical_until,
            PriorityClass::Critical => true,
        }
    }

    /// When all classes are admitted again if no more calls are refused.
    pub fn opens_at(&self) -> Timestamp {
        self.normal_until.max(self.critical_until)
    }
}

fn is_overload(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded | RefusalReason::QueueFull | RefusalReason::DownstreamOverloaded
    )
}
