//! Ordered revisions of the source of configuration and servers.

use std::fmt;

use minicbor::{Decode, Encode};

/// A revision of the source of configuration and servers. Of two revisions the greater one is the
/// later.
///
/// A source that is restored from a backup loses its last changes and reuses their numbers, so
/// numbers of different eras can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Revision {
    /// Number of the source's history, which rises each time the source is restored from a backup;
    /// 0 if the source doesn't report it.
    #[n(0)]
    pub era: u64,
    /// Number of the change within its era, from 1 on.
    #[n(1)]
    pub number: u64,
}

impl Revision {
    /// The revision before anything was received from the source.
    pub const NONE: Revision = Revision { era: 0, number: 0 };

    /// Creates the revision `number` of `era`.
    pub const fn new(era: u64, number: u64) -> Self {
        Revision { era, number }
    }

    /// Returns whether this is [`Revision::NONE`]: nothing was received from the source yet.
    pub fn is_none(self) -> bool {
        self == Revision::NONE
    }

    /// Returns the revision directly after this one in its era.
    pub fn next(self) -> Self {
        Revision {
            number: self.number.saturating_add(1),
            ..self
        }
    }

    /// Returns whether a sequence of changes can lead from `earlier` to this revision: within one
    /// era it can, and from [`Revision::NONE`] to any revision.
    pub fn continues(self, earlier: Revision) -> bool {
        self > earlier && (self.era == earlier.era || earlier.is_none())
    }
}

/// Formats as `ERA.NUMBER`.
impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.number)
    }
}

/// The version of its snapshot that a node reports to other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotVersion {
    /// Revision of the snapshot.
    pub revision: Revision,
    /// Version of the snapshot's configuration; 0 if it has none. A node that read from a source
    /// restored from a backup may have the newest revision while other nodes have a newer
    /// configuration.
    pub configuration: u64,
}

impl SnapshotVersion {
    /// Returns whether a node with this version lacks something that a node with `other` has.
    pub fn lacks(self, other: SnapshotVersion) -> bool {
        other.revision > self.revision || other.configuration > self.configuration
    }
}
