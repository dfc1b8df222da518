//! Refuses less important calls for a short time after a more important one was
//! refused for overload.

use std::time::Duration;

use lifthollow_protocol::RefusalReason;
use lifthollow_state::{PriorityClass, Timestamp};

/// Duration for which less important classes are refused after a call was refused
/// for overload.
const FLOOR_DURATION: Duration = Duration::from_millis(100);

/// Lowest priority class that is admitted, depending on recent refusals.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassFloor {
    /// Time until which classes below normal are refused.
    normal_until: Timestamp,
    /// Time until which classes below critical are refused.
    critical_until: Timestamp,
}

impl ClassFloor {
    /// Records that a call of `class` was refused for `reason`; only overload counts.
    pub fn record_refusal(&mut self, now: Timestamp, class: PriorityClass, reason: RefusalReason) {
        if !is_overload(reason) {
            return;
        }
        match class {
            PriorityClass::Sheddable => {}
            PriorityClass::Normal => self.normal_until = now + FLOOR_DURATION,
            PriorityClass::Critical => self.critical_until = now + FLOOR_DURATION,
        }
    }

    /// Whether the floor admits a call of `class`.
    pub fn admits(&self, now: Timestamp, class: PriorityClass) -> bool {
        match class {
            PriorityClass::Sheddable => now >= self.normal_until && now >= self.critical_until,
            PriorityClass::Normal => now >= self.critical_until,
            PriorityClass::Critical => true,
        }
    }

    /// When all classes are admitted again if no further call is refused.
    pub fn all_admitted_at(&self) -> Timestamp {
        self.normal_until.max(self.critical_until)
    }
}

fn is_overload(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded | RefusalReason::QueueFull | RefusalReason::DownstreamOverloaded
    )
}
