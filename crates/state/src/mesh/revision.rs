//! Moments in the history of the source, in their order.

use std::fmt;

use minicbor::{Decode, Encode};

/// A moment in the history of the source of configuration and servers. Of two revisions the
/// greater one is the later.
///
/// A source that comes back from an older copy of itself loses its last changes, and gives their
/// numbers out again: numbers of two eras say nothing about each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Revision {
    /// Rises each time that the source comes back from a copy; 0 if it doesn't tell.
    #[n(0)]
    pub era: u64,
    /// Rises with each change within an era, from 1 on.
    #[n(1)]
    pub number: u64,
}

impl Revision {
    /// Before anything was told.
    pub const NONE: Revision = Revision { era: 0, number: 0 };

    /// The revision `number` of `era`.
    pub const fn new(era: u64, number: u64) -> Self {
        Revision { era, number }
    }

    /// Whether nothing was told yet.
    pub fn is_none(self) -> bool {
        self == Revision::NONE
    }

    /// The first revision after this one in its era.
    pub fn next(self) -> Self {
        Revision {
            number: self.number.saturating_add(1),
            ..self
        }
    }

    /// Whether changes lead from `earlier` to this revision: those of one era do, and from nothing
    /// to anything.
    pub fn continues(self, earlier: Revision) -> bool {
        self > earlier && (self.era == earlier.era || earlier.is_none())
    }
}

/// The era and the number.
impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.number)
    }
}

/// What a node says of its snapshot to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotVersion {
    /// Its revision.
    pub revision: Revision,
    /// The version of its configuration; 0 if it has none. A node that read a source that came
    /// back from a copy may have the newest revision, and a configuration that others have newer.
    pub configuration: u64,
}

impl SnapshotVersion {
    /// Whether a node with this snapshot lacks something that one with `other` has.
    pub fn lacks(self, other: SnapshotVersion) -> bool {
        other.revision > self.revision || other.configuration > self.configuration
    }
}
