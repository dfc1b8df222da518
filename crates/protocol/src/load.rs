//! What a server reports about its own load with every answer.

use std::fmt;

use minicbor::{Decode, Encode};

use lifthollow_state::{Priority, PriorityClass};

/// The lowest priority that a server admits, as one number: the class times
/// 128 plus the user priority. Zero admits everything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct AdmissionLevel(#[n(0)] pub u16);

const USER_LEVELS: u16 = 128;
const CLASSES: u16 = 3;

impl AdmissionLevel {
    /// Admits everything.
    pub const OPEN: AdmissionLevel = AdmissionLevel(0);
    /// Admits nothing: there is no server that could run a call.
    pub const CLOSED: AdmissionLevel = AdmissionLevel(CLASSES * USER_LEVELS);

    /// The level at which `priority` is the lowest that is admitted.
    pub fn of(priority: Priority) -> Self {
        let class = match priority.class {
            PriorityClass::Sheddable => 0,
            PriorityClass::Normal => 1,
            PriorityClass::Critical => 2,
        };
        AdmissionLevel(class * USER_LEVELS + u16::from(priority.user).min(USER_LEVELS - 1))
    }

    /// The priority whose level this is; the inverse of [`AdmissionLevel::of`].
    pub fn priority(self) -> Priority {
        let class = match self.0 / USER_LEVELS {
            0 => PriorityClass::Sheddable,
            1 => PriorityClass::Normal,
            _ => PriorityClass::Critical,
        };
        let user = (self.0 % USER_LEVELS) as u8;
        Priority { class, user }
    }

    /// Whether a call of `priority` is admitted.
    pub fn admits(self, priority: Priority) -> bool {
        AdmissionLevel::of(priority) >= self
    }
}

/// `everything`, `nothing`, or the lowest class that is admitted and the lowest user
/// priority inside it, such as `critical/95`.
impl fmt::Display for AdmissionLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if *self == AdmissionLevel::OPEN {
            return formatter.write_str("everything");
        }
        if *self >= AdmissionLevel::CLOSED {
            return formatter.write_str("nothing");
        }
        let class = match self.0 / USER_LEVELS {
            0 => PriorityClass::Sheddable,
            1 => PriorityClass::Normal,
            _ => PriorityClass::Critical,
        };
        write!(formatter, "{class}/{}", self.0 % USER_LEVELS)
    }
}

/// Load of one service on one server, as its own node sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// Calls running at the back end.
    #[n(0)]
    pub in_flight: u32,
    /// Calls waiting in the node's queue.
    #[n(1)]
    pub queued: u32,
    /// Calls the node lets run at once now.
    #[n(2)]
    pub limit: u32,
    /// Lowest priority admitted by the server or by services it needs.
    #[n(3)]
    pub admission_level: AdmissionLevel,
    /// The server takes no new work.
    #[n(4)]
    pub leaving: bool,
}
