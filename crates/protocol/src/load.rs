//! The load that a server reports with every answer.

use std::fmt;

use minicbor::{Decode, Encode};

use lifthollow_state::{Priority, PriorityClass};

/// The lowest priority that a server admits, as one number: the class times
/// 128 plus the user priority. Zero admits everything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct AdmissionLevel(#[n(0)] pub u16);

const USER_LEVELS_PER_CLASS: u16 = 128;
const CLASS_COUNT: u16 = 3;

impl AdmissionLevel {
    /// The level that admits every call.
    pub const OPEN: AdmissionLevel = AdmissionLevel(0);
    /// The level that admits no call, because no server could run one.
    pub const CLOSED: AdmissionLevel = AdmissionLevel(CLASS_COUNT * USER_LEVELS_PER_CLASS);

    /// Returns the level at which `priority` is the lowest that is admitted.
    pub fn of(priority: Priority) -> Self {
        let class = match priority.class {
            PriorityClass::Sheddable => 0,
            PriorityClass::Normal => 1,
            PriorityClass::Critical => 2,
        };
        AdmissionLevel(
            class * USER_LEVELS_PER_CLASS + u16::from(priority.user).min(USER_LEVELS_PER_CLASS - 1),
        )
    }

    /// Returns the lowest priority that is admitted; the inverse of [`AdmissionLevel::of`].
    pub fn priority(self) -> Priority {
        let class = match self.0 / USER_LEVELS_PER_CLASS {
            0 => PriorityClass::Sheddable,
            1 => PriorityClass::Normal,
            _ => PriorityClass::Critical,
        };
        let user = (self.0 % USER_LEVELS_PER_CLASS) as u8;
        Priority { class, user }
    }

    /// Returns whether a call of `priority` is admitted at this level.
    pub fn admits(self, priority: Priority) -> bool {
        AdmissionLevel::of(priority) >= self
    }
}

/// Formats as `everything`, `nothing`, or the lowest admitted class and the lowest admitted
/// user priority within it, such as `critical/95`.
impl fmt::Display for AdmissionLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if *self == AdmissionLevel::OPEN {
            return formatter.write_str("everything");
        }
        if *self >= AdmissionLevel::CLOSED {
            return formatter.write_str("nothing");
        }
        let class = match self.0 / USER_LEVELS_PER_CLASS {
            0 => PriorityClass::Sheddable,
            1 => PriorityClass::Normal,
            _ => PriorityClass::Critical,
        };
        write!(formatter, "{class}/{}", self.0 % USER_LEVELS_PER_CLASS)
    }
}

/// Load of one service on one server, as measured by the server's own node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// Number of calls running at the back end.
    #[n(0)]
    pub in_flight: u32,
    /// Number of calls waiting in the node's queue.
    #[n(1)]
    pub queued: u32,
    /// Current limit of concurrent calls at the back end.
    #[n(2)]
    pub limit: u32,
    /// Lowest priority admitted by the server and by the services that it depends on.
    #[n(3)]
    pub admission_level: AdmissionLevel,
    /// Whether the server is shutting down and accepts no new calls.
    #[n(4)]
    pub leaving: bool,
}
